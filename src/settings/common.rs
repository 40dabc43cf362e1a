//! Settings that entries and sidecars share.

use std::net::SocketAddr;

use log::LevelFilter;

use super::reader::SettingReader;
use crate::decide::policy::RoutingPolicy;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of `key=value` fields for each event.
    Text,
    /// One line with a JSON object for each event.
    Json,
}

impl LogFormat {
    /// Parses `text` or `json`; returns `None` for anything else.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Checked settings that entries and sidecars share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// Address of the port for callers (entry) or for entries (sidecar).
    pub listen: SocketAddr,
    /// Address of the operator port.
    pub operator_listen: SocketAddr,
    /// Bearer token that the operator port requires; `None` is valid on loopback only.
    pub operator_token: Option<String>,
    /// Address of the platform's log and weight store.
    pub platform: SocketAddr,
    /// Addresses of sidecars to ask for the configuration while the log is unavailable.
    pub config_peers: Vec<SocketAddr>,
    /// Retention time of the platform's log, in milliseconds.
    pub log_retention_ms: u64,
    /// Name of this instance, unique in the fleet.
    pub name: String,
    /// Data centre in which this instance runs.
    pub data_centre: String,
    /// Placement and queueing policy.
    pub policy: RoutingPolicy,
    /// Maximum time to wait for open requests at a graceful stop, in milliseconds.
    pub drain_ms: u64,
    /// Lowest level of events that are logged.
    pub log_level: LevelFilter,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// UDP address that metrics are sent to; `None` turns metrics off.
    pub metrics: Option<SocketAddr>,
}

impl CommonSettings {
    /// Reads and checks the settings; the reader collects the errors.
    #[must_use]
    pub fn read(reader: &mut SettingReader) -> Self {
        let settings = Self {
            listen: reader.address("listen"),
            operator_listen: reader.address("operator-listen"),
            operator_token: reader.token("operator-token"),
            platform: reader.address("platform"),
            config_peers: reader.addresses("config-peers"),
            log_retention_ms: reader.integer("log-retention-s") * 1_000,
            name: reader.name("name"),
            data_centre: reader.name("data-centre"),
            policy: reader.policy("policy"),
            drain_ms: reader.integer("drain-ms"),
            log_level: reader.log_level("log-level"),
            log_format: reader.log_format("log-format"),
            metrics: reader.optional_address("metrics"),
        };
        let is_exposed = !settings.operator_listen.ip().is_loopback();
        if is_exposed && settings.operator_token.is_none() {
            reader.reject(
                "operator-token",
                "a token, because --operator-listen is not on loopback",
            );
        }
        settings
    }
}
