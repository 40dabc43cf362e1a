//! Readings of prompts: what upstreams are about to hold, hold, and what others are told of it.

use std::time::Duration;

use super::state::{DispatchState, RunningPlace};
use crate::decide::fleet::MemberKey;
use crate::decide::member_choice::MemberChoice;
use crate::gateway::mail::PlaceAsk;
use crate::kernel::Moment;
use crate::wire::peer_rpc::{PartStage, WirePart};

/// Time for which parts are told to other instances; some thirty instances are each met once in
/// two seconds.
const PART_NEWS: Duration = Duration::from_millis(2_500);

/// Shared tokens from which other instances are told of a prompt's parts.
const MIN_TOLD_TOKENS: u64 = 512;

impl DispatchState {
    /// Notes that an upstream is about to read a prompt.
    pub(super) fn note_reading(&mut self, now: Moment, ask: &PlaceAsk, choice: &MemberChoice) {
        let Some(prompt) = ask.prompt.as_deref() else {
            return;
        };
        if let Some(member) = self.fleet.get_mut(choice.member) {
            member.record_added_tokens(choice.memory_tokens);
        }
        if choice.missing_tokens > 0 {
            self.parts.record_prefill_start(now, &choice.prefixes);
            if prompt.shared_tokens() >= MIN_TOLD_TOKENS {
                self.tell_parts(now, choice.member, &choice.prefixes, PartStage::Reading);
            }
        }
    }

    /// Notes that the shared parts of a request have been read.
    pub(super) fn note_read(&mut self, now: Moment, place: &RunningPlace) {
        let Some(member) = self.fleet.get(place.member) else {
            return;
        };
        let mark = member.total_added_tokens;
        self.parts
            .record_cached(now, &place.chain, place.member, mark);
        let shared: u64 = place.chain.iter().map(|(_, tokens)| tokens).sum();
        if let Some(store) = place.kept_at {
            self.parts.add_saved_tokens(self.identity.id, store, shared);
            self.parts.record_saved(&place.chain, store);
        }
        if shared >= MIN_TOLD_TOKENS {
            let stage = if place.kept_at.is_some() {
                PartStage::Kept
            } else {
                PartStage::Read
            };
            self.tell_parts(now, place.member, &place.chain, stage);
        }
    }

    /// Notes that a run ended before it had read the shared parts of its request.
    pub(super) fn note_unread(&mut self, now: Moment, place: &RunningPlace) {
        self.parts.record_prefill_abandoned(&place.chain);
        let shared: u64 = place.chain.iter().map(|(_, tokens)| tokens).sum();
        if shared >= MIN_TOLD_TOKENS {
            self.tell_parts(now, place.member, &place.chain, PartStage::GivenUp);
        }
    }

    /// Gathers news of parts for other instances.
    fn tell_parts(
        &mut self,
        now: Moment,
        member: MemberKey,
        chain: &[(u64, u64)],
        stage: PartStage,
    ) {
        let Some(upstream) = self.fleet.get(member).map(|member| member.id_hash) else {
            return;
        };
        while let Some((told, _)) = self.recent_parts.front() {
            if now.since(*told) < PART_NEWS {
                break;
            }
            self.recent_parts.pop_front();
        }
        let news = chain.iter().map(|(part, _)| WirePart {
            chain: *part,
            upstream,
            stage,
        });
        self.recent_parts.extend(news.map(|part| (now, part)));
    }
}
