//! Tables of all settings, from which docs/SETTINGS.md is generated.

use std::fmt::Write;

use crate::decide::policy::RoutingPolicy;

/// Type of the values that a setting accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ValueKind {
    /// An IP address with a port.
    Address,
    /// A comma-separated list of IP addresses with ports.
    AddressList,
    /// A name of 1 to 64 letters, digits, `-`, `_` or `.`.
    Name,
    /// A secret of at least 16 visible ASCII characters.
    Token,
    /// An integer in a closed range.
    Integer {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A log level.
    LogLevel,
    /// The name of a routing policy.
    Policy,
    /// A format of log lines.
    LogFormat,
}

impl ValueKind {
    /// Describes the accepted values, for error messages and help texts.
    #[must_use]
    pub fn accepted(self) -> String {
        match self {
            Self::Address => "IP:PORT".to_owned(),
            Self::AddressList => "IP:PORT,IP:PORT,...".to_owned(),
            Self::Name => "1 to 64 letters, digits, '-', '_' or '.'".to_owned(),
            Self::Token => "at least 16 visible ASCII characters".to_owned(),
            Self::Integer { min, max } => format!("an integer from {min} to {max}"),
            Self::LogLevel => "off, error, warn, info, debug or trace".to_owned(),
            Self::Policy => {
                let names = RoutingPolicy::ALL.map(RoutingPolicy::name);
                format!("one of {}", names.join(", "))
            }
            Self::LogFormat => "text or json".to_owned(),
        }
    }
}

/// Default of a setting, used when neither its flag nor its environment variable is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fallback {
    /// The setting has this value.
    Value(&'static str),
    /// The setting has no value, and the feature is off.
    Unset,
    /// The setting is required, and the process does not start.
    Required,
}

/// Description of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingRow {
    /// Name of the command line flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Default value, if any.
    pub fallback: Fallback,
    /// Type of the accepted values.
    pub kind: ValueKind,
    /// Description of the setting, equal to the help text of its flag.
    pub doc: &'static str,
}

const fn row(
    flag: &'static str,
    variable: &'static str,
    fallback: Fallback,
    kind: ValueKind,
    doc: &'static str,
) -> SettingRow {
    SettingRow {
        flag,
        variable,
        fallback,
        kind,
        doc,
    }
}

const OPERATOR_TOKEN: SettingRow = row(
    "operator-token",
    "BULRUSHSLIP_OPERATOR_TOKEN",
    Fallback::Unset,
    ValueKind::Token,
    "bearer token of the operator port, required unless the port is on loopback",
);

const PLATFORM: SettingRow = row(
    "platform",
    "BULRUSHSLIP_PLATFORM",
    Fallback::Required,
    ValueKind::Address,
    "address of the platform's log and weight store",
);

const NAME: SettingRow = row(
    "name",
    "BULRUSHSLIP_NAME",
    Fallback::Required,
    ValueKind::Name,
    "name of this instance, unique in the fleet",
);

const DATA_CENTRE: SettingRow = row(
    "data-centre",
    "BULRUSHSLIP_DATA_CENTRE",
    Fallback::Required,
    ValueKind::Name,
    "data centre in which this instance runs",
);

const POLICY: SettingRow = row(
    "policy",
    "BULRUSHSLIP_POLICY",
    Fallback::Value("standard"),
    ValueKind::Policy,
    "placement and queueing policy of the fleet; all but standard are baselines for measurements",
);

const DRAIN_MS: SettingRow = row(
    "drain-ms",
    "BULRUSHSLIP_DRAIN_MS",
    Fallback::Value("60000"),
    ValueKind::Integer {
        min: 0,
        max: 3_600_000,
    },
    "maximum time to wait for open requests at a graceful stop, in milliseconds",
);

const LOG_LEVEL: SettingRow = row(
    "log-level",
    "BULRUSHSLIP_LOG_LEVEL",
    Fallback::Value("info"),
    ValueKind::LogLevel,
    "lowest level of events that are logged",
);

const LOG_FORMAT: SettingRow = row(
    "log-format",
    "BULRUSHSLIP_LOG_FORMAT",
    Fallback::Value("text"),
    ValueKind::LogFormat,
    "format of log lines",
);

const CONFIG_PEERS: SettingRow = row(
    "config-peers",
    "BULRUSHSLIP_CONFIG_PEERS",
    Fallback::Unset,
    ValueKind::AddressList,
    "addresses of sidecars to ask for the configuration while the log is unavailable",
);

const LOG_RETENTION_S: SettingRow = row(
    "log-retention-s",
    "BULRUSHSLIP_LOG_RETENTION_S",
    Fallback::Value("86400"),
    ValueKind::Integer {
        min: 10,
        max: 31_536_000,
    },
    "retention time of the platform's log, in seconds",
);

const METRICS: SettingRow = row(
    "metrics",
    "BULRUSHSLIP_METRICS",
    Fallback::Unset,
    ValueKind::Address,
    "UDP address that metrics are sent to; metrics are off when not given",
);

