//! Settings of an entry.

use super::common::CommonSettings;
use super::reader::SettingReader;

/// Checked settings of `bulrushslip-entry`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// Settings shared with sidecars.
    pub common: CommonSettings,
    /// Longest request body, in bytes.
    pub body_limit_bytes: usize,
    /// Connections of callers that are served at the same time.
    pub max_connections: usize,
    /// Time after the signal to stop during which new connections are still accepted, in
    /// milliseconds.
    pub leave_ms: u64,
    /// Attempts to run one request, the first included.
    pub max_attempts: u32,
}

impl EntrySettings {
    /// Reads and checks the settings.
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
