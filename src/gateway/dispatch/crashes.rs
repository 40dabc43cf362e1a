//! Crashes of upstreams: which requests and prompt segments were running in them, and what follows
//! for requests that are like those.

use std::fmt::Display;
use std::time::Duration;

use super::start_deadline::CancelReason;
use super::state::{DispatchState, LostRequest, RunningRequest};
use super::suspicions::NEWS_REPEAT_TIME;
use crate::decide::fleet::{FleetMember, MemberKey, MemberOutcome, MemberState};
use crate::decide::ids::{EngineEpoch, Incarnation, Ticket};
use crate::decide::prompt_parts::PromptShape;
use crate::decide::segment_entry::SegmentKey;
use crate::decide::segment_suspects::{SegmentCrash, SegmentVerdict, shared_segments};
use crate::decide::suspects::{CrashId, SuspectVerdict};
use crate::events::{EventKind, SEGMENT_CLEARED, SEGMENT_REFUSED, UPSTREAM_CRASHED, log_event};
use crate::gateway::mail::{PlacementRefusal, PlacementRequest};
use crate::kernel::{Moment, whole_ms};
use crate::wire::peer_rpc::WireSegmentNews;

/// Time within which a failed connection attempt shows that an earlier lost request was lost to a
/// crash of the upstream.
const CRASH_DETECTION_WINDOW: Duration = Duration::from_millis(1_500);

/// Time within which the next run of an upstream shows the same; it is listed only some time after
/// its start.
const RESTART_DETECTION_WINDOW: Duration = Duration::from_secs(8);

/// Maximum number of lost requests that are remembered until a crash is detected or ruled out.
const MAX_LOST_REQUESTS: usize = 512;

/// Maximum number of news of segments that are kept for gossip.
const MAX_SEGMENT_NEWS: usize = 512;

/// Maximum number of segments that are reported of one crash; those that were seen in earlier
/// crashes go first.
const MAX_REPORTED_SEGMENTS: usize = 128;

/// Maximum number of crashes of refused segments in one message.
const MAX_REFUSED_NEWS: usize = 128;

/// What an instance tells others of a segment.
#[derive(Debug, Clone, Copy)]
pub enum SegmentNews {
    /// A request with the segment was running in a crash.
    Crash(SegmentCrash),
    /// The segment is cleared of a crash.
    Cleared(SegmentKey, CrashId),
}

/// How a crash was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CrashSign {
    /// The upstream accepts no connection.
    Unreachable,
    /// The upstream's next run is listed.
    Restarted,
    /// Another upstream is listed at its address, though it has not said that it leaves.
    Replaced,
}

impl DispatchState {
    /// Updates crash suspicions from the outcome of a request.
    pub(super) fn record_outcome(
        &mut self,
        now: Moment,
        running: &RunningRequest,
        outcome: MemberOutcome,
    ) {
        match outcome {
            MemberOutcome::Lost => {
                self.lost_requests.push_back(LostRequest {
                    at: now,
                    member: running.member,
                    fingerprint: running.fingerprint,
                    prompt: running.prompt.clone(),
                });
                while self.lost_requests.len() > MAX_LOST_REQUESTS {
                    self.lost_requests.pop_front();
                }
            }
            MemberOutcome::Unreachable => self.record_unreachable(now, running.member),
            MemberOutcome::Answered => self.record_answer(now, running),
            _ => {}
        }
    }

    /// Records that an upstream accepts no connections.
    pub(super) fn record_unreachable(&mut self, now: Moment, member: MemberKey) {
        self.pool.close_all(member);
        self.record_crash(now, member, CrashSign::Unreachable);
    }

    /// Records that a probe after a lost request found the upstream down.
    pub(super) fn record_failed_probe(&mut self, now: Moment, member: MemberKey) {
        if let Some(found) = self.fleet.get_mut(member) {
            found.record_outcome(now, MemberOutcome::Unreachable);
        }
        self.record_unreachable(now, member);
    }

    /// Clears what a complete answer shows to be sound: the request, its segments and its upstream.
    fn record_answer(&mut self, now: Moment, running: &RunningRequest) {
        if !self.suspects.is_empty() {
            self.clear_request(now, running.fingerprint);
        }
        if self.segments.is_empty() {
            return;
        }
        let crash = self.fleet.get(running.member).map(crash_of);
        let mut has_changed = crash.is_some_and(|crash| self.segments.refute(now, crash));
        if let Some(prompt) = &running.prompt {
            for (segment, crash) in self.segments.complete(shared_segments(prompt)) {
                has_changed = true;
                self.queue_segment_news(now, SegmentNews::Cleared(segment, crash));
            }
        }
        if has_changed {
            self.review_segments(now);
        }
    }

