//! A small fleet: platform, two engines, a plain service, their sidecars and two entries.

use std::io::Write;
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::http::get;
use super::process::ChildProcess;

/// Bearer key of the customer `agency`, which may use both ranks.
pub const API_KEY: &str = "test-key-agency-0001";

/// Bearer key of the customer `holdings`, which may use the routine rank only.
pub const OTHER_KEY: &str = "test-key-holdings-01";

/// The declared model.
pub const MODEL: &str = "reviewer";

/// Time within which a configuration must be in force.
const CONFIG_LIMIT: Duration = Duration::from_secs(10);

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
    pub plain: Option<SocketAddr>,
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
}

impl Fleet {
    /// Starts the usual fleet and waits until both entries serve.
    pub async fn start() -> Self {
        Self::start_with(&FleetOptions::default()).await
    }

    /// Starts a fleet and waits until both entries serve.
    pub async fn start_with(options: &FleetOptions) -> Self {
        let platform = standin("platform", &[]);
        let engines: Vec<ChildProcess> = (0..2)
            .map(|_| {
                let mut arguments = vec!["--model", MODEL, "--decode-us", "1000"];
                arguments.extend(&options.engine);
                standin("engine", &arguments)
            })
            .collect();
        let plain = standin("plain", &["--name", "gates"]);
        let platform_address = platform.port("platform").to_string();
        let mut sidecars = Vec::new();
        for (i, engine) in engines.iter().enumerate() {
            let target = engine.port("engine").to_string();
            let name = format!("engine-{i}");
            let upstream = ["--upstream", &name, "--engine", &target];
            sidecars.push(sidecar(&platform_address, &upstream, &options.sidecar));
        }
        let target = options.plain.unwrap_or_else(|| plain.port("plain"));
        let target = target.to_string();
        let upstream = ["--upstream", "gates-0", "--plain", &target];
        sidecars.push(sidecar(&platform_address, &upstream, &options.sidecar));
        declare(&platform, &sidecars);
        let entries = (0..2)
            .map(|i| entry(&platform_address, i, &options.entry))
            .collect();
        let fleet = Self {
            entries,
            sidecars,
            engines,
            plain,
            platform,
        };
        fleet.wait_until_served().await;
        fleet
    }

    /// Returns the callers' address of an entry.
    pub fn entry(&self, index: usize) -> SocketAddr {
        self.entries[index].port("entry")
    }

    async fn wait_until_served(&self) {
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

fn standin(role: &str, more: &[&str]) -> ChildProcess {
    let mut arguments = vec![role, "--listen", "127.0.0.1:0"];
    arguments.extend(more);
    let binary = env!("CARGO_BIN_EXE_bulrushslip-standin");
    ChildProcess::start(binary, &arguments, &[role])
}

fn sidecar(platform: &str, upstream: &[&str], more: &[&str]) -> ChildProcess {
    let name = format!("sidecar-{}", upstream[1]);
    let mut arguments = common_arguments(platform, &name);
    arguments.extend(upstream);
    arguments.extend(more);
    let binary = env!("CARGO_BIN_EXE_bulrushslip-sidecar");
    ChildProcess::start(binary, &arguments, &["sidecar", "operator"])
}

fn entry(platform: &str, index: usize, more: &[&str]) -> ChildProcess {
    let name = format!("entry-{index}");
    let mut arguments = common_arguments(platform, &name);
    if !more.contains(&"--leave-ms") {
        arguments.extend(["--leave-ms", "0"]);
    }
    arguments.extend(more);
    let binary = env!("CARGO_BIN_EXE_bulrushslip-entry");
    ChildProcess::start(binary, &arguments, &["entry", "operator"])
}

fn common_arguments<'a>(platform: &'a str, name: &'a str) -> Vec<&'a str> {
    vec![
        "--listen",
        "127.0.0.1:0",
        "--operator-listen",
        "127.0.0.1:0",
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

fn declare(platform: &ChildProcess, sidecars: &[ChildProcess]) {
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

fn changes(sidecars: &[ChildProcess]) -> Value {
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
            "sidecar": sidecar.port("sidecar").to_string(), "kind": kind, "slots": 8}}),
        );
    }
    Value::Array(changes)
}
