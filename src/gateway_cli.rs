//! Command line of `bulrushslip-gateway`.

use std::time::Duration;

use argh::FromArgs;

use crate::gateway::start::GatewaySettings;
use crate::platform::settings_file::{BYTES_PER_MB, InstanceSettings, SETTINGS_VARIABLE};
use crate::settings::{GATEWAY_TABLE, SettingReader, StartOutcome, read_flags};

/// Exit code for a settings file that is missing or invalid.
const INVALID_SETTINGS_EXIT_CODE: i32 = 2;

/// Takes callers' requests on a front instance of the platform and runs each at an upstream. The
/// settings file is named by the variable `BULRUSHSLIP_SETTINGS`.
#[derive(Debug, Clone, FromArgs)]
struct GatewayFlags {
    /// lowest level of events that are logged
    #[argh(option)]
    log_level: Option<String>,
    /// memory limit in megabytes if the settings file states none
    #[argh(option)]
    memory_mb: Option<String>,
    /// longest pause that an upstream may ask for by Retry-After, in milliseconds
    #[argh(option)]
    max_pause_ms: Option<String>,
    /// port for metrics and dumps; 0 takes a free one
    #[argh(option)]
    metrics_port: Option<String>,
    /// print the settings that would be in force and exit
    #[argh(switch)]
    check: bool,
}

impl GatewayFlags {
    const fn given(&self) -> [(&'static str, Option<&String>); GATEWAY_TABLE.len()] {
        [
            ("log-level", self.log_level.as_ref()),
            ("memory-mb", self.memory_mb.as_ref()),
            ("metrics-port", self.metrics_port.as_ref()),
            ("max-pause-ms", self.max_pause_ms.as_ref()),
        ]
    }
}

/// Reads and validates the settings from command line arguments (without the program name),
/// environment variables and the settings file.
#[must_use]
pub fn read(
    arguments: &[&str],
    variable: &dyn Fn(&str) -> Option<String>,
) -> StartOutcome<GatewaySettings> {
    let flags = match read_flags::<GatewayFlags>("bulrushslip-gateway", arguments, &GATEWAY_TABLE) {
        Ok(flags) => flags,
        Err((code, text)) => return StartOutcome::Exit { code, text },
    };
    let mut reader = SettingReader::new(&GATEWAY_TABLE, &flags.given(), variable);
    let path = variable(SETTINGS_VARIABLE);
    let instance = match InstanceSettings::load(path.as_deref()) {
        Ok(instance) => instance,
        Err(error) => {
            return StartOutcome::Exit {
                code: INVALID_SETTINGS_EXIT_CODE,
                text: error.to_string(),
            };
        }
    };
    let default_limit = reader.integer("memory-mb") * BYTES_PER_MB;
    let settings = GatewaySettings {
        memory_limit: instance.memory_limit.unwrap_or(default_limit),
        path: path.unwrap_or_default(),
        instance,
        metrics_port: u16::try_from(reader.integer("metrics-port")).unwrap_or_default(),
        log_level: reader.log_level("log-level"),
        max_upstream_pause: Duration::from_millis(reader.integer("max-pause-ms")),
    };
    match reader.finish(settings) {
        StartOutcome::Run(settings) if flags.check => StartOutcome::Exit {
            code: 0,
            text: format!("{settings:#?}"),
        },
        outcome => outcome,
    }
}
