//! Service `metrics`: sends counters, timers and gauges to a `StatsD` server over UDP.
//!
//! Without a server address the service is not registered, and recording a sample costs one
//! look-up of the service's name.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::{BufferedUdpMetricSink, Counted, Gauged, StatsdClient, Timed};
use serde_json::json;

use super::mail::Mail;
use crate::events::{METRICS_FAILED, log_event};
use crate::kernel::{Directory, Moment, NextStep, Service, Signal, Turn};

/// Name of the metrics service.
pub const NAME: &str = "metrics";

/// Prefix of the names of all metrics.
const PREFIX: &str = "bulrushslip";

/// Interval at which counters and gauges are sent.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Tag of a sample: key and value, for example the rank.
pub type MetricTag = (&'static str, &'static str);

/// Value of a sample, by type of metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MetricValue {
    /// Increment of a counter.
    Count(u32),
    /// Duration for a timer, in microseconds.
    TimeUs(u64),
    /// Current value of a gauge.
    Gauge(u64),
}

/// One sample of a metric.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MetricSample {
    /// Name of the metric without the common prefix.
    pub name: &'static str,
    /// Optional tag.
    pub tag: Option<MetricTag>,
    /// Value of the sample.
    pub value: MetricValue,
}

/// Records a sample from an I/O task; does nothing when metrics are disabled.
pub fn record(directory: &Directory<Mail>, sample: MetricSample) {
    if let Some(key) = directory.find(NAME) {
        // The sample is dropped if the mailbox is full, so that metrics never delay other work.
        let _outcome = directory.post(key, Signal::Mail(Mail::Metrics(sample)));
    }
}

/// Records a sample from a handler of a service; does nothing when metrics are disabled.
pub fn record_from_service(turn: &mut Turn<'_, Mail>, sample: MetricSample) {
    if let Some(key) = turn.names.find(NAME) {
        turn.outbox.push((key, Mail::Metrics(sample)));
    }
}

/// State of the metrics service.
#[derive(Debug)]
struct MetricsState {
    client: StatsdClient,
    counts: BTreeMap<(&'static str, Option<MetricTag>), u64>,
    gauges: BTreeMap<(&'static str, Option<MetricTag>), u64>,
    sent: u64,
    failed: u64,
    next_flush: Moment,
}

/// Creates the metrics service, which sends to a `StatsD` server and adds the tags to each metric.
///
/// # Errors
///
/// Returns an error when no UDP socket can be opened.
pub fn service(address: SocketAddr, tags: &[(&str, &str)]) -> std::io::Result<Service<Mail>> {
    let local = match address {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(local)?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let mut builder = StatsdClient::builder(PREFIX, sink);
    for (key, value) in tags {
        builder = builder.with_tag(*key, *value);
    }
    let mut state = MetricsState {
        client: builder.build(),
        counts: BTreeMap::new(),
        gauges: BTreeMap::new(),
        sent: 0,
        failed: 0,
        next_flush: Moment::NEVER,
    };
    Ok(Service::new(NAME, move |turn, signal| {
        handle(&mut state, turn.now, signal)
    }))
}

fn handle(state: &mut MetricsState, now: Moment, signal: Signal<Mail>) -> NextStep {
    match signal {
        Signal::Mail(Mail::Metrics(sample)) => {
            add_sample(state, sample);
            if state.next_flush == Moment::NEVER {
                state.next_flush = now.after(FLUSH_INTERVAL);
            }
        }
        Signal::Due => flush(state),
        Signal::Dump(reply_to) => {
            reply_to.send(json!({"sent": state.sent, "failed": state.failed}));
        }
        Signal::Stop => {
            flush(state);
            return NextStep::Stopped;
        }
        Signal::Start | Signal::Mail(_) => {}
    }
    NextStep::WaitUntil(state.next_flush)
}

fn add_sample(state: &mut MetricsState, sample: MetricSample) {
    let key = (sample.name, sample.tag);
    match sample.value {
        MetricValue::Count(count) => *state.counts.entry(key).or_insert(0) += u64::from(count),
        MetricValue::Gauge(amount) => {
            state.gauges.insert(key, amount);
        }
        MetricValue::TimeUs(time) => {
            let timer = state
                .client
                .time_with_tags(sample.name, Duration::from_micros(time));
            let sent = with_tag(timer, sample.tag).try_send().is_ok();
            count_send(state, sent);
        }
    }
}

fn flush(state: &mut MetricsState) {
    let failed_before = state.failed;
    for ((name, tag), count) in std::mem::take(&mut state.counts) {
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        let counter = state.client.count_with_tags(name, count);
        let sent = with_tag(counter, tag).try_send().is_ok();
        count_send(state, sent);
    }
    for ((name, tag), amount) in std::mem::take(&mut state.gauges) {
        let gauge = state.client.gauge_with_tags(name, amount);
        let sent = with_tag(gauge, tag).try_send().is_ok();
        count_send(state, sent);
    }
    let flushed = state.client.flush().is_ok();
    count_send(state, flushed);
    if state.failed > failed_before {
        log_event(&METRICS_FAILED, &[("failed", &state.failed)]);
    }
    state.next_flush = Moment::NEVER;
}

fn with_tag<'m, 'c, T: cadence::Metric + From<String>>(
    builder: cadence::MetricBuilder<'m, 'c, T>,
    tag: Option<MetricTag>,
) -> cadence::MetricBuilder<'m, 'c, T> {
    match tag {
        Some((key, value)) => builder.with_tag(key, value),
        None => builder,
    }
}

const fn count_send(state: &mut MetricsState, sent: bool) {
    if sent {
        state.sent += 1;
    } else {
        state.failed += 1;
    }
}
