//! What upstreams have said of themselves that are not listed now. An entry that expired in an outage
//! of the store returns later, and the notice still holds.

use std::collections::VecDeque;

use super::fleet::UpstreamEntry;
use super::hashing::name_hash;
use super::member_notice::MemberNotice;

/// Maximum number of runs whose notices are kept; the oldest is dropped first.
const MAX_RUNS: usize = 1024;

/// One run of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MemberRun {
    id_hash: u64,
    started_unix_ms: u64,
}

/// Notices of runs that are not listed, oldest first.
#[derive(Debug, Default)]
pub(super) struct UnlistedNotices {
    notices: VecDeque<(MemberRun, MemberNotice)>,
}

impl MemberRun {
    fn of(entry: &UpstreamEntry) -> Self {
        Self {
            id_hash: name_hash(&entry.id),
            started_unix_ms: entry.started_unix_ms,
        }
    }
}

impl UnlistedNotices {
    /// Keeps the notice of a run whose entry was removed, if it says anything.
    pub(super) fn keep(&mut self, entry: &UpstreamEntry, notice: MemberNotice) {
        if notice == MemberNotice::default() {
            return;
        }
        let kept = (MemberRun::of(entry), notice.without_requests());
        self.notices.push_back(kept);
        if self.notices.len() > MAX_RUNS {
            self.notices.pop_front();
        }
    }

    /// Takes out the notice of a run that is listed again.
    pub(super) fn take(&mut self, entry: &UpstreamEntry) -> MemberNotice {
        let run = MemberRun::of(entry);
        let position = self.notices.iter().position(|(known, _)| *known == run);
        let kept = position.and_then(|position| self.notices.remove(position));
        kept.map(|(_, notice)| notice).unwrap_or_default()
    }
}
