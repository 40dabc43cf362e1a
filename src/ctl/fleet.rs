//! Asks every live process of the fleet for its state.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::Full;
use hyper::Method;
use serde_json::Value;

use crate::platform::http_client::{call, request};
use crate::platform::instance_topics::{InstanceTopics, WireInstance, WireInstanceState};

/// Time allowed for one process.
const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// Processes that are asked at the same time.
const MAX_CALLS: usize = 64;

/// How the fleet is reached.
#[derive(Debug, Clone)]
pub struct FleetArgs {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Bearer token of the operator ports.
    pub operator_token: Option<String>,
}

/// State of one process.
#[derive(Debug, Clone)]
pub struct ProcessState {
    /// Name of the instance.
    pub name: String,
    /// Its role.
    pub role: String,
    /// Whether it is about to go.
    pub is_leaving: bool,
    /// Offset that it has in force; `None` if it does not tell.
    pub next_offset: Option<u64>,
    /// Its dump; null if it does not answer.
    pub dump: Value,
}

/// Returns the state of all listed processes; `None` if the list cannot be read.
pub async fn processes(args: &FleetArgs) -> Option<Vec<ProcessState>> {
    let instances = instances(args).await?;
    let states = stream::iter(instances).map(|instance| process(args, instance));
    let mut states: Vec<ProcessState> = states.buffer_unordered(MAX_CALLS).collect().await;
    states.sort_by(|a, b| a.name.cmp(&b.name));
    Some(states)
}

async fn instances(args: &FleetArgs) -> Option<Vec<WireInstance>> {
    let listed = InstanceTopics::new(args.platform).list().await;
    listed
        .inspect_err(|error| eprintln!("the list of instances: {error}"))
        .ok()
}

async fn process(args: &FleetArgs, instance: WireInstance) -> ProcessState {
    let dump = match instance.operator {
        Some(operator) => ask_operator(args, operator, "/dump").await,
        None => Value::Null,
    };
    ProcessState {
        name: instance.name,
        role: instance.role,
        is_leaving: instance.state == WireInstanceState::Leaving,
        next_offset: dump["config"]["next_offset"].as_u64(),
        dump,
    }
}

/// Returns the first answer that an entry has under a path of its operator port; null if none has.
///
/// `None` if the list of instances cannot be read.
pub async fn ask_entries(args: &FleetArgs, path: &str) -> Option<Value> {
    let entries = instances(args).await?.into_iter();
    let operators = entries.filter(|instance| instance.role == "entry");
    let operators = operators.filter_map(|instance| instance.operator);
    let answers = stream::iter(operators).map(|operator| ask_operator(args, operator, path));
    let answers: Vec<Value> = answers.buffer_unordered(MAX_CALLS).collect().await;
    let found = answers.into_iter().find(|answer| !answer.is_null());
    Some(found.unwrap_or_default())
}

async fn ask_operator(args: &FleetArgs, operator: SocketAddr, path: &str) -> Value {
    let mut builder = request(Method::GET, operator, path);
    if let Some(token) = &args.operator_token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let Ok(request) = builder.body(Full::new(Bytes::new())) else {
        return Value::Null;
    };
    match call(operator, request, DUMP_TIMEOUT).await {
        Ok(answer) if answer.status.is_success() => {
            serde_json::from_slice(&answer.body).unwrap_or_default()
        }
        Ok(_) | Err(_) => Value::Null,
    }
}
