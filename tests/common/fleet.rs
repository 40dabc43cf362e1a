//! A small fleet: platform, two engines, a plain service, their sidecars and two entries.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::call;
use hyper::Method;
use serde_json::{Value, json};

use super::http::{build, get, post};
use super::process::ChildProcess;
use super::relay::Relay;

/// Bearer key of the customer `agency`, which may use both ranks.
pub const API_KEY: &str = "test-key-agency-0001";

/// Bearer key of the customer `holdings`, which may use the routine rank only.
pub const OTHER_KEY: &str = "test-key-holdings-01";

/// The declared model.
pub const MODEL: &str = "reviewer";

/// Time within which a configuration must be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(10);

/// Names a binary that runs as the entries, to test calls between builds.
const ENTRY_VARIABLE: &str = "BULRUSHSLIP_TEST_ENTRY";

/// Names a binary that runs as the sidecars, to test calls between builds.
const SIDECAR_VARIABLE: &str = "BULRUSHSLIP_TEST_SIDECAR";

/// Pause between two looks at a condition.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// How a fleet differs from the usual one.
#[derive(Debug, Clone, Default)]
pub struct FleetOptions {
    /// Further arguments of the engines.
    pub engine: Vec<&'static str>,
    /// Further arguments of the sidecars.
    pub sidecar: Vec<&'static str>,
    /// Further arguments of the entries.
    pub entry: Vec<&'static str>,
    /// Address of the plain service, if it is not to be the stand-in.
    pub plain_address: Option<SocketAddr>,
    /// Address of the model engine of all upstreams, if it is not to be the stand-ins.
    pub engine_address: Option<SocketAddr>,
    /// Further arguments of the plain service.
    pub plain: Vec<&'static str>,
    /// Whether a relay stands between the entries and each sidecar.
    pub relayed: bool,
}

/// Running processes; all are killed on drop.
#[derive(Debug)]
pub struct Fleet {
    /// Entries.
    pub entries: Vec<ChildProcess>,
    /// Sidecars of the engines, then that of the plain service.
    pub sidecars: Vec<ChildProcess>,
    /// Engines.
    pub engines: Vec<ChildProcess>,
    /// Plain service.
    pub plain: ChildProcess,
    /// Platform.
    pub platform: ChildProcess,
    /// Relays before the sidecars, if the fleet has any.
    pub relays: Vec<Relay>,
}

impl Fleet {
    /// Starts the usual fleet and waits until both entries serve and all sidecars accept requests.
    pub async fn start() -> Self {
        Self::start_with(&FleetOptions::default()).await
    }

    /// Starts a fleet and waits until both entries serve and all sidecars accept requests.
    pub async fn start_with(options: &FleetOptions) -> Self {
        let platform = standin("platform", &[]);
        let engines: Vec<ChildProcess> = (0..2)
            .map(|_| {
                let mut arguments = vec!["--model", MODEL, "--decode-us", "1000"];
                arguments.extend(&options.engine);
                standin("engine", &arguments)
            })
            .collect();
        let mut arguments = vec!["--name", "gates"];
        arguments.extend(&options.plain);
        let plain = standin("plain", &arguments);
        let platform_address = platform.port("platform").to_string();
        let mut sidecars = Vec::new();
        for (i, engine) in engines.iter().enumerate() {
            let target = options.engine_address;
            let target = target.unwrap_or_else(|| engine.port("engine")).to_string();
            let name = format!("engine-{i}");
            let upstream = ["--upstream", &name, "--engine", &target];
            sidecars.push(sidecar(&platform_address, &upstream, &options.sidecar));
        }
        let target = options.plain_address.unwrap_or_else(|| plain.port("plain"));
        let target = target.to_string();
        let upstream = ["--upstream", "gates-0", "--plain", &target];
        sidecars.push(sidecar(&platform_address, &upstream, &options.sidecar));
        let mut addresses: Vec<SocketAddr> = sidecars
            .iter()
            .map(|sidecar| sidecar.port("sidecar"))
            .collect();
        let mut relays = Vec::new();
        if options.relayed {
            for address in &mut addresses {
                let relay = Relay::start(*address).await;
                *address = relay.address;
                relays.push(relay);
            }
        }
        declare(&platform, &addresses);
        let entries = (0..2)
            .map(|i| entry(&platform_address, i, &options.entry))
            .collect();
        let fleet = Self {
            entries,
            sidecars,
            engines,
            plain,
            platform,
            relays,
        };
        fleet.wait_until_served().await;
        for sidecar in 0..fleet.sidecars.len() {
            fleet.until_ready(sidecar, CONFIG_LIMIT).await;
        }
        fleet
    }

