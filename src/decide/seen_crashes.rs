//! Engine crashes in which attempts of one request were running, as its entry knows them.

use super::ids::Ticket;
use super::outcome::StreamEnd;
use super::request_step::RequestEvent;
use super::suspect_guard::SuspectUpdate;
use super::suspects::{CrashId, Fingerprint};

/// Crashes of one request, derived from the engine that each reply of a sidecar states.
///
/// A crash counts only if the reply about the loss states the engine that ran the ticket. Another
/// one may have started since, and a crash under a wrong name would count as a second crash.
#[derive(Debug, Clone, Default)]
pub struct SeenCrashes {
    crashes: Vec<CrashId>,
    /// Current ticket, and the crash that the loss of its engine would be.
    engine: Option<(Ticket, CrashId)>,
    /// Ticket of which a call got no reply.
    unanswered: Option<Ticket>,
}

impl SeenCrashes {
    /// Records the result of a submission; `stated` is the crash that the loss of the engine stated
    /// by the reply would be.
    pub fn record_submission(
        &mut self,
        ticket: Ticket,
        event: &RequestEvent,
        stated: Option<CrashId>,
    ) {
        match event {
            RequestEvent::Lost => self.unanswered = Some(ticket),
            RequestEvent::Accepted => self.set_engine(ticket, stated),
            _ => {}
        }
    }

    /// Records the result of a read, which may tell that the answer was lost with the engine.
    pub fn record_read(&mut self, ticket: Ticket, event: &RequestEvent, stated: Option<CrashId>) {
        match event {
            RequestEvent::Lost | RequestEvent::Unsent => self.unanswered = Some(ticket),
            RequestEvent::Items {
                end: Some(StreamEnd::EngineLost | StreamEnd::Uncertain),
                ..
            } => self.record_loss(ticket, stated),
            // The ticket may have waited for its start while the engine restarted.
            RequestEvent::Items {
                from_index: 0,
                count: 1..,
                ..
            } => self.set_engine(ticket, stated),
            _ => {}
        }
    }

    /// Returns the updates that a sidecar must have applied before it receives a submission.
    #[must_use]
    pub fn updates(&self, fingerprint: Fingerprint) -> Vec<SuspectUpdate> {
        let update = |crash: &CrashId| SuspectUpdate {
            fingerprint,
            seen_in: Some(*crash),
            cleared_of: Vec::new(),
        };
        self.crashes.iter().map(update).collect()
    }

    fn set_engine(&mut self, ticket: Ticket, stated: Option<CrashId>) {
        // While a reply was missing, the ticket may have started and the engine restarted.
        if self.unanswered != Some(ticket) {
            self.engine = stated.map(|crash| (ticket, crash));
        }
    }

    fn record_loss(&mut self, ticket: Ticket, stated: Option<CrashId>) {
        let Some(crash) = stated else { return };
        if self.engine == Some((ticket, crash)) && !self.crashes.contains(&crash) {
            self.crashes.push(crash);
        }
    }
}
