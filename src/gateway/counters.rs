//! Counters and latency histograms of a gateway, as text for whoever collects them.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::decide::route_table::RouteKind;

/// Upper bounds of the latency buckets, in seconds; they lie around the objectives in use.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 10.0];

/// How a request ended, as it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// Kind of its route; `None` for one that was refused before it was routed.
    pub kind: Option<RouteKind>,
    /// Name of the outcome, such as `answered` or the reason of a refusal.
    pub outcome: &'static str,
    /// Time from its head to its end, or to the head of a stream.
    pub took: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    kind: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// State that is shown as gauges.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatewayGauges {
    /// Version of the configuration in force; 0 while there is none.
    pub configuration: u64,
    /// Upstreams that may be sent work now.
    pub open_upstreams: usize,
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that run at upstreams.
    pub running: usize,
    /// Other instances that are alive.
    pub peers: usize,
    /// Log lines that were dropped because standard output did not take them.
    pub dropped_lines: u64,
}

/// All counters; owned by the service `dispatch`.
#[derive(Debug)]
pub struct GatewayCounters {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    latencies: Family<KindLabels, Histogram>,
    sends: Family<OutcomeLabels, Counter>,
    configuration: Gauge,
    open_upstreams: Gauge,
    waiting: Gauge,
    running: Gauge,
    peers: Gauge,
    dropped_lines: Gauge,
}

impl Default for GatewayCounters {
    fn default() -> Self {
        let mut counters = Self {
            registry: Registry::with_prefix("bulrushslip"),
            ends: Family::default(),
            latencies: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            sends: Family::default(),
            configuration: Gauge::default(),
            open_upstreams: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            peers: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        counters.register();
        counters
    }
}

impl GatewayCounters {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let ends = self.ends.clone();
        registry.register("requests", "Requests by kind and outcome", ends);
        let latencies = self.latencies.clone();
        let help = "Time to the answer, or to the head of a stream, in seconds";
        registry.register("request_seconds", help, latencies);
        let sends = self.sends.clone();
        registry.register("sends", "Sends to upstreams by outcome", sends);
        let gauges = [
            ("configuration", "Version in force", &self.configuration),
            (
                "open_upstreams",
                "Upstreams that may get work",
                &self.open_upstreams,
            ),
            (
                "waiting",
                "Requests that wait for an upstream",
                &self.waiting,
            ),
            ("running", "Requests that run at upstreams", &self.running),
            ("peers", "Other instances that are alive", &self.peers),
            (
                "dropped_log_lines",
                "Log lines that were dropped",
                &self.dropped_lines,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts the end of a request.
    pub fn note_end(&self, end: RequestEnd) {
        let kind = kind_name(end.kind);
        let labels = EndLabels {
            kind,
            outcome: end.outcome,
        };
        self.ends.get_or_create(&labels).inc();
        let latency = self.latencies.get_or_create(&KindLabels { kind });
        latency.observe(end.took.as_secs_f64());
    }

    /// Counts the end of a send.
    pub fn note_send(&self, outcome: &'static str) {
        self.sends.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Returns all counters and the gauges as text.
    ///
    /// # Errors
    ///
    /// Returns an error when the text cannot be made.
    pub fn text(&self, gauges: GatewayGauges) -> Result<String, std::fmt::Error> {
        self.configuration.set(signed(gauges.configuration));
        self.open_upstreams
            .set(signed(gauges.open_upstreams as u64));
        self.waiting.set(signed(gauges.waiting as u64));
        self.running.set(signed(gauges.running as u64));
        self.peers.set(signed(gauges.peers as u64));
        self.dropped_lines.set(signed(gauges.dropped_lines));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

const fn kind_name(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "unrouted",
        Some(RouteKind::Idempotent) => "idempotent",
        Some(RouteKind::NonIdempotent) => "non_idempotent",
        Some(RouteKind::ResumableStream) => "resumable_stream",
        Some(RouteKind::OnceStream) => "once_stream",
    }
}

fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