    /// Returns the callers' address of an entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].port("entry")
    }

    /// Returns one count of an engine's statistics.
    pub async fn engine_count(&self, index: usize, name: &str) -> u64 {
        let stats = get(self.engines[index].port("engine"), "/admin/stats", &[]).await;
        stats.json()[name].as_u64().expect("a count")
    }

    /// Adds up one count over the engines.
    pub async fn total_count(&self, name: &str) -> u64 {
        let mut sum = 0;
        for index in 0..self.engines.len() {
            sum += self.engine_count(index, name).await;
        }
        sum
    }

    /// Waits until the sum of one count over the engines has reached a number.
    pub async fn until_count(&self, name: &str, wanted: u64) {
        let deadline = Instant::now() + CONFIG_LIMIT;
        while self.total_count(name).await < wanted {
            assert!(Instant::now() < deadline, "{name} is not {wanted} in time");
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Returns how often each ticket was started, over the engines.
    pub async fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for engine in &self.engines {
            for (ticket, starts) in runs_at(engine.port("engine")).await {
                *runs.entry(ticket).or_insert(0) += starts;
            }
        }
        runs
    }

    /// Returns how often each ticket was run by the plain service.
    pub async fn plain_runs(&self) -> BTreeMap<String, u64> {
        runs_at(self.plain.port("plain")).await
    }

    /// Waits until the plain service has begun so many requests.
    pub async fn until_plain_runs(&self, wanted: usize) {
        let deadline = Instant::now() + CONFIG_LIMIT;
        while self.plain_runs().await.len() < wanted {
            assert!(Instant::now() < deadline, "not run in time");
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Returns how many connections an entry has dialled.
    pub async fn dialled(&self, entry: usize) -> u64 {
        let operator = self.entries[entry].port("operator");
        let dump = get(operator, "/dump", &[]).await.json();
        dump["dialer"]["dialled"].as_u64().expect("a count")
    }

    /// Waits until an entry has dialled so many connections.
    pub async fn until_dialled(&self, entry: usize, wanted: u64) {
        let deadline = Instant::now() + CONFIG_LIMIT;
        while self.dialled(entry).await < wanted {
            assert!(Instant::now() < deadline, "not dialled again");
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Waits until an engine runs a request and returns its index.
    pub async fn busy_engine(&self) -> usize {
        let deadline = Instant::now() + CONFIG_LIMIT;
        loop {
            if let Some(index) = self.running_engine().await {
                return index;
            }
            if Instant::now() >= deadline {
                let started = self.total_count("started").await;
                let finished = self.total_count("finished").await;
                panic!("no engine runs a request; {started} started, {finished} finished");
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Returns the index of an engine that runs a request, if there is one.
    pub async fn running_engine(&self) -> Option<usize> {
        for index in 0..self.engines.len() {
            if self.engine_count(index, "running").await > 0 {
                return Some(index);
            }
        }
        None
    }

    /// Waits until no engine is down after a crash.
    pub async fn until_engines_up(&self) {
        let deadline = Instant::now() + CONFIG_LIMIT;
        for engine in &self.engines {
            let address = engine.port("engine");
            let load = || build(Method::GET, address, "/load", &[], "");
            while call(address, load(), CONFIG_LIMIT).await.is_err() {
                assert!(Instant::now() < deadline, "an engine stays down");
                tokio::time::sleep(POLL_PAUSE).await;
            }
        }
    }

    /// Causes a fault at an engine.
    pub async fn engine_fault(&self, index: usize, fault: &str) {
        let path = format!("/admin/{fault}");
        let answer = post(self.engines[index].port("engine"), &path, &[], "").await;
        assert_eq!(answer.status, 200, "{fault}");
    }

    /// Waits until a sidecar accepts requests, at most for the given time.
    pub async fn until_ready(&self, sidecar: usize, limit: Duration) {
        let operator = self.sidecars[sidecar].port("operator");
        let deadline = Instant::now() + limit;
        loop {
            let answer = get(operator, "/ready", &[]).await;
            if answer.status == 200 {
                return;
            }
            assert!(Instant::now() < deadline, "not ready: {}", answer.text);
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Waits until every entry has the declared configuration in force.
    pub async fn wait_until_served(&self) {
        let deadline = Instant::now() + CONFIG_LIMIT;
        for index in 0..self.entries.len() {
            let headers = [("authorization", format!("Bearer {API_KEY}"))];
            let headers = [(headers[0].0, headers[0].1.as_str())];
            loop {
                let models = get(self.entry(index), "/v1/models", &headers).await;
                if models.status == 200 && models.json()["data"][0]["id"] == MODEL {
                    break;
                }
                assert!(Instant::now() < deadline, "not served: {}", models.text);
                tokio::time::sleep(POLL_PAUSE).await;
            }
        }
    }
}

async fn runs_at(address: SocketAddr) -> BTreeMap<String, u64> {
    let answer = get(address, "/admin/runs", &[]).await;
    let runs = &answer.json()["runs"];
    serde_json::from_value(runs.clone()).expect("counts by name")
}

/// Returns a loopback address that no other process listens on or calls from, with any port.
///
/// Calls leave from 127.0.0.1, so a port stays free while its process is being restarted.
fn own_address() -> &'static str {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let id = std::process::id();
    let (high, low) = (64 + (id >> 8) % 64, id % 256);
    format!("127.{high}.{low}.{}:0", 1 + number % 254).leak()
}

fn standin(role: &str, more: &[&str]) -> ChildProcess {
    let mut arguments = vec![role, "--listen", own_address()];
    arguments.extend(more);
    let binary = env!("CARGO_BIN_EXE_bulrushslip-standin");
    ChildProcess::start(binary, &arguments, &[role])
}

/// Returns the binary that a variable names, or else that of this build.
fn binary(variable: &str, own: &str) -> String {
    std::env::var(variable).unwrap_or_else(|_unset| own.to_owned())
}

fn sidecar(platform: &str, upstream: &[&str], more: &[&str]) -> ChildProcess {
    let name = format!("sidecar-{}", upstream[1]);
    let mut arguments = common_arguments(platform, &name);
    arguments.extend(upstream);
    arguments.extend(more);
    let binary = binary(SIDECAR_VARIABLE, env!("CARGO_BIN_EXE_bulrushslip-sidecar"));
    ChildProcess::start(&binary, &arguments, &["sidecar", "operator"])
}

fn entry(platform: &str, index: usize, more: &[&str]) -> ChildProcess {
    let name = format!("entry-{index}");
    let mut arguments = common_arguments(platform, &name);
    if !more.contains(&"--leave-ms") {
        arguments.extend(["--leave-ms", "0"]);
    }
    arguments.extend(more);
    let binary = binary(ENTRY_VARIABLE, env!("CARGO_BIN_EXE_bulrushslip-entry"));
    ChildProcess::start(&binary, &arguments, &["entry", "operator"])
}

fn common_arguments<'a>(platform: &'a str, name: &'a str) -> Vec<&'a str> {
    vec![
        "--listen",
        own_address(),
        "--operator-listen",
        own_address(),
        "--platform",
        platform,
        "--name",
        name,
        "--data-centre",
        "caerdydd",
        "--log-level",
        "warn",
    ]
}

fn declare(platform: &ChildProcess, sidecars: &[SocketAddr]) {
    let address = platform.port("platform").to_string();
    let mut apply = Command::new(env!("CARGO_BIN_EXE_bulrushslip-ctl"))
        .args(["apply", "--force", "--platform", &address, "/dev/stdin"])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .expect("the binary runs");
    let changes = changes(sidecars).to_string();
    let mut input = apply.stdin.take().expect("the input is piped");
    input.write_all(changes.as_bytes()).expect("written");
    drop(input);
    assert!(apply.wait().expect("a child").success());
}

fn changes(sidecars: &[SocketAddr]) -> Value {
    let hash = |key: &str| blake3::hash(key.as_bytes()).to_string();
    let mut changes = vec![
        json!({"put_model": {"name": MODEL, "version": "v1", "piece_bytes": 256}}),
        json!({"put_service": {"name": "gates"}}),
        json!({"put_customer": {"name": "agency", "bearer_hashes": [hash(API_KEY)],
            "ranks": ["routine", "urgent"], "max_in_flight": 64}}),
        json!({"put_customer": {"name": "holdings", "bearer_hashes": [hash(OTHER_KEY)],
            "ranks": ["routine"], "max_in_flight": 64}}),
    ];
    for (i, sidecar) in sidecars.iter().enumerate() {
        let is_plain = i + 1 == sidecars.len();
        let (name, kind) = if is_plain {
            ("gates-0".to_owned(), json!({"plain": {"service": "gates"}}))
        } else {
            (
                format!("engine-{i}"),
                json!({"engine": {"model": MODEL, "version": "v1"}}),
            )
        };
        changes.push(
            json!({"put_upstream": {"name": name, "data_centre": "caerdydd",
            "sidecar": sidecar.to_string(), "kind": kind, "slots": 8}}),
        );
    }
    Value::Array(changes)
}
