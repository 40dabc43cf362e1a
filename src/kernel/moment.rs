//! Points in time of one process, comparable only within that process.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// A point in time in microseconds since the process started; deadlines are stored as moments.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// A moment that never comes.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a moment from microseconds since the start.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since the start.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the moment that lies `delay` later, at most [`Moment::NEVER`].
    ///
    /// ```
    /// use bulrushslip::kernel::Moment;
    /// let later = Moment::START.after(std::time::Duration::from_millis(2));
    /// assert_eq!(later.as_micros(), 2_000);
    /// ```
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        Self(
            self.0
                .saturating_add(u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)),
        )
    }

    /// Returns the time from `now` until this moment, zero once it has passed.
    #[must_use]
    pub const fn remaining(self, now: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(now.0))
    }

    /// Returns the time that has passed from `earlier` until this moment.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Tells whether this deadline has come.
    #[must_use]
    pub const fn is_due(self, now: Self) -> bool {
        self.0 <= now.0
    }
}

/// Returns a time in whole milliseconds, at most `u64::MAX`.
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Turns the clock of the machine into [`Moment`]s; time in which it is suspended counts, so that
/// a lease ends while its holder sleeps.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock whose [`Moment::START`] is now.
    #[must_use]
    pub fn start() -> Self {
        Self { started: uptime() }
    }

    /// Returns the present moment.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::START.after(uptime().saturating_sub(self.started))
    }

    /// Converts a deadline into the form that the runtime's timers take, as seen from now.
    #[must_use]
    pub fn instant(&self, deadline: Moment) -> Instant {
        // A year is further off than any process lives and keeps the addition in range.
        const FARTHEST: Duration = Duration::from_hours(365 * 24);
        Instant::now() + deadline.remaining(self.now()).min(FARTHEST)
    }
}

/// Returns the time since the machine started, suspended time included.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
