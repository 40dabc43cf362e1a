//! All kinds of log events in the order of their numbers; docs/EVENTS.md is generated from them.

use log::Level;

use super::request_events::{
    ANSWER_LOST, OUTDATED_START, QUOTA_EXCEEDED, REQUEST_ABANDONED, REQUEST_ANSWERED,
    REQUEST_FAILED, REQUEST_PLACED, REQUEST_REFUSED, REQUEST_RETRIED, RESPONSE_ENDED,
    RESPONSE_MISMATCHED, SEND_WITHDRAWN, START_CANCELLED, STREAM_BODY_ENDED, STREAM_BROKEN,
    STREAM_RESUMED,
};
use super::state_events::{
    CONFIGURATION_IN_FORCE, LISTING_INCOMPLETE, LOG_UNREADABLE, PEER_LOST, PEER_REGAINED,
    RECORD_SKIPPED, REGISTRATION_FAILED, SETTINGS_REFUSED, SETTINGS_RELOADED, STORE_LOST,
    STORE_REGAINED, STORE_RESTORED, TRANSFER_BROKEN, TRANSFER_ENDED, UPSTREAM_CHANGED,
    UPSTREAMS_OUTDATED, VIEW_REPAIRED, VIEW_RESTORED, WEIGHTS_NAMED, WEIGHTS_REFUTED,
    WEIGHTS_STATED,
};

/// Kind of log event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventKind {
    /// Number of the event, which never changes.
    pub number: u16,
    /// Level at which the event is logged.
    pub level: Level,
    /// Name of the event, which never changes.
    pub name: &'static str,
    /// Description of the event.
    pub text: &'static str,
}

pub(super) const fn event(
    number: u16,
    level: Level,
    name: &'static str,
    text: &'static str,
) -> EventKind {
    EventKind {
        number,
        level,
        name,
        text,
    }
}

/// Logged when the process starts.
pub const PROCESS_STARTED: EventKind = event(
    101,
    Level::Info,
    "process_started",
    "The process has started.",
);

/// Logged when a port is open.
pub const LISTENING: EventKind = event(102, Level::Info, "listening", "A port is open.");

/// Logged when a graceful stop begins.
pub const STOP_BEGUN: EventKind = event(
    103,
    Level::Info,
    "stop_begun",
    "A signal has started a graceful stop; open requests are completed.",
);

/// Logged when a graceful stop is complete.
pub const STOP_ENDED: EventKind = event(
    104,
    Level::Info,
    "stop_ended",
    "The graceful stop is complete and the process ends.",
);

/// Logged when a second signal ends a graceful stop early.
pub const STOP_CUT: EventKind = event(
    105,
    Level::Warn,
    "stop_cut",
    "A second signal has ended the graceful stop early; open requests are lost.",
);

/// Logged when a task panics.
pub const INVARIANT_BROKEN: EventKind = event(
    106,
    Level::Error,
    "invariant_broken",
    "A task has panicked because an invariant is violated; the process ends with code 101.",
);

/// Logged when a port cannot be opened.
pub const BIND_FAILED: EventKind = event(
    107,
    Level::Error,
    "bind_failed",
    "A port cannot be opened; the process ends with code 1.",
);

/// Logged when the upstream starts to respond.
pub const ENGINE_UP: EventKind = event(
    401,
    Level::Info,
    "engine_up",
    "The upstream responds; `epoch` identifies its current run.",
);

/// Logged when the upstream stops responding.
pub const ENGINE_DOWN: EventKind = event(
    402,
    Level::Warn,
    "engine_down",
    "The upstream does not respond; new requests are refused until it does.",
);

/// Logged when the upstream has restarted.
pub const ENGINE_RESTARTED: EventKind = event(
    403,
    Level::Warn,
    "engine_restarted",
    "The upstream has restarted; its previous cache content no longer counts.",
);

/// Logged when the engine has loaded weights.
pub const WEIGHTS_LOADED: EventKind = event(
    405,
    Level::Info,
    "weights_loaded",
    "The engine has carried out an order to load weights.",
);

/// Logged when the engine fails to load weights.
pub const LOAD_FAILED: EventKind = event(
    406,
    Level::Warn,
    "load_failed",
    "An order to load weights was refused or got no response; it is sent again.",
);

/// Logged when an order to load weights is sent to an upstream.
pub const ORDER_SENT: EventKind = event(
    407,
    Level::Info,
    "order_sent",
    "An upstream was ordered to load weights.",
);

/// Logged when an order to load weights has been carried out or has expired.
pub const ORDER_ENDED: EventKind = event(
    408,
    Level::Info,
    "order_ended",
    "An upstream runs the ordered weights, or the order has failed or expired; `end` tells how.",
);

/// Logged when a claim on the right to order upstreams is not confirmed.
pub const CLAIM_UNCONFIRMED: EventKind = event(
    409,
    Level::Info,
    "claim_unconfirmed",
    "A claim on orders to upstreams was not confirmed; claims are read again before the next one.",
);

/// Logged when a poll of the upstream gets no reply while its responses go on.
pub const ENGINE_SLOW: EventKind = event(
    410,
    Level::Info,
    "engine_slow",
    "The upstream did not reply to a poll in time but sent response data; it counts as up.",
);

