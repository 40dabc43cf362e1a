//! Service `journal` of an entry: what was decided for its latest requests, and why.

use std::collections::VecDeque;

use serde_json::{Value, json};

use crate::decide::ids::Ticket;
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::kernel::{Moment, NextStep, Service, Signal};
use crate::services::common::mail::{JournalMail, Mail};

/// Name of the service.
pub const NAME: &str = "journal";

/// Requests that are remembered; the oldest are dropped first.
const MAX_REPORTS: usize = 4_096;

/// Steps of one request that are remembered; further ones are counted only.
const MAX_STEPS: usize = 32;

/// Latest requests that a dump shows.
const SHOWN_IN_DUMP: usize = 16;

/// One event of a request.
#[derive(Debug, Clone)]
pub struct ReportStep {
    /// When it happened.
    pub at: Moment,
    /// Name of the upstream; empty before one was chosen.
    pub upstream: String,
    /// Ticket of the attempt.
    pub ticket: Option<Ticket>,
    /// What happened.
    pub event: String,
}

/// What was decided for one request.
#[derive(Debug, Clone)]
pub struct RequestReport {
    /// Identifies the request towards its caller.
    pub id: u64,
    /// Name of the customer.
    pub customer: String,
    /// Name of the rank.
    pub rank: &'static str,
    /// What it was sent to, and the version.
    pub target: String,
    /// When it arrived.
    pub arrived: Moment,
    /// Events in order.
    pub steps: Vec<ReportStep>,
    /// Events that were not kept.
    pub dropped_steps: u32,
    /// What the caller was told; `None` when the caller left first.
    pub told: Option<(RunStatus, Option<RefusalReason>)>,
}

impl RequestReport {
    /// Adds an event.
    pub fn add(&mut self, step: ReportStep) {
        if self.steps.len() == MAX_STEPS {
            self.dropped_steps += 1;
            return;
        }
        self.steps.push(step);
    }

    /// Returns the report as JSON; times are milliseconds after the arrival.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let steps: Vec<Value> = self.steps.iter().map(|step| self.step_json(step)).collect();
        let told = self.told.map_or("caller left", |(status, _)| status.name());
        let reason = self
            .told
            .and_then(|(_, reason)| reason)
            .map(RefusalReason::code);
        json!({
            "id": request_id(self.id),
            "customer": self.customer,
            "rank": self.rank,
            "target": self.target,
            "steps": steps,
            "dropped_steps": self.dropped_steps,
            "told": told,
            "reason": reason,
        })
    }

    fn step_json(&self, step: &ReportStep) -> Value {
        json!({
            "after_ms": step.at.since(self.arrived).as_secs_f64() * 1_000.0,
            "upstream": step.upstream,
            "ticket": step.ticket.map(|ticket| ticket.to_string()),
            "event": step.event,
        })
    }
}

/// Returns the form of a request's id that callers see.
#[must_use]
pub fn request_id(id: u64) -> String {
    format!("req-{id:016x}")
}

/// Creates the service `journal`.
#[must_use]
pub fn journal_service() -> Service<Mail> {
    let mut reports: VecDeque<RequestReport> = VecDeque::new();
    Service::new(NAME, move |_turn, signal| {
        match signal {
            Signal::Mail(Mail::Journal(JournalMail::Report(report))) => {
                if reports.len() == MAX_REPORTS {
                    reports.pop_front();
                }
                reports.push_back(report);
            }
            Signal::Mail(Mail::Journal(JournalMail::Find(id, reply_to))) => {
                let found = reports
                    .iter()
                    .rev()
                    .find(|report| request_id(report.id) == id);
                reply_to.send(found.map(RequestReport::to_json));
            }
            Signal::Dump(reply_to) => {
                let latest = reports.iter().rev().take(SHOWN_IN_DUMP);
                let latest: Vec<Value> = latest.map(RequestReport::to_json).collect();
                reply_to.send(json!({"kept": reports.len(), "latest": latest}));
            }
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}
