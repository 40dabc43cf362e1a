//! I/O task `engine-watch` of a sidecar: reads the engine's state in intervals.

use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::Deserialize;

use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::EngineEpoch;
use crate::events::{ENGINE_DOWN, ENGINE_RESTARTED, ENGINE_UP, EventField, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_client;
use crate::services::common::mail::{EngineStatus, LedgerMail, Mail};

/// Interval between two reads while the engine answers.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two reads while the engine does not answer.
const DOWN_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time for a read.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Load report of an engine on the wire.
#[derive(Debug, Deserialize)]
struct LoadReport {
    epoch: u64,
    version: String,
}

/// Creates the I/O task `engine-watch`.
#[must_use]
pub fn engine_watch_task(target: EngineTarget) -> IoTask<Mail> {
    IoTask::new("engine-watch", move |inbox, directory| {
        run(target, inbox, directory)
    })
}

async fn run(target: EngineTarget, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut next_read = directory.now();
    let mut last = None;
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            () = tokio::time::sleep_until(directory.clock().instant(next_read).into()) => {
                let state = read_state(target).await;
                log_change(target, last.as_ref(), &state);
                last = Some(state.clone());
                let is_up = state != EngineStatus::Down;
                directory
                    .send_waiting("ledger", Mail::Ledger(LedgerMail::EngineStatus(state)))
                    .await;
                let interval = if is_up { WATCH_INTERVAL } else { DOWN_INTERVAL };
                next_read = directory.now().after(interval);
            }
        }
    }
}

/// Logs what has changed since the last read.
fn log_change(target: EngineTarget, last: Option<&EngineStatus>, state: &EngineStatus) {
    let upstream: EventField<'_> = ("upstream", &target.address);
    let known_epoch = last.and_then(EngineStatus::epoch);
    match (last, state.epoch()) {
        (Some(EngineStatus::Down), None) => {}
        (_, None) => log_event(&ENGINE_DOWN, &[upstream]),
        (_, Some(epoch)) if known_epoch == Some(epoch) => {}
        (Some(EngineStatus::Up { .. }), Some(epoch)) => {
            log_event(&ENGINE_RESTARTED, &[upstream, ("epoch", &epoch.0)]);
        }
        (_, Some(epoch)) => log_event(&ENGINE_UP, &[upstream, ("epoch", &epoch.0)]),
    }
}

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

async fn read_load(target: EngineTarget) -> Option<EngineStatus> {
    let request = http_client::request(Method::GET, target.address, "/load");
    let request = request.body(Full::default()).ok()?;
    let response = http_client::call(target.address, request, WATCH_TIMEOUT)
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
