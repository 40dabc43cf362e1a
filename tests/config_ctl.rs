//! Configuration changes with `bulrushslip-ctl`: plans, concurrent confirmations, log outages and
//! lost responses of the log.

mod common;

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use common::{Fleet, post};
use serde_json::Value;

const DONE: Option<i32> = Some(0);
const BAD_INPUT: Option<i32> = Some(2);
const REFUSED: Option<i32> = Some(3);
const UNAVAILABLE: Option<i32> = Some(4);
const NOT_EVERYWHERE: Option<i32> = Some(6);

/// Runs commands of `bulrushslip-ctl` against a fleet.
struct Operator {
    platform: String,
    plan_dir: PathBuf,
}

impl Operator {
    fn new(fleet: &Fleet, test: &str) -> Self {
        let plan_dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&plan_dir).expect("the directory for plans can be created");
        let platform = fleet.platform.port("platform").to_string();
        Self { platform, plan_dir }
    }

    fn command(&self, name: &str, arguments: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushslip-ctl"));
        command
            .args([name, "--platform", &self.platform])
            .args(arguments);
        command.stdout(Stdio::piped()).stderr(Stdio::piped());
        command
    }

    fn run(&self, name: &str, arguments: &[&str]) -> Output {
        self.command(name, arguments)
            .output()
            .expect("the binary can be started")
    }

    fn plan_path(&self, name: &str) -> String {
        self.plan_dir
            .join(name)
            .to_str()
            .expect("the path is UTF-8")
            .to_owned()
    }

    /// Makes a plan from an intent, writes it to a file and returns the path.
    fn plan(&self, name: &str, intent: &[&str]) -> String {
        let file = self.plan_path(name);
        let arguments = [&["--out", &file], intent].concat();
        let output = self.run("plan", &arguments);
        assert_eq!(output.status.code(), DONE, "{}", text(&output.stderr));
        file
    }

    fn status(&self) -> Value {
        let output = self.run("status", &["--json"]);
        serde_json::from_slice(&output.stdout).expect("status prints JSON")
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn a_plan_takes_effect_at_all_processes_only_when_it_is_confirmed() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "confirm");
    let before = operator.status();
    let file = operator.plan("retire", &["retire", "engine-0"]);
    assert_eq!(
        operator.status()["log_next_offset"],
        before["log_next_offset"]
    );
    let output = operator.run("confirm", &["--json", &file]);
    assert_eq!(output.status.code(), DONE, "{}", text(&output.stderr));
    let report: Value = serde_json::from_slice(&output.stdout).expect("confirm prints JSON");
    assert_eq!(
        (&report["outcome"], &report["offset"]),
        (&"in_force".into(), &1.into())
    );
    let status = operator.status();
    let processes = status["processes"].as_array().expect("a list of processes");
    assert_eq!(processes.len(), 5);
    assert!(processes.iter().all(|process| process["next_offset"] == 2));
    // A repeated confirmation finds the plan in force and appends no record.
    assert_eq!(operator.run("confirm", &[&file]).status.code(), DONE);
    assert_eq!(operator.status()["log_next_offset"], 2);
}

#[tokio::test]
async fn a_plan_is_refused_if_its_objects_were_changed_or_a_customer_would_be_unserved() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "preconditions");
    let load = operator.plan("load", &["load", "engine-0", "v2"]);
    let retire = operator.plan("retire", &["retire", "engine-0"]);
    let second_retire = operator.plan("second-retire", &["retire", "engine-1"]);
    assert_eq!(operator.run("confirm", &[&retire]).status.code(), DONE);
    let refused = operator.run("confirm", &[&load]);
    assert_eq!(refused.status.code(), REFUSED);
    let reason = text(&refused.stderr);
    assert!(
        reason.contains("upstream engine-0 was changed at offset 1"),
        "{reason}"
    );
    assert_eq!(
        operator.run("confirm", &[&second_retire]).status.code(),
        REFUSED
    );
    let last = operator.run("plan", &["retire", "engine-1"]);
    assert_eq!(last.status.code(), REFUSED);
    assert!(text(&last.stdout).contains("breaks: customer agency has no upstream"));
    let forced = operator.plan_path("forced");
    let forced_plan = ["--force", "--out", &forced, "retire", "engine-1"];
    assert_eq!(operator.run("plan", &forced_plan).status.code(), DONE);
    assert_eq!(operator.run("confirm", &[&forced]).status.code(), DONE);
    assert_eq!(
        operator.run("plan", &["polish", "engine-1"]).status.code(),
        BAD_INPUT
    );
}

