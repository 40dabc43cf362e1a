//! Service `journal` of an entry: keeps reports on the latest requests for operators.

use std::collections::VecDeque;

use serde_json::{Value, json};

use crate::decide::ids::Ticket;
use crate::decide::outcome::{RefusalReason, RunStatus};
use crate::kernel::{Moment, NextStep, Service, Signal};
use crate::services::common::mail::{JournalMail, Mail};

/// Name under which the service `journal` is registered.
pub const NAME: &str = "journal";

/// Maximum number of reports that are kept; the oldest are dropped first.
const MAX_REPORTS: usize = 4_096;

/// Maximum number of events in one report; further ones are only counted.
const MAX_STEPS: usize = 32;

/// Number of the latest reports that a dump contains.
const MAX_REPORTS_IN_DUMP: usize = 16;

/// One event in the processing of a request.
#[derive(Debug, Clone)]
pub struct ReportStep {
    /// Time of the event.
    pub at: Moment,
    /// Name of the upstream; empty until one is chosen.
    pub upstream: String,
    /// Ticket of the attempt; `None` until one is chosen.
    pub ticket: Option<Ticket>,
    /// The event as debug text.
    pub event: String,
    /// Number of equal events that followed it.
    pub repeats: u32,
}

impl ReportStep {
    fn repeats(&self, earlier: &Self) -> bool {
        let same_target = self.upstream == earlier.upstream && self.ticket == earlier.ticket;
        same_target && self.event == earlier.event
    }
}

/// Report on the processing of one request.
#[derive(Debug, Clone)]
pub struct RequestReport {
    /// Identifier of the request; the caller receives it in the header `x-request-id`.
    pub id: u64,
    /// Name of the customer that sent the request.
    pub customer: String,
    /// Name of the rank of the request.
    pub rank: &'static str,
    /// Model and version, or service, that the request is sent to.
    pub target: String,
    /// Time at which the request was admitted.
    pub admitted_at: Moment,
    /// Events in chronological order, at most `MAX_STEPS`.
    pub steps: Vec<ReportStep>,
    /// Number of events beyond `MAX_STEPS`.
    pub dropped_steps: u32,
    /// Run status that the caller received, with the reason for a refusal; `None` if the caller
    /// disconnected before.
    pub reported: Option<(RunStatus, Option<RefusalReason>)>,
}

impl RequestReport {
    /// Adds an event, or only counts it if it repeats the one before or the report is full.
    pub fn add(&mut self, step: ReportStep) {
        if let Some(last) = self.steps.last_mut()
            && self.dropped_steps == 0
            && step.repeats(last)
        {
            last.repeats += 1;
            return;
        }
        if self.steps.len() == MAX_STEPS {
            self.dropped_steps += 1;
            return;
        }
        self.steps.push(step);
    }

    /// Returns the report as JSON, with the time of each event in milliseconds after the admission.
    #[must_use]
    pub fn to_json(&self) -> Value {
        let steps: Vec<Value> = self.steps.iter().map(|step| self.step_json(step)).collect();
        let reported = self
            .reported
            .map_or("caller left", |(status, _)| status.name());
        let reason = self
            .reported
            .and_then(|(_, reason)| reason)
            .map(RefusalReason::code);
        json!({
            "id": request_id(self.id),
            "customer": self.customer,
            "rank": self.rank,
            "target": self.target,
            "steps": steps,
            "dropped_steps": self.dropped_steps,
            "told": reported,
            "reason": reason,
        })
    }

    /// Returns the events as text, each with its time in milliseconds after the admission.
    #[must_use]
    pub fn steps_text(&self) -> String {
        let texts = self.steps.iter().map(|step| self.step_text(step));
        let mut texts: Vec<String> = texts.collect();
        if self.dropped_steps > 0 {
            texts.push(format!("{} more", self.dropped_steps));
        }
        texts.join("; ")
    }

    fn step_text(&self, step: &ReportStep) -> String {
        let after_ms = step.at.since(self.admitted_at).as_millis();
        let ticket = step.ticket.map(|ticket| ticket.to_string());
        let ticket = ticket.as_deref().unwrap_or("-");
        let text = format!("{after_ms} ms {} {ticket} {}", step.upstream, step.event);
        match step.repeats {
            0 => text,
            repeats => format!("{text} and {repeats} times more"),
        }
    }

    fn step_json(&self, step: &ReportStep) -> Value {
        json!({
            "after_ms": step.at.since(self.admitted_at).as_secs_f64() * 1_000.0,
            "upstream": step.upstream,
            "ticket": step.ticket.map(|ticket| ticket.to_string()),
            "event": step.event,
            "repeats": step.repeats,
        })
    }
}

/// Formats the identifier of a request as callers receive it.
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
                let latest = reports.iter().rev().take(MAX_REPORTS_IN_DUMP);
                let latest: Vec<Value> = latest.map(RequestReport::to_json).collect();
                reply_to.send(json!({"kept": reports.len(), "latest": latest}));
            }
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}