/// Settings of `bulrushslip-entry`.
pub const ENTRY_TABLE: [SettingRow; 17] = [
    row(
        "listen",
        "BULRUSHSLIP_LISTEN",
        Fallback::Value("127.0.0.1:8080"),
        ValueKind::Address,
        "address that callers connect to",
    ),
    row(
        "operator-listen",
        "BULRUSHSLIP_OPERATOR_LISTEN",
        Fallback::Value("127.0.0.1:8081"),
        ValueKind::Address,
        "address of the operator port",
    ),
    OPERATOR_TOKEN,
    PLATFORM,
    CONFIG_PEERS,
    LOG_RETENTION_S,
    NAME,
    DATA_CENTRE,
    row(
        "body-limit-bytes",
        "BULRUSHSLIP_BODY_LIMIT_BYTES",
        Fallback::Value("4194304"),
        ValueKind::Integer {
            min: 1_024,
            max: 16_777_216,
        },
        "maximum size of a request body, in bytes",
    ),
    row(
        "max-connections",
        "BULRUSHSLIP_MAX_CONNECTIONS",
        Fallback::Value("10000"),
        ValueKind::Integer {
            min: 1,
            max: 1_000_000,
        },
        "maximum number of concurrent connections of callers",
    ),
    row(
        "max-attempts",
        "BULRUSHSLIP_MAX_ATTEMPTS",
        Fallback::Value("3"),
        ValueKind::Integer { min: 1, max: 10 },
        "maximum number of attempts to run a request, including the first",
    ),
    POLICY,
    row(
        "leave-ms",
        "BULRUSHSLIP_LEAVE_MS",
        Fallback::Value("3000"),
        ValueKind::Integer {
            min: 0,
            max: 600_000,
        },
        "time after a stop signal during which new connections are still accepted, in milliseconds",
    ),
    DRAIN_MS,
    LOG_LEVEL,
    LOG_FORMAT,
    METRICS,
];

/// Settings of `bulrushslip-sidecar`.
pub const SIDECAR_TABLE: [SettingRow; 20] = [
    row(
        "listen",
        "BULRUSHSLIP_LISTEN",
        Fallback::Value("127.0.0.1:9080"),
        ValueKind::Address,
        "address that entries connect to",
    ),
    row(
        "operator-listen",
        "BULRUSHSLIP_OPERATOR_LISTEN",
        Fallback::Value("127.0.0.1:9081"),
        ValueKind::Address,
        "address of the operator port",
    ),
    OPERATOR_TOKEN,
    PLATFORM,
    CONFIG_PEERS,
    LOG_RETENTION_S,
    NAME,
    DATA_CENTRE,
    row(
        "upstream",
        "BULRUSHSLIP_UPSTREAM",
        Fallback::Required,
        ValueKind::Name,
        "declared name of the upstream that this process serves",
    ),
    row(
        "engine",
        "BULRUSHSLIP_ENGINE",
        Fallback::Unset,
        ValueKind::Address,
        "address of the model engine, if the upstream is one",
    ),
    row(
        "plain",
        "BULRUSHSLIP_PLAIN",
        Fallback::Unset,
        ValueKind::Address,
        "address of the plain service, if the upstream is one",
    ),
    row(
        "queue-limit",
        "BULRUSHSLIP_QUEUE_LIMIT",
        Fallback::Value("256"),
        ValueKind::Integer {
            min: 1,
            max: 100_000,
        },
        "maximum number of queued requests of each rank",
    ),
    row(
        "max-loads",
        "BULRUSHSLIP_MAX_LOADS",
        Fallback::Value("2"),
        ValueKind::Integer { min: 1, max: 1_000 },
        "maximum number of engines that load weights at the same time, the same in a whole fleet",
    ),
    row(
        "kept-ms",
        "BULRUSHSLIP_KEPT_MS",
        Fallback::Value("60000"),
        ValueKind::Integer {
            min: 1_000,
            max: 3_600_000,
        },
        "time for which the response of a finished request is retained, in milliseconds",
    ),
    row(
        "kept-bytes",
        "BULRUSHSLIP_KEPT_BYTES",
        Fallback::Value("16777216"),
        ValueKind::Integer {
            min: 65_536,
            max: 1_073_741_824,
        },
        "maximum total size of the retained responses, in bytes; finished ones are evicted first",
    ),
    POLICY,
    DRAIN_MS,
    LOG_LEVEL,
    LOG_FORMAT,
    METRICS,
];

/// Settings of `bulrushslip-gateway` in addition to those in the platform's settings file.
pub const GATEWAY_TABLE: [SettingRow; 4] = [
    LOG_LEVEL,
    row(
        "memory-mb",
        "BULRUSHSLIP_MEMORY_MB",
        Fallback::Value("256"),
        ValueKind::Integer {
            min: 48,
            max: 1_048_576,
        },
        "memory limit of the process if the settings file states none, in megabytes",
    ),
    row(
        "metrics-port",
        "BULRUSHSLIP_METRICS_PORT",
        Fallback::Value("9464"),
        ValueKind::Integer {
            min: 0,
            max: 65_535,
        },
        "port for metrics and state dumps, as in the deployment file; 0 selects a free port",
    ),
    row(
        "max-pause-ms",
        "BULRUSHSLIP_MAX_PAUSE_MS",
        Fallback::Value("300000"),
        ValueKind::Integer {
            min: 0,
            max: 86_400_000,
        },
        "longest time for which an upstream that asks for it by Retry-After gets no requests, in \
         milliseconds; a longer one would take the upstream out of service by one wrong number",
    ),
];

/// Renders a table of settings as Markdown.
#[must_use]
pub fn markdown(table: &[SettingRow]) -> String {
    let mut text =
        String::from("| flag | variable | default | accepted | sets |\n|---|---|---|---|---|\n");
    for row in table {
        let default = match row.fallback {
            Fallback::Value(value) => value,
            Fallback::Unset => "none",
            Fallback::Required => "required",
        };
        let accepted = row.kind.accepted();
        writeln!(
            text,
            "| `--{}` | `{}` | {default} | {accepted} | {} |",
            row.flag, row.variable, row.doc
        )
        .expect("a string can always be written to");
    }
    text
}
