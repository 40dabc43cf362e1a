//! I/O task `engine-watch` of a sidecar: polls the state of the engine.

use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::EngineEpoch;
use crate::events::{ENGINE_DOWN, ENGINE_RESTARTED, ENGINE_SLOW, ENGINE_UP, EventField, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::engine_calls::MAX_REPORT_BYTES;
use crate::platform::http_client::{self, CompleteResponse};
use crate::services::common::mail::{EngineStatus, LedgerMail, Mail};

/// Poll interval while the engine responds.
const UP_INTERVAL: Duration = Duration::from_millis(500);

/// Poll interval while the engine does not respond.
const DOWN_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Body of the engine's `/load` response.
#[derive(Debug, Deserialize)]
struct LoadReport {
    epoch: u64,
    version: String,
}

/// Outcome of one poll.
enum PollOutcome {
    /// The upstream has replied, or has refused or closed the connection.
    Replied(EngineStatus),
    /// Nothing has arrived in time.
    Silent,
}

/// Creates the I/O task `engine-watch` for an upstream.
#[must_use]
pub fn engine_watch_task(target: EngineTarget) -> IoTask<Mail> {
    IoTask::new("engine-watch", move |inbox, directory| {
        run(target, inbox, directory)
    })
}

async fn run(target: EngineTarget, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut next_poll = directory.now();
    let mut previous = None;
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            () = tokio::time::sleep_until(directory.clock().instant(next_poll).into()) => {
                let state = poll(target, &directory).await;
                log_change(target, previous.as_ref(), &state);
                let is_up = state != EngineStatus::Down;
                previous = Some(state);
                let interval = if is_up { UP_INTERVAL } else { DOWN_INTERVAL };
                next_poll = directory.now().after(interval);
            }
        }
    }
}

/// Polls the upstream, reports the result to the service `ledger` and returns the status in force.
async fn poll(target: EngineTarget, directory: &Directory<Mail>) -> EngineStatus {
    let polled_at = directory.now();
    let state = match read_state(target).await {
        PollOutcome::Replied(state) => state,
        PollOutcome::Silent => {
            let message = |reply_to| Mail::Ledger(LedgerMail::EngineSilent(polled_at, reply_to));
            let in_force = directory.ask("ledger", message).await;
            let in_force = in_force.unwrap_or(EngineStatus::Down);
            if in_force != EngineStatus::Down {
                log_event(&ENGINE_SLOW, &[("upstream", &target.address)]);
            }
            return in_force;
        }
    };
    let mail = Mail::Ledger(LedgerMail::EngineStatus(state.clone()));
    directory.send_waiting("ledger", mail).await;
    state
}

/// Logs an engine that has come up, gone down or restarted since the previous poll.
fn log_change(target: EngineTarget, previous: Option<&EngineStatus>, state: &EngineStatus) {
    let upstream: EventField<'_> = ("upstream", &target.address);
    let previous_epoch = previous.and_then(EngineStatus::epoch);
    match (previous, state.epoch()) {
        (Some(EngineStatus::Down), None) => {}
        (_, None) => log_event(&ENGINE_DOWN, &[upstream]),
        (_, Some(epoch)) if previous_epoch == Some(epoch) => {}
        (Some(EngineStatus::Up { .. }), Some(epoch)) => {
            log_event(&ENGINE_RESTARTED, &[upstream, ("epoch", &epoch.0)]);
        }
        (_, Some(epoch)) => log_event(&ENGINE_UP, &[upstream, ("epoch", &epoch.0)]),
    }
}

/// Polls the state of the upstream; a plain service is up if it accepts a connection.
async fn read_state(target: EngineTarget) -> PollOutcome {
    match target.kind {
        EngineKind::Model => read_load(target).await,
        EngineKind::Plain => connect(target).await,
    }
}

/// Connects to a plain service.
async fn connect(target: EngineTarget) -> PollOutcome {
    match timeout(POLL_TIMEOUT, TcpStream::connect(target.address)).await {
        Ok(Ok(_connection)) => PollOutcome::Replied(EngineStatus::Up {
            epoch: EngineEpoch(1),
            version: String::new(),
        }),
        Ok(Err(_refused)) => PollOutcome::Replied(EngineStatus::Down),
        Err(_elapsed) => PollOutcome::Silent,
    }
}

/// Reads the load report of a model engine.
async fn read_load(target: EngineTarget) -> PollOutcome {
    let request = http_client::request(Method::GET, target.address, "/load");
    let Ok(request) = request.body(Full::default()) else {
        return PollOutcome::Replied(EngineStatus::Down);
    };
    let call = http_client::call_bounded(target.address, request, POLL_TIMEOUT, MAX_REPORT_BYTES);
    match call.await {
        Ok(response) => PollOutcome::Replied(load_status(&response).unwrap_or(EngineStatus::Down)),
        Err(error) if error.is_timeout() => PollOutcome::Silent,
        Err(_) => PollOutcome::Replied(EngineStatus::Down),
    }
}

/// Returns the status from a response to `/load`; `None` if it contains no load report.
fn load_status(response: &CompleteResponse) -> Option<EngineStatus> {
    if !response.status.is_success() {
        return None;
    }
    let report: LoadReport = serde_json::from_slice(&response.body).ok()?;
    Some(EngineStatus::Up {
        epoch: EngineEpoch(report.epoch),
        version: report.version,
    })
}
