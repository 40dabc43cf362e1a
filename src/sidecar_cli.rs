//! Command line of `bulrushslip-sidecar`.

use argh::FromArgs;

use crate::settings::{SIDECAR_TABLE, SettingReader, SidecarSettings, StartOutcome, read_flags};

/// Runs beside one upstream, queues its requests and orders it to load weights.
#[derive(Debug, Clone, FromArgs)]
struct SidecarFlags {
    /// address that entries connect to
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
    /// declared name of the upstream that this process serves
    #[argh(option)]
    upstream: Option<String>,
    /// address of the model engine, if the upstream is one
    #[argh(option)]
    engine: Option<String>,
    /// address of the plain service, if the upstream is one
    #[argh(option)]
    plain: Option<String>,
    /// maximum number of queued requests of each rank
    #[argh(option)]
    queue_limit: Option<String>,
    /// maximum number of engines that load weights at the same time, the same in a whole fleet
    #[argh(option)]
    max_loads: Option<String>,
    /// time for which the response of a finished request is retained, in milliseconds
    #[argh(option)]
    kept_ms: Option<String>,
    /// maximum total size of the retained responses, in bytes; finished ones are evicted first
    #[argh(option)]
    kept_bytes: Option<String>,
    /// placement and queueing policy of the fleet; all but standard are baselines for measurements
    #[argh(option)]
    policy: Option<String>,
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

impl SidecarFlags {
    /// Returns each flag's name and value, in the order of [`SIDECAR_TABLE`].
    fn given(&self) -> [(&'static str, Option<&String>); SIDECAR_TABLE.len()] {
        [
            ("listen", self.listen.as_ref()),
            ("operator-listen", self.operator_listen.as_ref()),
            ("operator-token", self.operator_token.as_ref()),
            ("platform", self.platform.as_ref()),
            ("config-peers", self.config_peers.as_ref()),
            ("log-retention-s", self.log_retention_s.as_ref()),
            ("name", self.name.as_ref()),
            ("data-centre", self.data_centre.as_ref()),
            ("upstream", self.upstream.as_ref()),
            ("engine", self.engine.as_ref()),
            ("plain", self.plain.as_ref()),
            ("queue-limit", self.queue_limit.as_ref()),
            ("max-loads", self.max_loads.as_ref()),
            ("kept-ms", self.kept_ms.as_ref()),
            ("kept-bytes", self.kept_bytes.as_ref()),
            ("policy", self.policy.as_ref()),
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
) -> StartOutcome<SidecarSettings> {
    let flags = match read_flags::<SidecarFlags>("bulrushslip-sidecar", arguments, &SIDECAR_TABLE) {
        Ok(flags) => flags,
        Err((code, text)) => return StartOutcome::Exit { code, text },
    };
    let mut reader = SettingReader::new(&SIDECAR_TABLE, &flags.given(), variable);
    let settings = SidecarSettings::read(&mut reader);
    reader.finish(settings)
}
