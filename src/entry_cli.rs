//! Command line of `bulrushslip-entry`.

use argh::FromArgs;

use crate::settings::{ENTRY_TABLE, EntrySettings, SettingReader, StartOutcome, read_flags};

/// Accepts requests of callers and routes each to an upstream that can serve it.
#[derive(Debug, Clone, FromArgs)]
struct EntryFlags {
    /// address that callers connect to
    #[argh(option)]
    listen: Option<String>,
    /// address of the operator port
    #[argh(option)]
    operator_listen: Option<String>,
    /// bearer token of the operator port, required unless the port is on loopback
    #[argh(option)]
    operator_token: Option<String>,
    /// address of the platform's log and weight store
    #[argh(option)]
    platform: Option<String>,
    /// addresses of sidecars to ask for the configuration while the log is unavailable
    #[argh(option)]
    config_peers: Option<String>,
    /// retention time of the platform's log, in seconds
    #[argh(option)]
    log_retention_s: Option<String>,
    /// name of this instance, unique in the fleet
    #[argh(option)]
    name: Option<String>,
    /// data centre in which this instance runs
    #[argh(option)]
    data_centre: Option<String>,
    /// maximum size of a request body, in bytes
    #[argh(option)]
    body_limit_bytes: Option<String>,
    /// maximum number of concurrent connections of callers
    #[argh(option)]
    max_connections: Option<String>,
    /// maximum number of attempts to run a request, including the first
    #[argh(option)]
    max_attempts: Option<String>,
    /// placement and queueing policy of the fleet; all but standard are baselines for measurements
    #[argh(option)]
    policy: Option<String>,
    /// time after a stop signal during which new connections are still accepted, in milliseconds
    #[argh(option)]
    leave_ms: Option<String>,
    /// maximum time to wait for open requests at a graceful stop, in milliseconds
    #[argh(option)]
    drain_ms: Option<String>,
    /// lowest level of events that are logged
    #[argh(option)]
    log_level: Option<String>,
    /// format of log lines
    #[argh(option)]
    log_format: Option<String>,
    /// UDP address that metrics are sent to; metrics are off when not given
    #[argh(option)]
    metrics: Option<String>,
}

impl EntryFlags {
    /// Returns each flag's name and value, in the order of [`ENTRY_TABLE`].
    fn given(&self) -> [(&'static str, Option<&String>); ENTRY_TABLE.len()] {
        [
            ("listen", self.listen.as_ref()),
            ("operator-listen", self.operator_listen.as_ref()),
            ("operator-token", self.operator_token.as_ref()),
            ("platform", self.platform.as_ref()),
            ("config-peers", self.config_peers.as_ref()),
            ("log-retention-s", self.log_retention_s.as_ref()),
            ("name", self.name.as_ref()),
            ("data-centre", self.data_centre.as_ref()),
            ("body-limit-bytes", self.body_limit_bytes.as_ref()),
            ("max-connections", self.max_connections.as_ref()),
            ("max-attempts", self.max_attempts.as_ref()),
            ("policy", self.policy.as_ref()),
            ("leave-ms", self.leave_ms.as_ref()),
            ("drain-ms", self.drain_ms.as_ref()),
            ("log-level", self.log_level.as_ref()),
            ("log-format", self.log_format.as_ref()),
            ("metrics", self.metrics.as_ref()),
        ]
    }
}

/// Reads and validates the settings from command line arguments (without the program name) and
/// environment variables.
#[must_use]
pub fn read(
    arguments: &[&str],
    variable: &dyn Fn(&str) -> Option<String>,
) -> StartOutcome<EntrySettings> {
    let flags = match read_flags::<EntryFlags>("bulrushslip-entry", arguments, &ENTRY_TABLE) {
        Ok(flags) => flags,
        Err((code, text)) => return StartOutcome::Exit { code, text },
    };
    let mut reader = SettingReader::new(&ENTRY_TABLE, &flags.given(), variable);
    let settings = EntrySettings::read(&mut reader);
    reader.finish(settings)
}
