//! Calls to the operator ports of all processes on the platform's list of instances.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body_util::Full;
use hyper::Method;
use serde_json::Value;

use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::platform::http_client::{call, request};
use crate::platform::instance_topics::{InstanceTopics, WireInstance, WireInstanceState};

/// Time limit for a call to one process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Address and credentials with which the fleet is reached.
#[derive(Debug, Clone)]
pub struct FleetAccess {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Bearer token of the operator ports.
    pub operator_token: Option<String>,
}

/// State of one process on the list of instances.
#[derive(Debug, Clone)]
pub struct ProcessState {
    /// Name of the instance.
    pub name: String,
    /// Role of the instance, such as `entry` or `sidecar`.
    pub role: String,
    /// Whether the process is in a planned stop.
    pub is_leaving: bool,
    /// Position after the newest configuration record in force; `None` if the dump lacks it.
    pub next: Option<LogPosition>,
    /// Dump of the process; null if the process did not respond.
    pub dump: Value,
}

/// Returns the state of all listed processes by name; `None` if the list cannot be read.
pub async fn fetch_processes(access: &FleetAccess) -> Option<Vec<ProcessState>> {
    let instances = list_instances(access).await?;
    let states = stream::iter(instances).map(|instance| fetch_process(access, instance));
    let mut states: Vec<ProcessState> = states
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    states.sort_by(|a, b| a.name.cmp(&b.name));
    Some(states)
}

async fn list_instances(access: &FleetAccess) -> Option<Vec<WireInstance>> {
    let listed = InstanceTopics::new(access.platform).list().await;
    listed
        .inspect_err(|error| eprintln!("the list of instances cannot be read: {error}"))
        .ok()
}

async fn fetch_process(access: &FleetAccess, instance: WireInstance) -> ProcessState {
    let dump = match instance.operator {
        Some(operator) => query_operator(access, operator, "/dump").await,
        None => Value::Null,
    };
    ProcessState {
        name: instance.name,
        role: instance.role,
        is_leaving: instance.state == WireInstanceState::Leaving,
        next: next_position(&dump["config"]),
        dump,
    }
}

/// Returns the position that the dump of a configuration states; builds without eras state none.
fn next_position(config: &Value) -> Option<LogPosition> {
    Some(LogPosition {
        era: StoreEra(config["era"].as_u64().unwrap_or_default()),
        offset: LogOffset(config["next_offset"].as_u64()?),
    })
}

/// Gets a path from the operator ports of all entries and returns the first successful response;
/// null if there is none.
///
/// Returns `None` if the list of instances cannot be read.
pub async fn query_entries(access: &FleetAccess, path: &str) -> Option<Value> {
    let entries = list_instances(access).await?.into_iter();
    let operators = entries.filter(|instance| instance.role == "entry");
    let operators = operators.filter_map(|instance| instance.operator);
    let responses = stream::iter(operators).map(|operator| query_operator(access, operator, path));
    let responses: Vec<Value> = responses
        .buffer_unordered(MAX_CONCURRENT_CALLS)
        .collect()
        .await;
    let found = responses.into_iter().find(|response| !response.is_null());
    Some(found.unwrap_or_default())
}

/// Gets JSON from an operator port; null if the call fails.
async fn query_operator(access: &FleetAccess, operator: SocketAddr, path: &str) -> Value {
    let mut builder = request(Method::GET, operator, path);
    if let Some(token) = &access.operator_token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let Ok(request) = builder.body(Full::new(Bytes::new())) else {
        return Value::Null;
    };
    match call(operator, request, CALL_TIMEOUT).await {
        Ok(response) if response.status.is_success() => {
            serde_json::from_slice(&response.body).unwrap_or_default()
        }
        Ok(_) | Err(_) => Value::Null,
    }
}
