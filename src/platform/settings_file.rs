//! Parser of an instance's settings file, which the platform writes with lines of the form
//! `a.b=value`.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quick_error::quick_error;

use crate::decide::customer_quota::QuotaTolerance;
use crate::decide::load_features::LoadFeatures;

/// Environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "BULRUSHSLIP_SETTINGS";

/// Write calls a second that all instances may make to the store if the settings do not tell.
const DEFAULT_STORE_WRITES_PER_S: u64 = 400;

/// Time for which the store keeps records if the settings do not tell.
const DEFAULT_STORE_HISTORY: Duration = Duration::from_secs(20);

/// Drain limit of deployments whose settings state none.
const DEFAULT_DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Interval of the upstreams' heartbeats in deployments whose settings state none.
const DEFAULT_HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time for a configuration to take effect in deployments whose settings state none.
const DEFAULT_APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Contract of deployments whose load exceeds the room of their upstreams at times.
const PRESSURE_CONTRACT: &str = "pressure";

/// Bytes of a megabyte, as the platform counts memory limits.
pub const BYTES_PER_MB: u64 = 1_000_000;

quick_error! {
    /// Error of a settings file that cannot be loaded.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The environment variable with the path is not set.
        NoPath {
            display("{} is not set", SETTINGS_VARIABLE)
        }
        /// The settings file cannot be read.
        Unreadable(path: String, error: std::io::Error) {
            display("cannot read {}: {}", path, error)
            source(error)
        }
        /// A required field is missing or empty.
        Missing(field: &'static str) {
            display("the setting {} is missing", field)
        }
        /// A field has an invalid value.
        Invalid(field: &'static str, value: String) {
            display("the setting {} cannot be {:?}", field, value)
        }
    }
}

/// Limits of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLimits {
    /// Write calls a second that all instances together may make (`platform.writes-per-s`).
    pub writes_per_s: u64,
    /// Time for which records are kept (`platform.keep_s`).
    pub history: Duration,
}

/// Settings of one instance, from its settings file.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet (`node-name`).
    pub name: String,
    /// Data centre of the instance (`zone`).
    pub data_centre: String,
    /// Address of the port for callers (`listen.front`).
    pub caller_address: SocketAddr,
    /// Address of the port for the balancer's readiness checks (`listen.ready`).
    pub ready_address: SocketAddr,
    /// Address of the port for other instances: IP address `ip`, first port of `internal-ports`.
    pub peer_address: SocketAddr,
    /// Address of the platform's store (`platform.address`).
    pub store_address: SocketAddr,
    /// Limits of the platform's store.
    pub store_limits: StoreLimits,
    /// Peer addresses of instances that may be running, from `seeds`; the list may be outdated.
    pub seed_peers: Vec<SocketAddr>,
    /// Time from the stop signal until the platform kills the process (`bounds.grace-s`).
    pub stop_grace: Duration,
    /// Time after one instance's last claim on an upstream before another instance may order it
    /// (`bounds.lease-ms`).
    pub holder_turn: Duration,
    /// Time after operators set a target version within which all requests must start on its
    /// weights (`bounds.version-ms`).
    pub weights_limit: Duration,
    /// Time without a fault after which the operators' time limits apply to an instance
    /// (`bounds.stable-window-ms`).
    pub settling_time: Duration,
    /// Time after an upstream has announced its leaving, or lost its entry, within which the last
    /// request may reach it (`bounds.drain-ms`).
    pub drain_limit: Duration,
    /// Time after the store acknowledges a configuration from which it has to be in force
    /// (`bounds.config-apply-ms`).
    pub apply_limit: Duration,
    /// Time after which upstreams write their entries again (`heartbeat-ms`).
    pub heartbeat: Duration,
    /// Retries that a service may make per new request (`bounds.retry-budget-ratio`).
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make beyond `retry_ratio` (`bounds.budget-extra-retries`).
    pub extra_retries: f64,
    /// Memory limit of the process in bytes (`limits.memory-mb`); `None` if the file states none.
    pub memory_limit: Option<u64>,
    /// How far the use of customers may exceed their quotas (`bounds.quota-overage` and
    /// `bounds.quota-slack`).
    pub quota_tolerance: QuotaTolerance,
    /// Features that the deployment asks for (`contracts`).
    pub features: LoadFeatures,
}