    /// Records the crash of a run whose address a new upstream has taken over. A run that is draining has
    /// left.
    pub(super) fn record_replacement(&mut self, now: Moment, new: MemberKey) {
        let Some(entry) = self.fleet.get(new).map(|member| &member.entry) else {
            return;
        };
        let address = entry.address;
        let replaced = self.fleet.iter().find(|(key, member)| {
            let entry = &member.entry;
            *key != new && entry.address == address && entry.state == MemberState::Ready
        });
        if let Some((old, _)) = replaced {
            self.record_crash(now, old, CrashSign::Replaced);
        }
    }

    /// Reports as suspects the requests that were lost at an upstream shortly before it was found
    /// to be down, and their segments.
    pub(super) fn record_crash(&mut self, now: Moment, member: MemberKey, sign: CrashSign) {
        let Some(crashed) = self.fleet.get(member) else {
            return;
        };
        let window = match sign {
            CrashSign::Unreachable => CRASH_DETECTION_WINDOW,
            CrashSign::Restarted | CrashSign::Replaced => RESTART_DETECTION_WINDOW,
        };
        let crash = crash_of(crashed);
        let upstream = crashed.entry.id.clone();
        let of_member = self
            .lost_requests
            .iter()
            .filter(|lost| lost.member == member);
        let lost: Vec<LostRequest> = of_member
            .filter(|lost| now.since(lost.at) < window)
            .cloned()
            .collect();
        // An older loss is not explained by this sign, but may be by the next run.
        self.lost_requests.retain(|lost| {
            let age = now.since(lost.at);
            age < RESTART_DETECTION_WINDOW && (lost.member != member || age >= window)
        });
        if lost.is_empty() {
            return;
        }
        for request in &lost {
            self.record_suspicion(now, request.fingerprint, crash);
        }
        let reported = self.report_segments(now, crash, &lost);
        log_event(
            &UPSTREAM_CRASHED,
            &[
                ("upstream", &upstream),
                ("born", &crash.epoch.0),
                ("lost", &lost.len()),
                ("segments", &reported),
            ],
        );
    }

    /// Reports the segments of requests that were lost in a crash; returns how many.
    fn report_segments(&mut self, now: Moment, crash: CrashId, lost: &[LostRequest]) -> usize {
        let mut seen: Vec<SegmentCrash> = Vec::new();
        for request in lost {
            let prompt = request.prompt.as_deref();
            for (depth, segment) in (0..).zip(prompt.into_iter().flat_map(shared_segments)) {
                if !seen.iter().any(|known| known.segment == segment) {
                    seen.push(SegmentCrash {
                        segment,
                        depth,
                        crash,
                        at: request.at,
                    });
                }
            }
        }
        seen.sort_by_key(|report| !self.segments.contains(report.segment));
        seen.truncate(MAX_REPORTED_SEGMENTS);
        for report in &seen {
            self.report_segment(now, *report, None);
        }
        self.review_segments(now);
        seen.len()
    }

    fn report_segment(&mut self, now: Moment, report: SegmentCrash, refused_for: Option<Duration>) {
        if self.segments.report(now, report, refused_for) {
            self.queue_segment_news(now, SegmentNews::Crash(report));
        }
    }

    /// Decides anew which segments are refused, and applies what has changed.
    fn review_segments(&mut self, now: Moment) {
        let review = self.segments.review(now);
        for segment in &review.refused {
            self.log_segment(&SEGMENT_REFUSED, *segment);
        }
        for segment in &review.released {
            self.log_segment(&SEGMENT_CLEARED, *segment);
        }
        if !review.refused.is_empty() {
            self.apply_refusals(now);
        }
    }

    fn log_segment(&self, kind: &EventKind, segment: SegmentKey) {
        let fields: [(&str, &dyn Display); 2] = [
            ("segment", &format_args!("{:016x}", segment.0)),
            ("crashes", &self.segments.crash_count(segment)),
        ];
        log_event(kind, &fields);
    }

    fn queue_segment_news(&mut self, now: Moment, news: SegmentNews) {
        self.segment_news.push_back((now, news));
        if self.segment_news.len() > MAX_SEGMENT_NEWS {
            self.segment_news.pop_front();
        }
    }

