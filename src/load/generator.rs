//! I/O task `generator`: sends the planned requests at the times they are due.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::caller::{self, EntryCall};
use super::engine_stats::EngineTotals;
use super::mail::LoadMail;
use super::options::LoadTarget;
use super::prompts::PromptBuilder;
use super::sample::RequestSample;
use super::workload::PlannedRequest;
use crate::kernel::{Directory, IoTask, Moment};
use crate::platform::http_client;

/// Longest time for an engine to take the order to crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(1);

/// What the generator sends, and where.
#[derive(Debug)]
pub struct LoadPlan {
    /// Receivers of every request.
    pub targets: Vec<LoadTarget>,
    /// Requests in the order in which they are due.
    pub requests: Vec<PlannedRequest>,
    /// Builds their bodies.
    pub prompts: PromptBuilder,
    /// Text before the customer's number in its bearer key.
    pub key_prefix: String,
    /// Engines to crash.
    pub crash: Vec<SocketAddr>,
    /// When they crash, from the start of the run.
    pub crash_due: Moment,
}

/// Creates the I/O task `generator`.
#[must_use]
pub fn generator_task(plan: LoadPlan) -> IoTask<LoadMail> {
    IoTask::new("generator", move |_inbox, directory| run(plan, directory))
}

async fn run(plan: LoadPlan, directory: Directory<LoadMail>) {
    let before = read_engines(&plan.targets).await;
    let clock = directory.clock();
    let started = directory.now();
    let mut calls = JoinSet::new();
    let crash = plan.crash.clone();
    let crash_due = shift(started, plan.crash_due);
    let crashes = tokio::spawn(async move {
        sleep_until(clock.instant(crash_due).into()).await;
        futures::future::join_all(crash.into_iter().map(crash_engine)).await;
    });
    for (turn, request) in plan.requests.iter().enumerate() {
        let due = shift(started, request.due);
        sleep_until(clock.instant(due).into()).await;
        let body = plan.prompts.body(request);
        for (position, target) in plan.targets.iter().enumerate() {
            let request = request_for(&plan, target, turn, body.clone());
            let sample = RequestSample::new(position, &plan.requests[turn], due);
            let directory = directory.clone();
            calls.spawn(async move {
                let sample = caller::call(clock, request, sample).await;
                directory.send("report", LoadMail::Sample(sample));
            });
        }
    }
    while calls.join_next().await.is_some() {}
    crashes.abort();
    let after = read_engines(&plan.targets).await;
    for (position, (after, before)) in after.into_iter().zip(before).enumerate() {
        directory.send("report", LoadMail::Engines(position, after.since(before)));
    }
    directory.send("report", LoadMail::Ended);
}

fn request_for(plan: &LoadPlan, target: &LoadTarget, turn: usize, body: String) -> EntryCall {
    let customer = plan.requests[turn].customer;
    EntryCall {
        entry: target.entries[turn % target.entries.len()],
        bearer: format!("{}{customer}", plan.key_prefix),
        body,
    }
}

fn shift(started: Moment, offset: Moment) -> Moment {
    started.after(offset.since(Moment::START))
}

async fn read_engines(targets: &[LoadTarget]) -> Vec<EngineTotals> {
    let readings = targets
        .iter()
        .map(|target| EngineTotals::read(&target.engines));
    futures::future::join_all(readings).await
}

async fn crash_engine(engine: SocketAddr) {
    let request = http_client::request(Method::POST, engine, "/admin/crash");
    let Ok(request) = request.body(Full::default()) else {
        return;
    };
    // The engine counts its crashes, so a lost answer shows in the report.
    drop(http_client::call(engine, request, CRASH_TIMEOUT).await);
}
