//! Exit statuses of `bulrushslip-ctl`, documented in docs/OPERATIONS.md.

/// Result of a command, returned as the exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command was carried out completely.
    Done = 0,
    /// An argument is not valid, or a file cannot be read or written.
    BadInput = 2,
    /// The change was refused without effect, a call returned an error status, or no record
    /// of the given request was found.
    Refused = 3,
    /// The platform or a process cannot be reached; nothing was changed.
    Unavailable = 4,
    /// It is unknown whether the change or request took effect.
    Unknown = 5,
    /// The change was made, but at least one live process does not have it in force yet.
    NotEverywhere = 6,
}

impl From<ExitStatus> for std::process::ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status as u8)
    }
}
