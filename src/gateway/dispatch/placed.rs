//! Requests that were placed on upstreams, and removals of upstreams that have not taken effect.

use std::sync::Arc;

use super::quotas::QuotaUse;
use crate::decide::fleet::MemberKey;
use crate::decide::prompt_parts::PromptShape;
use crate::decide::route_table::{DataCentreId, ServiceId};
use crate::decide::suspects::Fingerprint;
use crate::decide::upstream_pace::PaceLoad;
use crate::kernel::Moment;

/// Request that was placed on an upstream and has not ended there.
#[derive(Debug, Clone)]
pub struct RunningRequest {
    /// Request identifier from the client, for logs.
    pub request_id: String,
    /// Upstream that runs the request.
    pub member: MemberKey,
    /// Service of the request.
    pub service: ServiceId,
    /// What the request uses of its customer's quota.
    pub(super) quota_use: Option<QuotaUse>,
    /// Index of the request's rank.
    pub rank: usize,
    /// Prompt tokens that the upstream has not prefilled yet.
    pub unread_tokens: u64,
    /// Whether the upstream has begun to answer.
    pub has_begun: bool,
    /// Tokens that the request occupies in the upstream's KV cache.
    pub memory_tokens: u64,
    /// Prefix hashes and token counts of the shared prompt segments, outermost first.
    pub chain: Vec<(u64, u64)>,
    /// Data centre of the KV store to which the upstream saves the shared segments.
    pub kv_store: Option<DataCentreId>,
    /// What all instances had asked of the upstream after the placement.
    pub asked: PaceLoad,
    /// Time of the placement.
    pub placed_at: Moment,
    /// Hash that is the same for equal requests.
    pub fingerprint: Fingerprint,
    /// Prompt of the request; `None` for plain services.
    pub prompt: Option<Arc<PromptShape>>,
}

/// Request whose connection to its upstream broke.
#[derive(Debug, Clone)]
pub struct LostRequest {
    /// Time of the loss.
    pub at: Moment,
    /// Upstream that ran the request.
    pub member: MemberKey,
    /// Hash that is the same for equal requests.
    pub fingerprint: Fingerprint,
    /// Prompt of the request; `None` for plain services.
    pub prompt: Option<Arc<PromptShape>>,
}

/// Removal of an upstream that has not taken effect yet.
#[derive(Debug, Clone)]
pub struct DeferredRemoval {
    /// Name of the upstream.
    pub id: String,
    /// Time at which the removal takes effect unless a newer entry arrives.
    pub due: Moment,
    /// Whether nobody removed the entry, but the store has lost it.
    pub is_lost: bool,
}
