//! Configuration stream while the store comes back from an older copy.

mod common;

use std::time::{Duration, Instant};

use bulrushslip::platform::log_client::{AppendOutcome, LogClient};
use common::{ChildProcess, Fleet, get, post};
use serde_json::{Value, json};

/// Time within which a change has to be in force at every process.
const TARGET: Duration = Duration::from_secs(4);

/// Pause between two looks at a condition.
const POLL_PAUSE: Duration = Duration::from_millis(20);

/// Address on which nothing listens.
const UNREACHABLE: &str = "127.0.0.1:1";

/// Fleet, and an entry that gets its configuration from a sidecar only.
struct Drill {
    fleet: Fleet,
    late: ChildProcess,
}

impl Drill {
    async fn start() -> Self {
        let fleet = Fleet::start().await;
        let peer = fleet.sidecars[0].port("sidecar").to_string();
        let late = start_entry(UNREACHABLE, &peer);
        let drill = Self { fleet, late };
        drill.until_in_force(1, 1).await;
        drill
    }

    async fn control(&self, fault: &str) {
        let platform = self.fleet.platform.port("platform");
        let answer = post(platform, &format!("/admin/{fault}"), &[], String::new()).await;
        assert_eq!(answer.status, 200, "{fault}");
    }

    /// Appends a plan with one change to the configuration stream.
    async fn append(&self, plan_id: &str, change: Value) {
        let platform = self.fleet.platform.port("platform");
        let plan = json!({"plan_id": plan_id, "planned_at": 1_000, "changes": [change]});
        let body = json!({"plan": plan}).to_string();
        let outcome = LogClient::new(platform, "config").append(body).await;
        assert!(matches!(outcome, AppendOutcome::Appended(_)), "{outcome:?}");
    }

    /// Returns the number of models and services in force at each process.
    async fn in_force(&self) -> Vec<(u64, u64)> {
        let entries = self.fleet.entries.iter();
        let processes = entries.chain(&self.fleet.sidecars).chain([&self.late]);
        let mut counts = Vec::new();
        for process in processes {
            let dump = get(process.port("operator"), "/dump", &[]).await.json();
            let count = |kind: &str| dump["config"][kind].as_u64().unwrap_or_default();
            counts.push((count("models"), count("services")));
        }
        counts
    }

    async fn until_in_force(&self, models: u64, services: u64) {
        let started = Instant::now();
        loop {
            let counts = self.in_force().await;
            if counts.iter().all(|count| *count == (models, services)) {
                return;
            }
            assert!(started.elapsed() < TARGET, "{counts:?}");
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }

    /// Checks that processes other than the one that has just started keep their configuration.
    async fn stays_in_force(&self, models: u64, services: u64, started_index: Option<usize>) {
        let started = Instant::now();
        while started.elapsed() < TARGET {
            let counts = self.in_force().await;
            let mut counts = counts.into_iter().enumerate();
            let differing = counts.find(|(index, count)| {
                Some(*index) != started_index && *count != (models, services)
            });
            assert_eq!(differing, None);
            tokio::time::sleep(POLL_PAUSE).await;
        }
    }
}

/// Guards against processes that start with an older configuration and spread it to those that run.
#[tokio::test(flavor = "multi_thread")]
async fn a_sidecar_that_starts_after_a_drill_of_the_store_takes_no_plan_out_of_force() {
    let mut drill = Drill::start().await;
    drill.control("copy").await;
    drill.append("a1", model("lost")).await;
    drill.until_in_force(2, 1).await;
    drill.control("restore?ms=0").await;
    drill.fleet.sidecars[0].restart();
    let started_index = drill.fleet.entries.len();
    drill.stays_in_force(2, 1, Some(started_index)).await;
    drill
        .append("b1", json!({"put_service": {"name": "new"}}))
        .await;
    drill.until_in_force(1, 2).await;
    drill.append("a1", model("lost")).await;
    drill.until_in_force(2, 2).await;
}

/// Starts an entry with the address of a platform and the address of a sidecar to ask.
fn start_entry(platform: &str, peer: &str) -> ChildProcess {
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--operator-listen",
        "127.0.0.1:0",
        "--platform",
        platform,
        "--name",
        "late",
        "--data-centre",
        "bangor",
        "--config-peers",
        peer,
    ];
    ChildProcess::start(
        env!("CARGO_BIN_EXE_bulrushslip-entry"),
        &arguments,
        &["entry", "operator"],
    )
}

fn model(name: &str) -> Value {
    json!({"put_model": {"name": name, "version": "v1"}})
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plan_after_a_drill_of_the_store_comes_into_force_below_the_offsets_of_lost_ones() {
    let drill = Drill::start().await;
    drill.control("copy").await;
    for (plan, name) in [("a1", "lost-1"), ("a2", "lost-2"), ("a3", "lost-3")] {
        drill.append(plan, model(name)).await;
    }
    drill.until_in_force(4, 1).await;
    drill.control("restore?ms=0").await;
    drill
        .append("b1", json!({"put_service": {"name": "new"}}))
        .await;
    drill.until_in_force(1, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drill_of_the_store_takes_no_plan_out_of_force_before_a_newer_one_arrives() {
    let drill = Drill::start().await;
    drill.control("copy").await;
    drill.append("a1", model("lost")).await;
    drill.until_in_force(2, 1).await;
    drill.control("restore?ms=0").await;
    drill.stays_in_force(2, 1, None).await;
    drill.append("a1", model("lost")).await;
    drill.append("b1", model("new")).await;
    drill.until_in_force(3, 1).await;
}
