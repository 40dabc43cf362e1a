//! Time until which no upstream of a service wants requests.

use super::fleet::FleetMember;
use crate::kernel::Moment;

/// Pauses of the upstreams that could run a request.
#[derive(Debug, Default)]
pub(super) struct ServicePause {
    earliest_end: Option<Moment>,
    has_other: bool,
}

impl ServicePause {
    /// Adds an upstream; one that leaves does not count.
    pub(super) fn add(&mut self, now: Moment, member: &FleetMember) {
        match member.notice.pause_end(now) {
            _ if member.is_leaving() => {}
            Some(end) => {
                self.earliest_end = Some(self.earliest_end.map_or(end, |known| known.min(end)));
            }
            None => self.has_other = true,
        }
    }

    /// Returns the end of the first pause if all upstreams that do not leave are paused.
    pub(super) fn end(&self) -> Option<Moment> {
        self.earliest_end.filter(|_| !self.has_other)
    }
}
