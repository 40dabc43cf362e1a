//! Readings of prompts: what upstreams are about to hold, hold, and what others are told of it.

use std::time::Duration;

use super::state::{DispatchState, RunningPlace};
use crate::decide::fleet::MemberKey;
use crate::decide::member_choice::MemberChoice;
use crate::gateway::mail::PlaceAsk;
use crate::kernel::Moment;
use crate::wire::peer_rpc::WirePart;

/// Time for which parts are told to other instances; covers several exchanges.
const PART_NEWS: Duration = Duration::from_millis(900);

/// Shared tokens from which other instances are told of a prompt's parts.
const MIN_TOLD_TOKENS: u64 = 512;

impl DispatchState {
    /// Notes that an upstream is about to read a prompt; returns the tokens that it adds to the
    /// upstream's memory.
    pub(super) fn note_reading(
        &mut self,
        now: Moment,
        ask: &PlaceAsk,
        choice: &MemberChoice,
    ) -> u64 {
        let Some(prompt) = ask.prompt.as_deref() else {
            return 0;
        };
        let added = choice.memory_tokens;
        if let Some(member) = self.fleet.get_mut(choice.member) {
            member.read_mark += added;
        }
        if choice.missing_tokens > 0 {
            self.parts.note_reading(now, &choice.chain);
            if prompt.shared_tokens() >= MIN_TOLD_TOKENS {
                self.tell_parts(now, choice.member, &choice.chain, 0, false, false);
            }
        }
        added
    }

    /// Notes that the shared parts of a request have been read.
    pub(super) fn note_read(&mut self, now: Moment, place: &RunningPlace) {
        let Some(member) = self.fleet.get(place.member) else {
            return;
        };
        let mark = member.read_mark;
        self.parts.note_used(now, &place.chain, place.member, mark);
        if place.is_kept {
            self.parts.note_kept(now, &place.chain);
        }
        let shared: u64 = place.chain.iter().map(|(_, tokens)| tokens).sum();
        if shared >= MIN_TOLD_TOKENS {
            let (added, is_kept) = (place.read_tokens, place.is_kept);
            self.tell_parts(now, place.member, &place.chain, added, true, is_kept);
        }
    }

    /// Gathers news of parts for other instances.
    fn tell_parts(
        &mut self,
        now: Moment,
        member: MemberKey,
        chain: &[(u64, u64)],
        read_tokens: u64,
        is_read: bool,
        is_kept: bool,
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
            read_tokens,
            is_read,
            is_kept,
        });
        self.recent_parts.extend(news.map(|part| (now, part)));
    }
}
