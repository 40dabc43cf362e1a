//! Settings that entries and sidecars share.

use std::net::SocketAddr;

use log::LevelFilter;

use super::reader::SettingReader;
use crate::decide::policy::RoutingPolicy;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` fields.
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// Reads `text` or `json`.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Settings that entries and sidecars share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommonSettings {
    /// Address of the process's main port.
    pub listen: SocketAddr,
    /// Address of the operator port.
    pub operator_listen: SocketAddr,
    /// Bearer token of the operator port; `None` only on loopback.
    pub operator_token: Option<String>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Sidecars to ask for the configuration while the log cannot be reached.
    pub config_peers: Vec<SocketAddr>,
    /// Time for which the log keeps records, in milliseconds.
    pub log_retention_ms: u64,
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// How requests are placed and queued.
    pub policy: RoutingPolicy,
    /// Longest wait for open requests at a planned stop, in milliseconds.
    pub drain_ms: u64,
    /// Lowest level of events that are logged.
    pub log_level: LevelFilter,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// UDP address that metrics are sent to.
    pub metrics: Option<SocketAddr>,
}

impl CommonSettings {
    /// Reads and checks the shared settings.
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
        let is_open = !settings.operator_listen.ip().is_loopback();
        if is_open && settings.operator_token.is_none() {
            reader.refuse(
                "operator-token",
                "a token, because --operator-listen is not on loopback",
            );
        }
        settings
    }
}
