//! Metrics of a gateway: counters, gauges and latency histograms in the Prometheus text format.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::decide::route_table::RouteKind;

/// Upper bounds of the latency buckets, in seconds; they are densest around the usual latency
/// objectives.
const LATENCY_BUCKETS: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 10.0];

/// End of a client's request, as counted in the metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestEnd {
    /// Kind of the route; `None` if the request was refused before a route was found.
    pub kind: Option<RouteKind>,
    /// Name of the outcome, such as `answered` or the reason of a refusal.
    pub outcome: &'static str,
    /// Time from the head of the request to the end of the response, or to the head of a
    /// streamed response.
    pub took: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
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

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BodyEndLabels {
    framing: &'static str,
    position: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RankLabels {
    rank: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    kind: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DirectionLabels {
    direction: &'static str,
}

/// Values of the gauges at the time of a scrape.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatewayGauges {
    /// Version of the configuration in force; 0 if there is none.
    pub configuration: u64,
    /// Number of upstreams on which requests may be placed now.
    pub open_upstreams: usize,
    /// Number of upstreams whose pace is searched.
    pub paced_upstreams: usize,
    /// Number of requests that wait for an upstream.
    pub waiting: usize,
    /// Number of requests that run on upstreams.
    pub running: usize,
    /// Number of other instances that are alive.
    pub peers: usize,
    /// Number of log lines that were dropped because standard output was blocked.
    pub dropped_lines: u64,
    /// Bytes that requests have reserved.
    pub reserved_bytes: u64,
    /// Bytes of requests whose callers have not read their responses.
    pub unread_bytes: u64,
    /// Number of requests that were running in a crash of an upstream.
    pub suspects: usize,
    /// Number of suspicions that are sent to other instances.
    pub suspicions: usize,
    /// Number of prompt segments that are refused because they crash upstreams.
    pub refused_segments: usize,
}

/// All metrics of the gateway; owned by the service `dispatch`.
#[derive(Debug)]
pub struct GatewayCounters {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latencies: Family<KindLabels, Histogram>,
    sends: Family<OutcomeLabels, Counter>,
    body_ends: Family<BodyEndLabels, Counter>,
    ended_responses: Family<RankLabels, Counter>,
    notices: Family<NoticeLabels, Counter>,
    paces: Family<NoticeLabels, Counter>,
    exchanges: Family<OutcomeLabels, Counter>,
    record_bytes: Family<DirectionLabels, Counter>,
    repairs: Counter,
    starts: Histogram,
    configuration: Gauge,
    open_upstreams: Gauge,
    paced_upstreams: Gauge,
    waiting: Gauge,
    running: Gauge,
    peers: Gauge,
    dropped_lines: Gauge,
    reserved_bytes: Gauge,
    unread_bytes: Gauge,
    suspects: Gauge,
    suspicions: Gauge,
    refused_segments: Gauge,
}

impl Default for GatewayCounters {
    fn default() -> Self {
        let mut counters = Self {
            registry: Registry::with_prefix("bulrushslip"),
            requests: Family::default(),
            latencies: Family::new_with_constructor(|| Histogram::new(LATENCY_BUCKETS)),
            sends: Family::default(),
            body_ends: Family::default(),
            ended_responses: Family::default(),
            notices: Family::default(),
            paces: Family::default(),
            exchanges: Family::default(),
            record_bytes: Family::default(),
            repairs: Counter::default(),
            starts: Histogram::new(LATENCY_BUCKETS),
            configuration: Gauge::default(),
            open_upstreams: Gauge::default(),
            paced_upstreams: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            peers: Gauge::default(),
            dropped_lines: Gauge::default(),
            reserved_bytes: Gauge::default(),
            unread_bytes: Gauge::default(),
            suspects: Gauge::default(),
            suspicions: Gauge::default(),
            refused_segments: Gauge::default(),
        };
        counters.register();
        counters
    }
}

impl GatewayCounters {
    fn register(&mut self) {
        let registry = &mut self.registry;
        let requests = self.requests.clone();
        registry.register("requests", "Requests by kind and outcome", requests);
        let latencies = self.latencies.clone();
        let help = "Time to the answer, or to the head of a stream, in seconds";
        registry.register("request_seconds", help, latencies);
        let sends = self.sends.clone();
        registry.register("sends", "Sends to upstreams by outcome", sends);
        let body_ends = self.body_ends.clone();
        let help = "Stream bodies received to their end, by framing and position in their events";
        registry.register("stream_body_ends", help, body_ends);
        let notices = self.notices.clone();
        let help = "Responses by which upstreams leave or want no requests, or that cannot be read";
        registry.register("upstream_notices", help, notices);
        let help = "Searches for the pace of an upstream, by cause, and those that ended (found)";
        registry.register("upstream_paces", help, self.paces.clone());
        let exchanges = self.exchanges.clone();
        let help = "Calls to other instances for their state, by outcome";
        registry.register("exchanges", help, exchanges);
        let record_bytes = self.record_bytes.clone();
        let help = "Bytes of store records sent to other instances, and received from them";
        registry.register("record_bytes", help, record_bytes);
        let ended = self.ended_responses.clone();
        let help = "Unread responses that were broken off because memory was short";
        registry.register("ended_responses", help, ended);
        let help = "Entries of upstreams that were missing here, or kept after their removal";
        registry.register("view_repairs", help, self.repairs.clone());
        let starts = self.starts.clone();
        let help = "Time from a placement to the first output of its stream, in seconds";
        registry.register("start_seconds", help, starts);
        let gauges = [
            ("configuration", "Version in force", &self.configuration),
            (
                "open_upstreams",
                "Upstreams that may get work",
                &self.open_upstreams,
            ),
            (
                "paced_upstreams",
                "Upstreams whose pace is searched",
                &self.paced_upstreams,
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
            (
                "reserved_bytes",
                "Bytes reserved for requests",
                &self.reserved_bytes,
            ),
            (
                "unread_bytes",
                "Bytes of requests whose callers have not read their responses",
                &self.unread_bytes,
            ),
            (
                "suspects",
                "Requests that were running in a crash of an upstream",
                &self.suspects,
            ),
            (
                "suspicions",
                "Suspicions that are sent to other instances",
                &self.suspicions,
            ),
            (
                "refused_segments",
                "Prompt segments that are refused because they crash upstreams",
                &self.refused_segments,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
    }

    /// Counts the end of a client's request and records its latency.
    pub fn count_request(&self, end: RequestEnd) {
        let kind = kind_name(end.kind);
        let labels = RequestLabels {
            kind,
            outcome: end.outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let latency = self.latencies.get_or_create(&KindLabels { kind });
        latency.observe(end.took.as_secs_f64());
    }

    /// Counts an attempt at an upstream by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        self.sends.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts an unread response that was broken off because memory was short.
    pub fn count_ended_response(&self, rank: &'static str) {
        let count = self.ended_responses.get_or_create(&RankLabels { rank });
        count.inc();
    }

    /// Counts a response that says something of its upstream.
    pub fn count_notice(&self, kind: &'static str) {
        self.notices.get_or_create(&NoticeLabels { kind }).inc();
    }

    /// Counts the beginning or the end of a search for the pace of an upstream.
    pub fn count_pace(&self, kind: &'static str) {
        self.paces.get_or_create(&NoticeLabels { kind }).inc();
    }

    /// Counts a call to another instance for its state.
    pub fn count_exchange(&self, outcome: &'static str) {
        let labels = OutcomeLabels { outcome };
        self.exchanges.get_or_create(&labels).inc();
    }

    /// Counts entries of upstreams in which the store's list differed from the one known here.
    pub fn count_repairs(&self, entries: usize) {
        self.repairs.inc_by(entries as u64);
    }

    /// Counts bytes of store records that go to other instances or come from them.
    pub fn count_record_bytes(&self, direction: &'static str, bytes: usize) {
        let labels = DirectionLabels { direction };
        let count = self.record_bytes.get_or_create(&labels);
        count.inc_by(bytes as u64);
    }

    /// Counts a stream body that was received to its end.
    pub fn count_body_end(&self, framing: &'static str, position: &'static str) {
        let labels = BodyEndLabels { framing, position };
        self.body_ends.get_or_create(&labels).inc();
    }

    /// Records how long a stream waited at its upstream before its first output.
    pub fn observe_start(&self, waited: Duration) {
        self.starts.observe(waited.as_secs_f64());
    }

    /// Returns all metrics in text format.
    ///
    /// # Errors
    ///
    /// Returns an error if encoding fails.
    pub fn text(&self, gauges: GatewayGauges) -> Result<String, std::fmt::Error> {
        self.configuration.set(signed(gauges.configuration));
        self.open_upstreams
            .set(signed(gauges.open_upstreams as u64));
        self.paced_upstreams
            .set(signed(gauges.paced_upstreams as u64));
        self.waiting.set(signed(gauges.waiting as u64));
        self.running.set(signed(gauges.running as u64));
        self.peers.set(signed(gauges.peers as u64));
        self.dropped_lines.set(signed(gauges.dropped_lines));
        self.reserved_bytes.set(signed(gauges.reserved_bytes));
        self.unread_bytes.set(signed(gauges.unread_bytes));
        self.suspects.set(signed(gauges.suspects as u64));
        self.suspicions.set(signed(gauges.suspicions as u64));
        self.refused_segments
            .set(signed(gauges.refused_segments as u64));
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}

/// Returns the value of the label `kind`.
const fn kind_name(kind: Option<RouteKind>) -> &'static str {
    match kind {
        None => "unrouted",
        Some(RouteKind::Idempotent) => "idempotent",
        Some(RouteKind::NonIdempotent) => "non_idempotent",
        Some(RouteKind::ResumableStream) => "resumable_stream",
        Some(RouteKind::OnceStream) => "once_stream",
    }
}

/// Converts a count to the type of a gauge.
fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
