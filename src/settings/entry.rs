//! Settings of an entry.

use super::common::CommonSettings;
use super::reader::SettingReader;

/// Checked settings of `bulrushslip-entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings that entries and sidecars share.
    pub common: CommonSettings,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum number of concurrent connections of callers.
    pub max_connections: usize,
    /// Time after a stop signal during which new connections are still accepted, in milliseconds.
    pub leave_ms: u64,
    /// Maximum number of attempts to run a request, including the first.
    pub max_attempts: u32,
}

impl EntrySettings {
    /// Reads and checks the settings of an entry; the reader collects the errors.
    #[must_use]
    pub fn read(reader: &mut SettingReader) -> Self {
        Self {
            common: CommonSettings::read(reader),
            body_limit_bytes: reader.size("body-limit-bytes"),
            max_connections: reader.size("max-connections"),
            leave_ms: reader.integer("leave-ms"),
            max_attempts: u32::try_from(reader.integer("max-attempts")).unwrap_or(1),
        }
    }
}
