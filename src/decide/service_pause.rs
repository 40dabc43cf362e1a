//! Time until which no upstream of a service wants requests.

use crate::kernel::Moment;

/// Pauses of the upstreams that could run a request.
#[derive(Debug, Default)]
pub struct ServicePause {
    earliest_end: Option<Moment>,
    has_other: bool,
}

impl ServicePause {
    /// Records the end of the pause of one upstream, or that it wants requests.
    pub fn record(&mut self, end: Option<Moment>) {
        match end {
            Some(end) => {
                self.earliest_end = Some(self.earliest_end.map_or(end, |known| known.min(end)));
            }
            None => self.has_other = true,
        }
    }

    /// Returns the end of the first pause if all upstreams are paused.
    #[must_use]
    pub fn end(&self) -> Option<Moment> {
        self.earliest_end.filter(|_| !self.has_other)
    }
}
