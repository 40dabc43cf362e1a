//! I/O task `engine-watch` of a sidecar: polls the state of the engine.

use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::Deserialize;

use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::EngineEpoch;
use crate::events::{ENGINE_DOWN, ENGINE_RESTARTED, ENGINE_UP, EventField, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::engine_calls::MAX_REPORT_BYTES;
use crate::platform::http_client;
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
                let state = read_state(target).await;
                log_change(target, previous.as_ref(), &state);
                previous = Some(state.clone());
                let is_up = state != EngineStatus::Down;
                directory
                    .send_waiting("ledger", Mail::Ledger(LedgerMail::EngineStatus(state)))
                    .await;
                let interval = if is_up { UP_INTERVAL } else { DOWN_INTERVAL };
                next_poll = directory.now().after(interval);
            }
        }
    }
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
async fn read_state(target: EngineTarget) -> EngineStatus {
    match target.kind {
        EngineKind::Model => read_load(target).await.unwrap_or(EngineStatus::Down),
        EngineKind::Plain => match tokio::net::TcpStream::connect(target.address).await {
            Ok(_) => EngineStatus::Up {
                epoch: EngineEpoch(1),
                version: String::new(),
            },
            Err(_) => EngineStatus::Down,
        },
    }
}

/// Reads the load report of a model engine; `None` if it does not respond with one.
async fn read_load(target: EngineTarget) -> Option<EngineStatus> {
    let request = http_client::request(Method::GET, target.address, "/load");
    let request = request.body(Full::default()).ok()?;
    let response =
        http_client::call_bounded(target.address, request, POLL_TIMEOUT, MAX_REPORT_BYTES)
            .await
            .ok()?;
    if !response.status.is_success() {
        return None;
    }
    let report: LoadReport = serde_json::from_slice(&response.body).ok()?;
    Some(EngineStatus::Up {
        epoch: EngineEpoch(report.epoch),
        version: report.version,
    })
}
