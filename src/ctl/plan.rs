//! Command `plan`: makes a plan from an intent, to be put in force with `confirm`.

use std::net::SocketAddr;

use argh::FromArgs;
use rand::RngExt;
use serde_json::json;

use super::exit::ExitStatus;
use super::follower::ConfigFollower;
use crate::decide::config_change::{ConfigChange, PlanId};
use crate::decide::plan::{Intent, Plan, describe, make_plan};
use crate::platform::log_client::LogClient;
use crate::wire::config_objects::RecordError;
use crate::wire::config_record::{CONFIG_STREAM, WireChange};
use crate::wire::config_snapshot::encode_record;

/// Makes a plan from an intent without changing anything. Intents: declare FILE (a JSON array of
/// changes), retire UPSTREAM, move CUSTOMER MODEL VERSION, load UPSTREAM VERSION.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct PlanArgs {
    /// IP address and port of the platform
    #[argh(option)]
    pub platform: SocketAddr,
    /// file to write the plan to, as input of confirm
    #[argh(option)]
    pub out: Option<String>,
    /// allow the plan to leave customers without an upstream
    #[argh(switch)]
    pub force: bool,
    /// print JSON
    #[argh(switch)]
    pub json: bool,
    /// intent and its arguments
    #[argh(positional)]
    pub intent: Vec<String>,
}

/// Runs the command `plan`.
pub async fn run(args: &PlanArgs) -> ExitStatus {
    let intent = match read_intent(&args.intent) {
        Ok(intent) => intent,
        Err(error) => {
            eprintln!("{error}");
            return ExitStatus::BadInput;
        }
    };
    let log = LogClient::new(args.platform, CONFIG_STREAM);
    let mut follower = ConfigFollower::new(log, None);
    if let Some(failure) = follower.catch_up().await.failure() {
        eprintln!("{failure}");
        return ExitStatus::Unavailable;
    }
    let plan_id = PlanId(rand::rng().random());
    let plan = match make_plan(&follower.current(), intent, plan_id, args.force) {
        Ok(plan) => plan,
        Err(refusal) => {
            eprintln!("refused: {refusal}");
            return ExitStatus::Refused;
        }
    };
    if args.json {
        print_json(&plan);
    } else {
        print_text(&plan);
    }
    if plan.refusal.is_some() {
        return ExitStatus::Refused;
    }
    match &args.out {
        Some(file) => write_plan(file, &plan),
        None => ExitStatus::Done,
    }
}

/// Reads a JSON array of configuration changes from a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read or contains a change that is not valid.
pub fn read_changes(file: &str) -> Result<Vec<ConfigChange>, String> {
    let text = std::fs::read_to_string(file).map_err(|error| error.to_string())?;
    let changes: Vec<WireChange> =
        serde_json::from_str(&text).map_err(|error| error.to_string())?;
    let changes: Result<_, RecordError> = changes.into_iter().map(TryInto::try_into).collect();
    changes.map_err(|error| error.to_string())
}

fn read_intent(words: &[String]) -> Result<Intent, String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["declare", file] => {
            let changes = read_changes(file).map_err(|error| format!("{file}: {error}"))?;
            Ok(Intent::Declare(changes))
        }
        ["retire", upstream] => Ok(Intent::Retire {
            upstream: upstream.to_owned(),
        }),
        ["move", customer, model, version] => Ok(Intent::Move {
            customer: customer.to_owned(),
            model: model.to_owned(),
            version: version.to_owned(),
        }),
        ["load", upstream, version] => Ok(Intent::Load {
            upstream: upstream.to_owned(),
            version: version.to_owned(),
        }),
        _ => Err(
            "intents: declare FILE, retire UPSTREAM, move CUSTOMER MODEL VERSION, \
             load UPSTREAM VERSION"
                .to_owned(),
        ),
    }
}

fn write_plan(file: &str, plan: &Plan) -> ExitStatus {
    if let Err(error) = std::fs::write(file, encode_record(&plan.record)) {
        eprintln!("{file}: {error}");
        return ExitStatus::BadInput;
    }
    ExitStatus::Done
}

fn print_json(plan: &Plan) {
    let steps = plan.record.changes.iter().map(describe);
    let preconditions = plan.preconditions.iter().map(|precondition| {
        json!({
            "object": precondition.object.to_string(),
            "changed_at": precondition.changed_at.map(|offset| offset.0),
        })
    });
    let to_strings =
        |effects: &[_]| -> Vec<String> { effects.iter().map(ToString::to_string).collect() };
    let report = json!({
        "plan_id": format!("{:016x}", plan.record.plan_id.0),
        "planned_at": plan.record.planned_at.0,
        "forced": plan.record.forced,
        "steps": steps.collect::<Vec<_>>(),
        "effects": to_strings(&plan.effects),
        "breaks": to_strings(&plan.breaks),
        "grounds": preconditions.collect::<Vec<_>>(),
        "refusal": plan.refusal.as_ref().map(ToString::to_string),
    });
    println!("{report:#}");
}

fn print_text(plan: &Plan) {
    println!(
        "plan {:016x}, made at offset {}",
        plan.record.plan_id.0, plan.record.planned_at.0
    );
    for change in &plan.record.changes {
        println!("step: {}", describe(change));
    }
    for effect in &plan.effects {
        println!("effect: {effect}");
    }
    for unserved in &plan.breaks {
        println!("breaks: {unserved}");
    }
    for precondition in &plan.preconditions {
        match precondition.changed_at {
            Some(offset) => println!("rests on: {}, changed at {}", precondition.object, offset.0),
            None => println!("rests on: {}, not declared before", precondition.object),
        }
    }
    if let Some(refusal) = &plan.refusal {
        eprintln!("refused: {refusal}");
    }
    if plan.refusal.is_some() && !plan.breaks.is_empty() {
        eprintln!("use --force to make the plan anyway");
    }
}
