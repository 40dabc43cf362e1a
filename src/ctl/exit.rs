//! Exit statuses of `bulrushslip-ctl`, documented in docs/OPERATIONS.md.

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Everything asked for was done.
    Done = 0,
    /// The input cannot be read or has no meaning.
    BadInput = 2,
    /// The change was refused and has no effect.
    Refused = 3,
    /// The platform's log cannot be reached; nothing was changed.
    Unavailable = 4,
    /// The change may have been made and it cannot be told at present.
    Unknown = 5,
    /// The change is made but not yet in force at every process.
    NotEverywhere = 6,
}

impl From<ExitStatus> for std::process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