#[tokio::test]
async fn exactly_one_of_several_concurrent_conflicting_plans_is_confirmed() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "race");
    for round in 0..5 {
        let plans: Vec<String> = (0..4)
            .map(|n| {
                operator.plan(
                    &format!("{n}"),
                    &["load", "engine-0", &format!("r{round}-{n}")],
                )
            })
            .collect();
        let confirm = |plan: &String| {
            let mut command = operator.command("confirm", &["--wait-ms", "0", plan]);
            command.spawn().expect("the binary can be started")
        };
        let children: Vec<_> = plans.iter().map(confirm).collect();
        let outputs = children.into_iter().map(|child| {
            child
                .wait_with_output()
                .expect("the child can be waited for")
        });
        let mut codes: Vec<_> = outputs.map(|output| output.status.code()).collect();
        codes.sort_unstable();
        assert_eq!(codes, [DONE, REFUSED, REFUSED, REFUSED]);
    }
}

#[tokio::test]
async fn a_short_log_outage_delays_a_change_and_does_not_fail_it() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "short-outage");
    let platform = fleet.platform.port("platform");
    let changes = operator.plan_path("changes");
    let change = r#"[{"put_service":{"name":"roads"}}]"#;
    std::fs::write(&changes, change).expect("the file can be written");
    for (name, arguments) in [
        ("apply", vec![changes.as_str()]),
        ("plan", vec!["load", "engine-0", "v2"]),
    ] {
        post(platform, "/admin/outage?ms=1500", &[], String::new()).await;
        let output = operator.run(name, &arguments);
        let error = text(&output.stderr);
        assert_eq!(output.status.code(), DONE, "{name}: {error}");
    }
    assert_eq!(operator.status()["log_next_offset"], 2);
}

#[tokio::test]
async fn a_lost_append_response_is_resolved_and_a_log_outage_changes_nothing() {
    let mut fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "lost-response");
    let platform = fleet.platform.port("platform");
    let lost = operator.plan("lost", &["load", "engine-0", "v2"]);
    post(platform, "/admin/lose-answers?next=1", &[], String::new()).await;
    assert_eq!(operator.run("confirm", &[&lost]).status.code(), DONE);
    assert_eq!(operator.status()["log_next_offset"], 2);
    let late = operator.plan("late", &["load", "engine-0", "v3"]);
    post(platform, "/admin/outage?ms=600000", &[], String::new()).await;
    assert_eq!(operator.run("confirm", &[&late]).status.code(), UNAVAILABLE);
    assert_eq!(
        operator.run("plan", &["retire", "engine-0"]).status.code(),
        UNAVAILABLE
    );
    post(platform, "/admin/outage?ms=0", &[], String::new()).await;
    assert_eq!(operator.status()["log_next_offset"], 2);
    // A killed process stays on the list of instances until its entry expires.
    fleet.entries[1].kill();
    let output = operator.run("confirm", &["--json", "--wait-ms", "1000", &late]);
    assert_eq!(output.status.code(), NOT_EVERYWHERE);
    let report: Value = serde_json::from_slice(&output.stdout).expect("confirm prints JSON");
    assert_eq!(report["missing"], serde_json::json!(["entry-1"]));
}

/// Guards against a confirmation that takes the offsets of an earlier era for newer ones.
#[tokio::test]
async fn a_plan_is_confirmed_after_a_drill_of_the_store_has_lost_another() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "drill");
    let platform = fleet.platform.port("platform");
    post(platform, "/admin/copy", &[], String::new()).await;
    for version in ["v2", "v3"] {
        let lost = operator.plan("lost", &["load", "engine-0", version]);
        assert_eq!(operator.run("confirm", &[&lost]).status.code(), DONE);
    }
    post(platform, "/admin/restore?ms=0", &[], String::new()).await;
    let retire = operator.plan("retire", &["retire", "engine-1"]);
    let output = operator.run("confirm", &["--json", &retire]);
    assert_eq!(output.status.code(), DONE, "{}", text(&output.stderr));
    let status = operator.status();
    assert_eq!(status["log_era"], 1);
    let processes = status["processes"].as_array().expect("a list of processes");
    assert_eq!(processes.len(), 5);
    for process in processes {
        assert_eq!(
            (&process["era"], &process["next_offset"]),
            (&1.into(), &2.into())
        );
    }
}