/// Logged when requests were lost to a crash of an upstream.
pub const UPSTREAM_CRASHED: EventKind = event(
    411,
    Level::Warn,
    "upstream_crashed",
    "An upstream crashed while it ran requests of this instance, which become suspects.",
);

/// Logged when a prompt segment is refused.
pub const SEGMENT_REFUSED: EventKind = event(
    412,
    Level::Warn,
    "segment_refused",
    "A prompt segment was running in several crashes of upstreams; requests with it are refused.",
);

/// Logged when a refused prompt segment is found to be sound.
pub const SEGMENT_CLEARED: EventKind = event(
    413,
    Level::Info,
    "segment_cleared",
    "A refused prompt segment was answered, or others explain its crashes; it is no longer refused.",
);

/// Logged when another instance does not take news of prompt segments.
pub const NEWS_REJECTED: EventKind = event(
    414,
    Level::Info,
    "news_rejected",
    "An instance did not take news of prompt segments; it gets none for some seconds.",
);

/// Logged when an upstream says for the first time that it leaves.
pub const UPSTREAM_LEAVING: EventKind = event(
    415,
    Level::Info,
    "upstream_leaving",
    "A response of the upstream says that it leaves; it gets no new requests.",
);

/// Logged when an upstream wants no requests for some time.
pub const UPSTREAM_PAUSED: EventKind = event(
    416,
    Level::Info,
    "upstream_paused",
    "The upstream rejected a request and wants none from this instance for `pause_ms`.",
);

/// Logged when a response says something of its upstream that cannot be read.
pub const NOTICE_IGNORED: EventKind = event(
    417,
    Level::Warn,
    "notice_ignored",
    "The headers `server-leaving` or `retry-after` of a response are not valid and are ignored.",
);

/// Logged when the limit of an upstream has changed.
pub const UPSTREAM_LIMITED: EventKind = event(
    418,
    Level::Info,
    "upstream_limited",
    "The upstream takes only so many requests from all instances, or no longer has a limit.",
);

/// Logged when the search for the pace of an upstream begins.
pub const UPSTREAM_PACED: EventKind = event(
    430,
    Level::Info,
    "upstream_paced",
    "The upstream has started or recovered (`cause`); what it is asked at once is found from its answers.",
);

/// Logged when the search for the pace of an upstream ends.
pub const UPSTREAM_PACE_FOUND: EventKind = event(
    431,
    Level::Info,
    "upstream_pace_found",
    "The upstream has answered so that all its slots may be used (after `after_ms`); it gets full work.",
);

/// Logged when a call to the operator port is refused for its token.
pub const OPERATOR_DENIED: EventKind = event(
    501,
    Level::Warn,
    "operator_denied",
    "A call to the operator port without the valid token was refused.",
);

/// Logged when metrics cannot be sent.
pub const METRICS_FAILED: EventKind = event(
    502,
    Level::Warn,
    "metrics_failed",
    "Metrics cannot be sent to the configured address; the values of this interval are lost.",
);

/// All kinds of log events in ascending order of their numbers.
pub const CATALOGUE: [EventKind; 65] = [
    PROCESS_STARTED,
    LISTENING,
    STOP_BEGUN,
    STOP_ENDED,
    STOP_CUT,
    INVARIANT_BROKEN,
    BIND_FAILED,
    RECORD_SKIPPED,
    LOG_UNREADABLE,
    WEIGHTS_NAMED,
    CONFIGURATION_IN_FORCE,
    STORE_LOST,
    STORE_REGAINED,
    UPSTREAM_CHANGED,
    SETTINGS_RELOADED,
    SETTINGS_REFUSED,
    REGISTRATION_FAILED,
    UPSTREAMS_OUTDATED,
    PEER_LOST,
    PEER_REGAINED,
    TRANSFER_ENDED,
    TRANSFER_BROKEN,
    WEIGHTS_STATED,
    WEIGHTS_REFUTED,
    VIEW_REPAIRED,
    LISTING_INCOMPLETE,
    STORE_RESTORED,
    VIEW_RESTORED,
    ANSWER_LOST,
    REQUEST_ANSWERED,
    REQUEST_REFUSED,
    REQUEST_FAILED,
    REQUEST_RETRIED,
    STREAM_RESUMED,
    STREAM_BROKEN,
    REQUEST_PLACED,
    OUTDATED_START,
    START_CANCELLED,
    SEND_WITHDRAWN,
    REQUEST_ABANDONED,
    STREAM_BODY_ENDED,
    RESPONSE_MISMATCHED,
    QUOTA_EXCEEDED,
    RESPONSE_ENDED,
    ENGINE_UP,
    ENGINE_DOWN,
    ENGINE_RESTARTED,
    WEIGHTS_LOADED,
    LOAD_FAILED,
    ORDER_SENT,
    ORDER_ENDED,
    CLAIM_UNCONFIRMED,
    ENGINE_SLOW,
    UPSTREAM_CRASHED,
    SEGMENT_REFUSED,
    SEGMENT_CLEARED,
    NEWS_REJECTED,
    UPSTREAM_LEAVING,
    UPSTREAM_PAUSED,
    NOTICE_IGNORED,
    UPSTREAM_LIMITED,
    UPSTREAM_PACED,
    UPSTREAM_PACE_FOUND,
    OPERATOR_DENIED,
    METRICS_FAILED,
];
