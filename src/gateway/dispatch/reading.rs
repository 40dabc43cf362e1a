//! Prefill tracking: which upstreams compute or hold which prompt segments, and the updates about
//! them that are sent to other instances.

use std::time::Duration;

use super::state::{DispatchState, RunningRequest};
use crate::decide::fleet::MemberKey;
use crate::decide::member_choice::MemberChoice;
use crate::decide::prompt_parts::LONG_PREFIX_TOKENS;
use crate::gateway::mail::PlacementRequest;
use crate::kernel::Moment;
use crate::wire::peer_rpc::{PrefillStage, WireSegment};

/// Time for which an update about a segment is repeated to other instances; with about thirty
/// instances, each pair exchanges gossip at least once every two seconds.
const PART_REPEAT_TIME: Duration = Duration::from_millis(2_500);

impl DispatchState {
    /// Records that an upstream is about to prefill the prompt of a request.
    pub(super) fn record_prefill_start(
        &mut self,
        now: Moment,
        request: &PlacementRequest,
        choice: &MemberChoice,
    ) {
        let Some(prompt) = request.prompt.as_deref() else {
            return;
        };
        if let Some(member) = self.fleet.get_mut(choice.member) {
            member.record_added_tokens(choice.memory_tokens);
        }
        if choice.missing_tokens > 0 && prompt.has_long_prefix() {
            self.parts.record_prefill_start(now, &choice.prefixes);
            self.announce_parts(now, choice.member, &choice.prefixes, PrefillStage::Reading);
        }
    }

    /// Records that an upstream has prefilled the shared segments of a request.
    pub(super) fn record_prefill_done(&mut self, now: Moment, running: &RunningRequest) {
        let shared: u64 = running.chain.iter().map(|(_, tokens)| tokens).sum();
        let Some(member) = self.fleet.get(running.member) else {
            return;
        };
        if shared < LONG_PREFIX_TOKENS {
            return;
        }
        let mark = member.total_added_tokens;
        self.parts
            .record_cached(now, &running.chain, running.member, mark);
        if let Some(store) = running.kv_store {
            self.parts.add_saved_tokens(self.identity.id, store, shared);
            self.parts.record_saved(&running.chain, store);
        }
        let stage = if running.kv_store.is_some() {
            PrefillStage::Kept
        } else {
            PrefillStage::Read
        };
        self.announce_parts(now, running.member, &running.chain, stage);
    }

    /// Records that a request ended before its shared segments were prefilled.
    pub(super) fn record_prefill_abandoned(&mut self, now: Moment, running: &RunningRequest) {
        let shared: u64 = running.chain.iter().map(|(_, tokens)| tokens).sum();
        if shared >= LONG_PREFIX_TOKENS {
            self.parts.record_prefill_abandoned(&running.chain);
            self.announce_parts(now, running.member, &running.chain, PrefillStage::GivenUp);
        }
    }

    /// Queues updates about prompt segments for other instances.
    fn announce_parts(
        &mut self,
        now: Moment,
        member: MemberKey,
        chain: &[(u64, u64)],
        stage: PrefillStage,
    ) {
        let Some(upstream) = self.fleet.get(member).map(|member| member.id_hash) else {
            return;
        };
        while let Some((queued_at, _)) = self.recent_parts.front() {
            if now.since(*queued_at) < PART_REPEAT_TIME {
                break;
            }
            self.recent_parts.pop_front();
        }
        let updates = chain.iter().map(|(part, _)| WireSegment {
            chain: *part,
            upstream,
            stage,
        });
        self.recent_parts.extend(updates.map(|part| (now, part)));
    }
}
