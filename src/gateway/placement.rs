//! Placements of requests on upstreams, as messages between the tasks of requests and `dispatch`.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::fleet::{MemberKey, MemberOutcome};
use crate::decide::ids::{Rank, Ticket};
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::ServiceId;
use crate::decide::software::{SoftwareChoice, SoftwareVersion};
use crate::decide::suspects::Fingerprint;
use crate::gateway::cancellation::CancelSignal;
use crate::kernel::Moment;
use crate::platform::http_connection::OpenConnection;

/// Request for a placement on an upstream.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// Request identifier from the client, for logs.
    pub request_id: String,
    /// Service that is to run the request.
    pub service: ServiceId,
    /// Prompt of the request; `None` for plain services.
    pub prompt: Option<Arc<PromptShape>>,
    /// Name of the customer; empty without one.
    pub customer: String,
    /// Tokens of prompt and answer that the caller states, by which a quota may count.
    pub stated_tokens: Option<u64>,
    /// Size of the body in bytes.
    pub body_bytes: usize,
    /// Upstreams on which the request must not be placed.
    pub excluded: Vec<MemberKey>,
    /// Software versions on which the request may be placed.
    pub software: SoftwareChoice,
    /// Whether the request was already sent to an upstream.
    pub is_retry: bool,
    /// Time at which the request was received.
    pub received: Moment,
    /// Rank of the request.
    pub rank: Rank,
    /// Time at which the request is refused if it is still waiting.
    pub start_by: Moment,
    /// Time at which the request times out.
    pub deadline: Moment,
    /// Time until which the request may wait for a running prefill of its shared prefix.
    pub prefill_deadline: Moment,
    /// Hash that is the same for equal requests.
    pub fingerprint: Fingerprint,
}

/// Reason for which a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlacementRefusal {
    /// No upstream had capacity in time.
    Busy,
    /// The service has no upstream that could run the request.
    NoUpstream,
    /// The retry budget of the service is used up.
    BudgetExhausted,
    /// No upstream of the service wants requests before this time.
    Paused(Moment),
    /// The customer has used up its quota; a request like this would pass at this time.
    OverQuota(Moment),
    /// Equal requests have crashed several upstreams.
    Poisonous,
    /// The stream is taken up again, and the software version that began it is not known.
    OriginUnknown,
    /// The stream is taken up again, and no upstream runs the software version that began it.
    VersionGone,
    /// The process is shutting down and may end before the request does.
    Leaving,
}

impl PlacementRefusal {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::NoUpstream => "no_upstream",
            Self::BudgetExhausted => "retry_budget",
            Self::Paused(_) => "upstreams_paused",
            Self::OverQuota(_) => "over_quota",
            Self::Poisonous => "poisonous",
            Self::OriginUnknown => "origin_unknown",
            Self::VersionGone => "version_gone",
            Self::Leaving => "leaving",
        }
    }
}

/// Upstream on which a request was placed, and the data to send along.
#[derive(Debug)]
pub struct Placement {
    /// Ticket that identifies the placement.
    pub ticket: Ticket,
    /// Key of the upstream.
    pub member: MemberKey,
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// Version of the weights that the request is meant for.
    pub weights: Option<u64>,
    /// Tells when the request is cancelled because it has not started.
    pub cancellation: CancelSignal,
    /// Name of the cache domain under which the engine stores the KV cache of the prompt.
    pub cache_domain: Option<String>,
    /// Address from which the engine fetches KV cache that it lacks.
    pub fetch_from: Option<SocketAddr>,
    /// Address of the KV store to which the engine saves the shared prefix.
    pub save_to: Option<SocketAddr>,
    /// Idle connection to the upstream, if there is one.
    pub connection: Option<OpenConnection>,
    /// Time from which the request is sent only after another check.
    pub valid_until: Moment,
    /// Whether the upstream has said that it takes only so many requests.
    pub has_limit: bool,
}

/// Whether a placed request may still be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendCheck {
    /// The request may be sent.
    Send,
    /// The upstream is leaving or was removed.
    UpstreamLeft,
    /// The upstream may have left since its entry was last confirmed.
    Outdated,
}

impl SendCheck {
    /// Returns the name for logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Send => "send",
            Self::UpstreamLeft => "upstream_left",
            Self::Outdated => "outdated",
        }
    }
}

/// Reply to a request for a placement.
#[derive(Debug)]
pub enum PlacementReply {
    /// The request was placed on an upstream.
    Placed(Box<Placement>),
    /// The request is not to be sent.
    Refused(PlacementRefusal),
}

/// End of a placement.
#[derive(Debug)]
pub struct PlacementEnd {
    /// Ticket that identifies the placement.
    pub ticket: Ticket,
    /// Outcome, as far as it concerns the upstream.
    pub outcome: MemberOutcome,
    /// Connection for reuse, and the time until which it may be reused.
    pub connection: Option<(OpenConnection, Moment)>,
}
