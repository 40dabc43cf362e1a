//! Monotonic time of one process; its values cannot be compared with those of another process.

use std::time::{Duration, Instant};

use rustix::time::{ClockId, clock_gettime};

/// A point in time, in microseconds since the [`Clock`] of the process started.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(u64);

impl Moment {
    /// The time at which the clock of the process started.
    pub const START: Self = Self(0);

    /// A deadline that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a moment from the microseconds since [`Moment::START`].
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since [`Moment::START`].
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the moment `delay` after this one, at most [`Moment::NEVER`].
    ///
    /// ```
    /// use bulrushslip::kernel::Moment;
    /// let later = Moment::START.after(std::time::Duration::from_millis(2));
    /// assert_eq!(later.as_micros(), 2_000);
    /// ```
    #[must_use]
    pub fn after(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(whole_us(delay)))
    }

    /// Returns the moment `time` before this one, at least [`Moment::START`].
    ///
    /// ```
    /// use bulrushslip::kernel::Moment;
    /// let earlier = Moment::from_micros(2_500).before(std::time::Duration::from_millis(2));
    /// assert_eq!(earlier.as_micros(), 500);
    /// ```
    #[must_use]
    pub fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(whole_us(time)))
    }

    /// Returns the time from `now` until this moment, or zero if it has passed.
    #[must_use]
    pub const fn remaining(self, now: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(now.0))
    }

    /// Returns the time from `earlier` until this moment, or zero if `earlier` is the later one.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Reports whether this deadline is reached at `now`.
    #[must_use]
    pub const fn is_due(self, now: Self) -> bool {
        self.0 <= now.0
    }
}

/// Returns a duration in milliseconds, rounded down and at most `u64::MAX`.
#[must_use]
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in microseconds, rounded down and at most `u64::MAX`.
#[must_use]
pub fn whole_us(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Clock of the process; it also counts the time in which the machine is suspended, so that a
/// lease expires while the machine of its holder is suspended.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Duration,
}

impl Clock {
    /// Starts a clock that reads [`Moment::START`] now.
    #[must_use]
    pub fn start() -> Self {
        Self { started: uptime() }
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Moment {
        Moment::START.after(uptime().saturating_sub(self.started))
    }

    /// Converts a deadline to the [`Instant`] that the timers of the runtime take.
    #[must_use]
    pub fn instant(&self, deadline: Moment) -> Instant {
        // A year exceeds the run time of any process and keeps the addition from overflowing.
        const MAX_DELAY: Duration = Duration::from_hours(365 * 24);
        Instant::now() + deadline.remaining(self.now()).min(MAX_DELAY)
    }
}

/// Returns the time since the machine booted, including the time in which it was suspended.
fn uptime() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanos)
}
