//! Flags of `bulrushslip-gateway`, apart from its work.

use argh::FromArgs;
use log::LevelFilter;

use crate::gateway::start::GatewaySettings;
use crate::platform::settings_file::{InstanceSettings, SETTINGS_VARIABLE};
use crate::settings::StartOutcome;

/// Port for metrics and dumps unless another one is set; the deploy file names the same.
const DEFAULT_METRICS_PORT: u16 = 9464;

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: i32 = 2;

/// Takes callers' requests on a front instance of the platform and runs each at an upstream. The
/// settings file is named by the variable `BULRUSHSLIP_SETTINGS`.
#[derive(Debug, Clone, FromArgs)]
struct GatewayFlags {
    /// lowest level of events that are logged: error, warn, info or debug
    #[argh(option, default = "LevelFilter::Info")]
    log_level: LevelFilter,
    /// port for metrics and dumps
    #[argh(option, default = "DEFAULT_METRICS_PORT")]
    metrics_port: u16,
    /// print the settings that would be in force and exit
    #[argh(switch)]
    check: bool,
}

/// Reads and checks the settings from arguments (without the program) and variables.
#[must_use]
pub fn read(
    arguments: &[&str],
    variable: &dyn Fn(&str) -> Option<String>,
) -> StartOutcome<GatewaySettings> {
    let flags = match GatewayFlags::from_args(&["bulrushslip-gateway"], arguments) {
        Ok(flags) => flags,
        Err(early) => {
            let code = if early.status.is_ok() {
                0
            } else {
                BAD_SETTINGS
            };
            return StartOutcome::Exit {
                code,
                text: early.output,
            };
        }
    };
    let path = variable(SETTINGS_VARIABLE);
    match InstanceSettings::load(path.as_deref()) {
        Err(error) => StartOutcome::Exit {
            code: BAD_SETTINGS,
            text: error.to_string(),
        },
        Ok(instance) if flags.check => StartOutcome::Exit {
            code: 0,
            text: format!("{instance:#?}"),
        },
        Ok(instance) => StartOutcome::Run(GatewaySettings {
            path: path.unwrap_or_default(),
            instance,
            metrics_port: flags.metrics_port,
            log_level: flags.log_level,
        }),
    }
}
