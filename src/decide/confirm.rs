//! Confirmation of a plan: appends it to the log and determines whether it is in force.

use super::ids::LogPosition;

/// Maximum number of appends of one plan.
pub const MAX_APPENDS: u32 = 4;

/// Result of one append of the plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The plan was appended at this position.
    Appended(LogPosition),
    /// The plan was not appended.
    NotAppended,
    /// The response was lost; the plan may have been appended.
    Unanswered,
}

/// Record of the plan that was found on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanCopy {
    /// Position of the record.
    pub position: LogPosition,
    /// Whether replay of the record put the plan in force.
    pub in_force: bool,
}

/// Next action of a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmStep {
    /// Append the plan; a second copy has no effect once the first one is in force, since the
    /// plan's objects have then changed.
    Append,
    /// Read the log up to its end.
    Read,
    /// The confirmation has ended.
    Done(ConfirmOutcome),
}

/// Final result of a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmOutcome {
    /// The plan is in force from this position on.
    InForce(LogPosition),
    /// All copies on the log were refused; the position is that of the last one.
    Refused(LogPosition),
    /// No copy of the plan was appended.
    NotAppended,
    /// It is unknown whether the plan is or will be in force; a copy may still appear on the log.
    Unknown,
}

/// State of the confirmation of one plan.
#[derive(Debug, Default, Clone)]
pub struct Confirmation {
    appends: u32,
    unanswered: u32,
    refused: u32,
    needs_read: bool,
    last_appended: LogPosition,
    copies: Vec<PlanCopy>,
}

impl Confirmation {
    /// Returns the next action.
    #[must_use]
    pub fn step(&self) -> ConfirmStep {
        if let Some(copy) = self.copies.iter().find(|copy| copy.in_force) {
            return ConfirmStep::Done(ConfirmOutcome::InForce(copy.position));
        }
        if self.needs_read {
            return ConfirmStep::Read;
        }
        let answered = self.appends - self.unanswered - self.refused;
        if let Some(last) = self.copies.last()
            && self.copies.len() >= (answered + self.unanswered) as usize
        {
            return ConfirmStep::Done(ConfirmOutcome::Refused(last.position));
        }
        if self.appends < MAX_APPENDS && self.copies.is_empty() {
            return ConfirmStep::Append;
        }
        if self.unanswered == 0 && answered == 0 {
            return ConfirmStep::Done(ConfirmOutcome::NotAppended);
        }
        ConfirmStep::Done(ConfirmOutcome::Unknown)
    }

    /// Records the result of an append.
    pub fn on_append(&mut self, result: AppendResult) {
        self.appends += 1;
        match result {
            AppendResult::Appended(position) => {
                self.last_appended = self.last_appended.max(position);
                self.needs_read = true;
            }
            AppendResult::NotAppended => self.refused += 1,
            AppendResult::Unanswered => {
                self.unanswered += 1;
                self.needs_read = true;
            }
        }
    }

    /// Records that the log was read up to `next`, and all copies of the plan found so far.
    pub fn on_read(&mut self, next: LogPosition, copies: Vec<PlanCopy>) {
        self.copies = copies;
        self.needs_read =
            self.appends > self.unanswered + self.refused && next <= self.last_appended;
    }

    /// Records that the log could not be read; no further appends are made.
    pub fn on_read_failed(&mut self) {
        self.needs_read = false;
        self.appends = MAX_APPENDS.max(self.appends);
    }
}
