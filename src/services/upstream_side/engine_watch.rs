//! I/O task `engine-watch` of a sidecar: polls the state of the engine.

use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::engine_notice::{call_reported, pause_end};
use super::engine_task::{EngineKind, EngineTarget};
use crate::decide::ids::EngineEpoch;
use crate::events::{ENGINE_DOWN, ENGINE_RESTARTED, ENGINE_SLOW, ENGINE_UP, EventField, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::http_client::{self, CompleteResponse};
use crate::platform::upstream_notice::read_notice;
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
    /// The upstream rejects the poll, because it wants no requests for some time.
    Rejected,
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
    let mut watch = EngineWatch {
        target,
        directory: directory.clone(),
        status: None,
        has_answered: false,
    };
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            () = tokio::time::sleep_until(directory.clock().instant(next_poll).into()) => {
                let interval = if watch.poll().await { UP_INTERVAL } else { DOWN_INTERVAL };
                next_poll = directory.now().after(interval);
            }
        }
    }
}

/// Polls of one upstream.
struct EngineWatch {
    target: EngineTarget,
    directory: Directory<Mail>,
    /// Status in force after the previous poll.
    status: Option<EngineStatus>,
    /// Whether the upstream has answered a poll since it last refused a connection.
    has_answered: bool,
}

impl EngineWatch {
    /// Polls the upstream and reports the result to the service `ledger`; returns whether it is up.
    async fn poll(&mut self) -> bool {
        let polled_at = self.directory.now();
        let outcome = if self.has_answered && pause_end(&self.directory).await.is_some() {
            self.check_connection().await
        } else {
            read_state(self.target, &self.directory).await
        };
        let status = match outcome {
            PollOutcome::Replied(status) => {
                self.has_answered = status != EngineStatus::Down;
                let mail = Mail::Ledger(LedgerMail::EngineStatus(status.clone()));
                self.directory.send_waiting("ledger", mail).await;
                status
            }
            PollOutcome::Rejected => {
                self.has_answered = true;
                self.status.clone().unwrap_or(EngineStatus::Down)
            }
            PollOutcome::Silent => self.report_silence(polled_at).await,
        };
        log_change(self.target, self.status.as_ref(), &status);
        let is_up = status != EngineStatus::Down;
        self.status = Some(status);
        is_up
    }

    /// Connects to an upstream that wants no requests, which shows a crash and asks it for nothing.
    async fn check_connection(&self) -> PollOutcome {
        match connect(self.target).await {
            PollOutcome::Replied(EngineStatus::Down) => PollOutcome::Replied(EngineStatus::Down),
            _ => PollOutcome::Rejected,
        }
    }

    /// Reports that the upstream has not answered a poll; returns the status in force.
    async fn report_silence(&self, polled_at: Moment) -> EngineStatus {
        let message = |reply_to| Mail::Ledger(LedgerMail::EngineSilent(polled_at, reply_to));
        let in_force = self.directory.ask("ledger", message).await;
        let in_force = in_force.unwrap_or(EngineStatus::Down);
        if in_force != EngineStatus::Down {
            log_event(&ENGINE_SLOW, &[("upstream", &self.target.address)]);
        }
        in_force
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
async fn read_state(target: EngineTarget, directory: &Directory<Mail>) -> PollOutcome {
    match target.kind {
        EngineKind::Model => read_load(target, directory).await,
        EngineKind::Plain => connect(target).await,
    }
}

/// Connects to the upstream.
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
async fn read_load(target: EngineTarget, directory: &Directory<Mail>) -> PollOutcome {
    let request = http_client::request(Method::GET, target.address, "/load");
    let Ok(request) = request.body(Full::default()) else {
        return PollOutcome::Replied(EngineStatus::Down);
    };
    match call_reported(directory, target.address, request, POLL_TIMEOUT).await {
        Ok(response) => match load_status(&response) {
            Some(status) => PollOutcome::Replied(status),
            None if wants_pause(&response) => PollOutcome::Rejected,
            None => PollOutcome::Replied(EngineStatus::Down),
        },
        Err(error) if error.is_timeout() => PollOutcome::Silent,
        Err(_) => PollOutcome::Replied(EngineStatus::Down),
    }
}

/// Returns whether a response asks for a time without requests.
fn wants_pause(response: &CompleteResponse) -> bool {
    let reading = read_notice(response.status, &response.headers);
    reading.notice.pause.is_some()
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