    /// Returns whether a request must not be sent, because requests like it crash upstreams.
    pub(super) fn is_poisonous(&self, now: Moment, request: &PlacementRequest) -> bool {
        if self.suspects.verdict(now, request.fingerprint) == SuspectVerdict::Poisonous {
            return true;
        }
        let prompt = request.prompt.as_deref();
        prompt.is_some_and(|prompt| self.has_refused_segment(now, prompt))
    }

    fn has_refused_segment(&self, now: Moment, prompt: &PromptShape) -> bool {
        let own = self.identity.id;
        let rank = self.peers.keys().filter(|peer| **peer < own).count();
        let verdict = self.segments.verdict(now, shared_segments(prompt), rank);
        matches!(verdict, SegmentVerdict::Refused(_))
    }

    /// Refuses waiting requests with a segment that is refused now, and cancels those that an
    /// upstream has not begun to answer.
    fn apply_refusals(&mut self, now: Moment) {
        let waiting = self.waiting.iter().filter(|(_, waiting)| {
            let prompt = waiting.request.prompt.as_deref();
            prompt.is_some_and(|prompt| self.has_refused_segment(now, prompt))
        });
        let tickets: Vec<Ticket> = waiting.map(|(ticket, _)| *ticket).collect();
        for ticket in tickets {
            self.refuse_waiting(ticket, PlacementRefusal::Poisonous);
        }
        let unstarted = self.unstarted.keys().filter(|ticket| {
            let running = self.running.get(ticket);
            let prompt = running.and_then(|running| running.prompt.as_deref());
            prompt.is_some_and(|prompt| self.has_refused_segment(now, prompt))
        });
        let tickets: Vec<Ticket> = unstarted.copied().collect();
        for ticket in tickets {
            self.cancel(now, ticket, CancelReason::RefusedSegment);
        }
    }

    /// Applies another instance's news of segments.
    pub(super) fn apply_segment_news(&mut self, now: Moment, news: &[WireSegmentNews]) {
        for news in news {
            let segment = SegmentKey(news.segment);
            let crash = CrashId {
                sidecar: Incarnation(news.upstream),
                epoch: EngineEpoch(news.born),
            };
            if news.is_cleared {
                if self.segments.clear(now, segment, crash) {
                    self.queue_segment_news(now, SegmentNews::Cleared(segment, crash));
                }
                continue;
            }
            let report = SegmentCrash {
                segment,
                depth: news.depth,
                crash,
                at: now.before(Duration::from_millis(news.ago_ms)),
            };
            let refused_for = news.refused_ms.map(Duration::from_millis);
            self.report_segment(now, report, refused_for);
        }
        self.review_segments(now);
    }

    /// Returns the news of segments for another instance.
    pub(super) fn segment_news(&self, now: Moment) -> Vec<WireSegmentNews> {
        let recent = self.segment_news.iter();
        let fresh = recent.filter(|(at, _)| now.since(*at) < NEWS_REPEAT_TIME);
        let fresh = fresh.map(|(_, news)| match news {
            SegmentNews::Crash(crash) => wire_crash(now, *crash, None),
            SegmentNews::Cleared(segment, crash) => WireSegmentNews {
                segment: segment.0,
                depth: 0,
                upstream: crash.sidecar.0,
                born: crash.epoch.0,
                is_cleared: true,
                ago_ms: 0,
                refused_ms: None,
            },
        });
        let refused = self.segments.refused(now).take(MAX_REFUSED_NEWS);
        let refused = refused.map(|(crash, until)| wire_crash(now, crash, Some(until)));
        fresh.chain(refused).collect()
    }
}

fn wire_crash(now: Moment, report: SegmentCrash, refused_until: Option<Moment>) -> WireSegmentNews {
    WireSegmentNews {
        segment: report.segment.0,
        depth: report.depth,
        upstream: report.crash.sidecar.0,
        born: report.crash.epoch.0,
        is_cleared: false,
        ago_ms: whole_ms(now.since(report.at)),
        refused_ms: refused_until.map(|until| whole_ms(until.remaining(now))),
    }
}

/// Returns the crash that ends the present run of an upstream.
fn crash_of(member: &FleetMember) -> CrashId {
    CrashId {
        sidecar: Incarnation(member.id_hash),
        epoch: EngineEpoch(member.entry.started_unix_ms),
    }
}
