//! Service `plain`: simulated upstream without deduplication that counts the runs of each request.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::json;

use super::mail::StandinMail;
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal};

/// Messages to the service `plain`.
#[derive(Debug)]
pub enum PlainMail {
    /// Run a request, given its id if it has one.
    Run(Option<String>, ReplyTo<PlainOutcome>),
    /// Let this number of next requests fail.
    Fail(u64, ReplyTo<()>),
    /// Never answer the requests that are running now, but keep their connections open.
    Silence(ReplyTo<()>),
    /// Read how often each request with an id ran.
    Runs(ReplyTo<BTreeMap<String, u64>>),
}

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlainOutcome {
    /// The request ran; the value counts the runs with this id, including this one.
    Ran(u64),
    /// The request ran and failed, as injected.
    Failed,
}

struct PlainState {
    latency_ms: u64,
    failures_left: u64,
    runs: BTreeMap<String, u64>,
    arrivals: u64,
    running: BTreeMap<(Moment, u64), (PlainOutcome, ReplyTo<PlainOutcome>)>,
    silenced: Vec<ReplyTo<PlainOutcome>>,
}

/// Creates the service, which answers each request after a time in milliseconds.
#[must_use]
pub fn plain_service(latency_ms: u64) -> Service<StandinMail> {
    let mut state = PlainState {
        latency_ms,
        failures_left: 0,
        runs: BTreeMap::new(),
        arrivals: 0,
        running: BTreeMap::new(),
        silenced: Vec::new(),
    };
    Service::new("plain", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Plain(mail)) => state.receive(turn.now, mail),
            Signal::Dump(reply) => reply.send(json!({ "running": state.running.len() })),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::WaitUntil(state.reply_to_due(turn.now))
    })
}

impl PlainState {
    fn receive(&mut self, now: Moment, mail: PlainMail) {
        match mail {
            PlainMail::Run(id, reply) => {
                let outcome = self.run(id);
                let due = now.after(Duration::from_millis(self.latency_ms));
                self.arrivals += 1;
                self.running.insert((due, self.arrivals), (outcome, reply));
            }
            PlainMail::Fail(count, reply) => {
                self.failures_left = count;
                reply.send(());
            }
            PlainMail::Silence(reply) => {
                let running = std::mem::take(&mut self.running);
                self.silenced
                    .extend(running.into_values().map(|(_, caller)| caller));
                reply.send(());
            }
            PlainMail::Runs(reply) => reply.send(self.runs.clone()),
        }
    }

    fn run(&mut self, id: Option<String>) -> PlainOutcome {
        let mut count = 1;
        if let Some(id) = id {
            let runs = self.runs.entry(id).or_default();
            *runs += 1;
            count = *runs;
        }
        if self.failures_left == 0 {
            return PlainOutcome::Ran(count);
        }
        self.failures_left -= 1;
        PlainOutcome::Failed
    }

    fn reply_to_due(&mut self, now: Moment) -> Moment {
        while let Some(entry) = self.running.first_entry() {
            let due = entry.key().0;
            if !due.is_due(now) {
                return due;
            }
            let (outcome, reply) = entry.remove();
            reply.send(outcome);
        }
        Moment::NEVER
    }
}
