//! Operators at the command line: plans, races, outages and lost answers.

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

struct Operator {
    platform: String,
    folder: PathBuf,
}

impl Operator {
    fn new(fleet: &Fleet, test: &str) -> Self {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).expect("a folder for plans");
        let platform = fleet.platform.port("platform").to_string();
        Self { platform, folder }
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
            .expect("the binary runs")
    }

    fn file(&self, name: &str) -> String {
        self.folder
            .join(name)
            .to_str()
            .expect("a text path")
            .to_owned()
    }

    /// Plans an intent into a file and returns the file.
    fn plan(&self, name: &str, intent: &[&str]) -> String {
        let file = self.file(name);
        let arguments = [&["--out", &file], intent].concat();
        let output = self.run("plan", &arguments);
        assert_eq!(output.status.code(), DONE, "{}", text(&output.stderr));
        file
    }

    fn status(&self) -> Value {
        let output = self.run("status", &["--json"]);
        serde_json::from_slice(&output.stdout).expect("JSON")
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test]
async fn nothing_changes_before_confirmation_and_then_everywhere() {
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
    let report: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(
        (&report["outcome"], &report["offset"]),
        (&"in_force".into(), &1.into())
    );
    let status = operator.status();
    let processes = status["processes"].as_array().expect("processes");
    assert_eq!(processes.len(), 5);
    assert!(processes.iter().all(|process| process["next_offset"] == 2));
    // A confirmation that is repeated finds the plan in force and adds nothing.
    assert_eq!(operator.run("confirm", &[&file]).status.code(), DONE);
    assert_eq!(operator.status()["log_next_offset"], 2);
}

#[tokio::test]
async fn a_plan_is_refused_when_its_ground_has_moved_or_a_customer_is_stranded() {
    let fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "ground");
    let load = operator.plan("load", &["load", "engine-0", "v2"]);
    let retire = operator.plan("retire", &["retire", "engine-0"]);
    let crossing = operator.plan("crossing", &["retire", "engine-1"]);
    assert_eq!(operator.run("confirm", &[&retire]).status.code(), DONE);
    let moved = operator.run("confirm", &[&load]);
    assert_eq!(moved.status.code(), REFUSED);
    let reason = text(&moved.stderr);
    assert!(
        reason.contains("upstream engine-0 was changed at offset 1"),
        "{reason}"
    );
    assert_eq!(operator.run("confirm", &[&crossing]).status.code(), REFUSED);
    let last = operator.run("plan", &["retire", "engine-1"]);
    assert_eq!(last.status.code(), REFUSED);
    assert!(text(&last.stdout).contains("breaks: customer agency has no upstream"));
    let forced = operator.file("forced");
    let forced_plan = ["--force", "--out", &forced, "retire", "engine-1"];
    assert_eq!(operator.run("plan", &forced_plan).status.code(), DONE);
    assert_eq!(operator.run("confirm", &[&forced]).status.code(), DONE);
    assert_eq!(
        operator.run("plan", &["polish", "engine-1"]).status.code(),
        BAD_INPUT
    );
}

#[tokio::test]
async fn of_racing_operators_exactly_one_wins() {
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
            command.spawn().expect("the binary runs")
        };
        let running: Vec<_> = plans.iter().map(confirm).collect();
        let ended = running
            .into_iter()
            .map(|child| child.wait_with_output().expect("a child"));
        let mut codes: Vec<_> = ended.map(|output| output.status.code()).collect();
        codes.sort_unstable();
        assert_eq!(codes, [DONE, REFUSED, REFUSED, REFUSED]);
    }
}

#[tokio::test]
async fn lost_answers_are_settled_and_an_outage_changes_nothing() {
    let mut fleet = Fleet::start().await;
    let operator = Operator::new(&fleet, "lost");
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
    // A dead process stays on the list for a while and is named.
    fleet.entries[1].kill();
    let missing = operator.run("confirm", &["--json", "--wait-ms", "1000", &late]);
    assert_eq!(missing.status.code(), NOT_EVERYWHERE);
    let report: Value = serde_json::from_slice(&missing.stdout).expect("JSON");
    assert_eq!(report["missing"], serde_json::json!(["entry-1"]));
}
