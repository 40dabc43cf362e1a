//! Confirmation of a plan: appends it and finds out what became of it.

use super::ids::LogOffset;

/// Appends without a clear answer before the confirmation gives up.
pub const MAX_APPENDS: u32 = 4;

/// What an append came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The plan stands on the log.
    Appended(LogOffset),
    /// The plan was certainly not appended.
    NotAppended,
    /// The plan may have been appended.
    Unanswered,
}

/// A copy of the plan on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanCopy {
    /// Its offset.
    pub offset: LogOffset,
    /// Whether replay put it in force.
    pub in_force: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmStep {
    /// Append the plan; a second copy has no effect once the first one is in force.
    Append,
    /// Read the log up to its end.
    Read,
    /// It is known what became of the plan.
    Settled(Settlement),
}

/// What became of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settlement {
    /// In force from this offset on.
    InForce(LogOffset),
    /// All copies were refused; the offset is that of the last one.
    Refused(LogOffset),
    /// The log cannot be reached and no copy was appended.
    NotAppended,
    /// A copy may still come to stand on the log.
    Unknown,
}

/// State of one confirmation.
#[derive(Debug, Default, Clone)]
pub struct Confirmation {
    appends: u32,
    unanswered: u32,
    refused: u32,
    wants_read: bool,
    highest: LogOffset,
    copies: Vec<PlanCopy>,
}

impl Confirmation {
    /// Returns the next step.
    #[must_use]
    pub fn step(&self) -> ConfirmStep {
        if let Some(copy) = self.copies.iter().find(|copy| copy.in_force) {
            return ConfirmStep::Settled(Settlement::InForce(copy.offset));
        }
        if self.wants_read {
            return ConfirmStep::Read;
        }
        let answered = self.appends - self.unanswered - self.refused;
        if let Some(last) = self.copies.last()
            && self.copies.len() >= (answered + self.unanswered) as usize
        {
            return ConfirmStep::Settled(Settlement::Refused(last.offset));
        }
        if self.appends < MAX_APPENDS && self.copies.is_empty() {
            return ConfirmStep::Append;
        }
        if self.unanswered == 0 && answered == 0 {
            return ConfirmStep::Settled(Settlement::NotAppended);
        }
        ConfirmStep::Settled(Settlement::Unknown)
    }

    /// Takes in what an append came to.
    pub fn appended(&mut self, result: AppendResult) {
        self.appends += 1;
        match result {
            AppendResult::Appended(offset) => {
                self.highest = self.highest.max(offset);
                self.wants_read = true;
            }
            AppendResult::NotAppended => self.refused += 1,
            AppendResult::Unanswered => {
                self.unanswered += 1;
                self.wants_read = true;
            }
        }
    }

    /// Takes in that the log was read up to an offset, and the copies found so far.
    pub fn read(&mut self, next_offset: LogOffset, copies: Vec<PlanCopy>) {
        self.copies = copies;
        self.wants_read =
            self.appends > self.unanswered + self.refused && next_offset <= self.highest;
    }

    /// Takes in that the log cannot be read.
    pub fn unreadable(&mut self) {
        self.wants_read = false;
        self.appends = MAX_APPENDS.max(self.appends);
    }
}
