//! Deterministic driver for tests: virtual time, and a delivery order that a seed determines.

use std::collections::VecDeque;
use std::fmt;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::moment::Moment;
use super::names::{MailboxKey, NameTable};
use super::service::{NextStep, Service, Signal, Turn};

/// Result of one step of a [`SteppedKernel`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SteppedOutcome {
    /// One signal was delivered to the named service.
    Delivered(&'static str),
    /// No signal is queued; the next deadline is in the future.
    IdleUntil(Moment),
    /// No signal is queued and no deadline is set.
    Idle,
}

/// A service in a [`SteppedKernel`], with its queued signals and its deadline.
struct Resident<M> {
    service: Service<M>,
    key: MailboxKey,
    queue: VecDeque<Signal<M>>,
    deadline: Moment,
    stopped: bool,
}

/// Runs services on the calling thread; each step delivers one queued signal.
///
/// Signals to one mailbox are delivered in order; the mailbox of each step is drawn from a
/// generator with the given seed.
pub struct SteppedKernel<M> {
    names: NameTable,
    residents: Vec<Resident<M>>,
    random: StdRng,
    now: Moment,
}

impl<M> fmt::Debug for SteppedKernel<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SteppedKernel")
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

impl<M> SteppedKernel<M> {
    /// Creates a kernel without services, whose delivery order the seed determines.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            names: NameTable::default(),
            residents: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            now: Moment::START,
        }
    }

    /// Adds a service and queues its [`Signal::Start`].
    pub fn add(&mut self, service: Service<M>) -> MailboxKey {
        let key = self.names.register(service.name);
        let queue = VecDeque::from([Signal::Start]);
        self.residents.push(Resident {
            service,
            key,
            queue,
            deadline: Moment::NEVER,
            stopped: false,
        });
        key
    }

    /// Returns the current virtual time.
    #[must_use]
    pub const fn now(&self) -> Moment {
        self.now
    }

    /// Queues a signal; a signal to a stopped service is dropped.
    pub fn post(&mut self, key: MailboxKey, signal: Signal<M>) {
        let resident = &mut self.residents[key.index()];
        if !resident.stopped {
            resident.queue.push_back(signal);
        }
    }

    /// Delivers one queued signal, or returns the next deadline if no signal is queued.
    pub fn step(&mut self) -> SteppedOutcome {
        self.queue_due();
        let ready: Vec<usize> = (0..self.residents.len())
            .filter(|i| !self.residents[*i].queue.is_empty())
            .collect();
        if ready.is_empty() {
            return self.idle();
        }
        let index = ready[self.random.random_range(0..ready.len())];
        self.deliver(index)
    }

    /// Delivers all queued signals and advances the time from deadline to deadline until `end`.
    ///
    /// # Panics
    ///
    /// Panics after ten million deliveries, for example if services message each other endlessly.
    pub fn run_until(&mut self, end: Moment) {
        const MAX_DELIVERIES: u32 = 10_000_000;
        for _ in 0..MAX_DELIVERIES {
            match self.step() {
                SteppedOutcome::Delivered(_) => {}
                SteppedOutcome::IdleUntil(deadline) if deadline <= end => self.now = deadline,
                SteppedOutcome::IdleUntil(_) | SteppedOutcome::Idle => {
                    self.now = self.now.max(end);
                    return;
                }
            }
        }
        panic!("the services are not idle after {MAX_DELIVERIES} deliveries");
    }

    fn queue_due(&mut self) {
        for resident in &mut self.residents {
            if resident.deadline.is_due(self.now) {
                resident.deadline = Moment::NEVER;
                resident.queue.push_back(Signal::Due);
            }
        }
    }

    fn idle(&self) -> SteppedOutcome {
        let next = self
            .residents
            .iter()
            .map(|resident| resident.deadline)
            .min();
        match next {
            Some(deadline) if deadline < Moment::NEVER => SteppedOutcome::IdleUntil(deadline),
            _ => SteppedOutcome::Idle,
        }
    }

    fn deliver(&mut self, index: usize) -> SteppedOutcome {
        let resident = &mut self.residents[index];
        let Some(signal) = resident.queue.pop_front() else {
            return SteppedOutcome::Idle;
        };
        let mut turn = Turn {
            now: self.now,
            own: resident.key,
            names: &self.names,
            outbox: Vec::new(),
        };
        match (resident.service.handle)(&mut turn, signal) {
            NextStep::Wait => resident.deadline = Moment::NEVER,
            NextStep::WaitUntil(deadline) => resident.deadline = deadline,
            NextStep::Stopped => {
                resident.deadline = Moment::NEVER;
                resident.stopped = true;
                resident.queue.clear();
            }
        }
        let name = resident.service.name;
        for (key, mail) in turn.outbox {
            self.post(key, Signal::Mail(mail));
        }
        SteppedOutcome::Delivered(name)
    }
}
