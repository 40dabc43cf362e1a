//! Time limits of calls to a sidecar, which grow while the sidecar does not reply.

use std::time::Duration;

use super::request_step::RequestEvent;
use crate::kernel::Moment;

/// Maximum number of times that the limit of a call doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Calls in a row to one sidecar that got no reply.
///
/// A missing reply means a broken connection, a lost sidecar or a slow one. The next call uses a new
/// connection and waits twice as long, so that a slow sidecar is read in the end.
///
/// ```
/// use std::time::Duration;
/// use bulrushslip::decide::call_patience::CallPatience;
/// use bulrushslip::decide::request_step::RequestEvent;
/// use bulrushslip::kernel::Moment;
/// let second = Duration::from_secs(1);
/// let mut patience = CallPatience::default();
/// patience.record(Moment::START, &RequestEvent::Lost, 20 * second);
/// assert_eq!(patience.limit(Moment::START, second), 2 * second);
/// patience.record(Moment::START, &RequestEvent::Accepted, 20 * second);
/// assert_eq!(patience.limit(Moment::START, second), second);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct CallPatience {
    lost_calls: u32,
    /// Time at which the request gives the sidecar up; `NEVER` while calls succeed.
    give_up_at: Moment,
}

impl Default for CallPatience {
    fn default() -> Self {
        Self {
            lost_calls: 0,
            give_up_at: Moment::NEVER,
        }
    }
}

impl CallPatience {
    /// Records the result of a call; `recovery` is the time after which a sidecar is given up.
    pub fn record(&mut self, now: Moment, event: &RequestEvent, recovery: Duration) {
        match event {
            RequestEvent::Unsent => {}
            RequestEvent::Lost => {
                if self.lost_calls == 0 {
                    self.give_up_at = now.after(recovery);
                }
                self.lost_calls += 1;
            }
            _ => *self = Self::default(),
        }
    }

    /// Returns the time limit of the next call; `base` is the one without lost calls.
    #[must_use]
    pub fn limit(&self, now: Moment, base: Duration) -> Duration {
        let doubled = base.saturating_mul(1 << self.lost_calls.min(MAX_DOUBLINGS));
        doubled.min(self.give_up_at.remaining(now)).max(base)
    }
}
