//! Settings file of an instance, as the platform writes it: lines of the form `a.b=value`.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use quick_error::quick_error;

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "BULRUSHSLIP_SETTINGS";

quick_error! {
    /// Why the settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The variable with the path is not set.
        NoPath {
            display("{} is not set", SETTINGS_VARIABLE)
        }
        /// The file cannot be read.
        Unreadable(path: String, error: std::io::Error) {
            display("cannot read {}: {}", path, error)
            source(error)
        }
        /// A field that must be there is not.
        Missing(field: &'static str) {
            display("the setting {} is missing", field)
        }
        /// A field cannot be understood.
        Invalid(field: &'static str, value: String) {
            display("the setting {} cannot be {:?}", field, value)
        }
    }
}

/// Settings of one instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceSettings {
    /// Name of the instance, unique in the fleet (`node-name`).
    pub name: String,
    /// Data centre of the instance (`zone`).
    pub data_centre: String,
    /// Address for callers (`listen.front`).
    pub caller_address: SocketAddr,
    /// Address for the balancer's readiness questions (`listen.ready`).
    pub ready_address: SocketAddr,
    /// Address for other instances of the system: own IP, first of `internal-ports`.
    pub peer_address: SocketAddr,
    /// Address of the platform's store (`platform.address`).
    pub store_address: SocketAddr,
    /// Peer addresses of instances that may be up, derived from `seeds`; may be stale.
    pub seed_peers: Vec<SocketAddr>,
    /// Time between a stop signal and the kill (`bounds.grace-s`).
    pub stop_grace: Duration,
    /// Time for which two holders must not take turns at one upstream (`bounds.lease-ms`).
    pub holder_turn: Duration,
    /// Time after new weights are named within which all requests must begin on them
    /// (`bounds.version-ms`).
    pub weights_limit: Duration,
    /// Time without disturbance after which an instance is held to the time limits
    /// (`bounds.stable-window-ms`).
    pub settling_time: Duration,
    /// Retries allowed for each fresh request of a service (`bounds.retry-budget-ratio`).
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio, for the whole fleet (`bounds.budget-extra-retries`).
    pub extra_retries: f64,
}

/// Fields of a file by their dotted names; later lines replace earlier ones.
struct FieldTable<'a> {
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> FieldTable<'a> {
    fn new(text: &'a str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        let fields = pairs.map(|(name, value)| (name.trim(), value.trim()));
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

    fn duration(&self, name: &'static str, unit_s: f64) -> Result<Duration, SettingsError> {
        let amount: f64 = self.parsed(name)?;
        Duration::try_from_secs_f64(amount * unit_s)
            .map_err(|_range| SettingsError::Invalid(name, amount.to_string()))
    }
}

impl InstanceSettings {
    /// Reads the file that the variable names.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with one line for what is missing or wrong.
    pub fn load(path: Option<&str>) -> Result<Self, SettingsError> {
        let path = path.ok_or(SettingsError::NoPath)?;
        let text = std::fs::read_to_string(path)
            .map_err(|error| SettingsError::Unreadable(path.to_owned(), error))?;
        Self::parse(&text)
    }

    /// Reads the text of a settings file; unknown fields are ignored.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] for the first field that is missing or wrong.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let table = FieldTable::new(text);
        let ip: IpAddr = table.parsed("ip")?;
        let ports = table.text("internal-ports")?;
        let first_port = ports.split(',').next().unwrap_or(ports).trim();
        let peer_port: u16 = first_port
            .parse()
            .map_err(|_unparsed| SettingsError::Invalid("internal-ports", ports.to_owned()))?;
        // Seeds name control addresses; the port for peers is the same on all instances.
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
            seed_peers,
            stop_grace: table.duration("bounds.grace-s", 1.0)?,
            holder_turn: table.duration("bounds.lease-ms", 0.001)?,
            weights_limit: table.duration("bounds.version-ms", 0.001)?,
            settling_time: table.duration("bounds.stable-window-ms", 0.001)?,
            retry_ratio: table.parsed("bounds.retry-budget-ratio")?,
            extra_retries: table.parsed("bounds.budget-extra-retries")?,
        })
    }
}