/// Values of a settings file by their field names; of repeated fields the last value counts.
struct FieldTable<'a> {
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> FieldTable<'a> {
    fn new(text: &'a str) -> Self {
        let lines = text.lines().filter_map(|line| line.split_once('='));
        let fields = lines.map(|(name, value)| (name.trim(), value.trim()));
        Self {
            fields: fields.collect(),
        }
    }

    fn text(&self, name: &'static str) -> Result<&'a str, SettingsError> {
        let value = self.fields.get(name).copied();
        value
            .filter(|value| !value.is_empty())
            .ok_or(SettingsError::Missing(name))
    }

    fn parsed<T: std::str::FromStr>(&self, name: &'static str) -> Result<T, SettingsError> {
        let value = self.text(name)?;
        value
            .parse()
            .map_err(|_unparsed| SettingsError::Invalid(name, value.to_owned()))
    }

    /// Returns an optional value, or `default` if it is missing.
    fn parsed_or<T: std::str::FromStr>(
        &self,
        name: &'static str,
        default: T,
    ) -> Result<T, SettingsError> {
        match self.parsed(name) {
            Err(SettingsError::Missing(_)) => Ok(default),
            value => value,
        }
    }

    /// Returns the features that belong to the contract for deployments under heavy load.
    fn features(&self) -> LoadFeatures {
        let contracts = self.fields.get("contracts").copied().unwrap_or_default();
        let mut contracts = contracts.split(',').map(str::trim);
        let is_pressed = contracts.any(|contract| contract == PRESSURE_CONTRACT);
        LoadFeatures {
            paces_upstreams: is_pressed,
        }
    }

    /// Returns an optional size in megabytes as bytes; 0 stands for no limit.
    fn memory(&self, name: &'static str) -> Result<Option<u64>, SettingsError> {
        if self.text(name).is_err() {
            return Ok(None);
        }
        let megabytes: u64 = self.parsed(name)?;
        Ok(Some(megabytes.saturating_mul(BYTES_PER_MB)).filter(|bytes| *bytes > 0))
    }

    fn duration(&self, name: &'static str, unit_s: f64) -> Result<Duration, SettingsError> {
        let amount: f64 = self.parsed(name)?;
        Duration::try_from_secs_f64(amount * unit_s)
            .map_err(|_out_of_range| SettingsError::Invalid(name, amount.to_string()))
    }

    /// Returns an optional time in milliseconds, or `default` if it is missing.
    fn milliseconds_or(
        &self,
        name: &'static str,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        self.duration_or(name, 0.001, default)
    }

    /// Returns an optional time in units of `unit_s` seconds, or `default` if it is missing.
    fn duration_or(
        &self,
        name: &'static str,
        unit_s: f64,
        default: Duration,
    ) -> Result<Duration, SettingsError> {
        match self.duration(name, unit_s) {
            Err(SettingsError::Missing(_)) => Ok(default),
            time => time,
        }
    }
}

impl InstanceSettings {
    /// Reads and parses the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with a one-line message when `path` is `None`, the file cannot be
    /// read, or a field is missing or invalid.
    pub fn load(path: Option<&str>) -> Result<Self, SettingsError> {
        let path = path.ok_or(SettingsError::NoPath)?;
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Parses the text of a settings file and ignores unknown fields.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first field that is missing or invalid.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let table = FieldTable::new(text);
        let ip: IpAddr = table.parsed("ip")?;
        let ports = table.text("internal-ports")?;
        let first_port = ports.split(',').next().unwrap_or(ports).trim();
        let peer_port: u16 = first_port
            .parse()
            .map_err(|_unparsed| SettingsError::Invalid("internal-ports", ports.to_owned()))?;
        // Seeds are control addresses; the peer port is the same on all instances.
        let seeds = table.fields.get("seeds").copied().unwrap_or_default();
        let seed_peers = seeds
            .split(',')
            .filter_map(|seed| seed.trim().parse::<SocketAddr>().ok())
            .map(|seed| SocketAddr::new(seed.ip(), peer_port))
            .collect();
        Ok(Self {
            name: table.text("node-name")?.to_owned(),
            data_centre: table.text("zone")?.to_owned(),
            caller_address: table.parsed("listen.front")?,
            ready_address: table.parsed("listen.ready")?,
            peer_address: SocketAddr::new(ip, peer_port),
            store_address: table.parsed("platform.address")?,
            store_limits: StoreLimits {
                writes_per_s: table
                    .parsed_or("platform.writes-per-s", DEFAULT_STORE_WRITES_PER_S)?,
                history: table.duration_or("platform.keep_s", 1.0, DEFAULT_STORE_HISTORY)?,
            },
            seed_peers,
            stop_grace: table.duration("bounds.grace-s", 1.0)?,
            holder_turn: table.duration("bounds.lease-ms", 0.001)?,
            weights_limit: table.duration("bounds.version-ms", 0.001)?,
            settling_time: table.duration("bounds.stable-window-ms", 0.001)?,
            drain_limit: table.milliseconds_or("bounds.drain-ms", DEFAULT_DRAIN_LIMIT)?,
            apply_limit: table.milliseconds_or("bounds.config-apply-ms", DEFAULT_APPLY_LIMIT)?,
            heartbeat: table.milliseconds_or("heartbeat-ms", DEFAULT_HEARTBEAT)?,
            retry_ratio: table.parsed("bounds.retry-budget-ratio")?,
            extra_retries: table.parsed("bounds.budget-extra-retries")?,
            memory_limit: table.memory("limits.memory-mb")?,
            quota_tolerance: QuotaTolerance {
                overage: table.parsed_or("bounds.quota-overage", 0.0)?,
                slack: table.parsed_or("bounds.quota-slack", 0)?,
            },
            features: table.features(),
        })
    }
}
