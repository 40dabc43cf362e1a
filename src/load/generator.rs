//! I/O task `generator`: sends the planned requests when they are due, whether or not earlier ones
//! have ended.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::engine_stats::EngineTotals;
use super::entry_call::{self, EntryCall};
use super::mail::LoadMail;
use super::options::LoadTarget;
use super::prompts::PromptBuilder;
use super::sample::RequestSample;
use super::workload::PlannedRequest;
use crate::kernel::{Directory, IoTask, Moment};
use crate::platform::http_client;

/// Time limit for the call that makes an engine crash.
const CRASH_TIMEOUT: Duration = Duration::from_secs(1);

/// Requests of a run, their targets and the engine crashes during it.
#[derive(Debug)]
pub struct LoadPlan {
    /// Targets; each request is sent to all of them.
    pub targets: Vec<LoadTarget>,
    /// Requests in the order in which they are due.
    pub requests: Vec<PlannedRequest>,
    /// Builds the bodies of the requests.
    pub prompts: PromptBuilder,
    /// Prefix of the bearer keys, which the number of the customer follows.
    pub key_prefix: String,
    /// Addresses of the engines to crash.
    pub crash_engines: Vec<SocketAddr>,
    /// Time of the crashes relative to the start of the run.
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
    let crash_engines = plan.crash_engines.clone();
    let crash_due = moment_in_run(started, plan.crash_due);
    let crash_task = tokio::spawn(async move {
        sleep_until(clock.instant(crash_due).into()).await;
        futures::future::join_all(crash_engines.into_iter().map(crash_engine)).await;
    });
    for (index, request) in plan.requests.iter().enumerate() {
        let due = moment_in_run(started, request.due);
        sleep_until(clock.instant(due).into()).await;
        let body = plan.prompts.body(request);
        for (target_index, target) in plan.targets.iter().enumerate() {
            let request = build_call(&plan, target, index, body.clone());
            let sample = RequestSample::new(target_index, &plan.requests[index], due);
            let directory = directory.clone();
            calls.spawn(async move {
                let sample = entry_call::call(clock, request, sample).await;
                directory.send("report", LoadMail::Sample(sample));
            });
        }
    }
    while calls.join_next().await.is_some() {}
    crash_task.abort();
    let after = read_engines(&plan.targets).await;
    for (target_index, (after, before)) in after.into_iter().zip(before).enumerate() {
        directory.send(
            "report",
            LoadMail::Engines(target_index, after.since(before)),
        );
    }
    directory.send("report", LoadMail::Ended);
}

/// Builds the call for the planned request at an index; the entries are used in rotation.
fn build_call(plan: &LoadPlan, target: &LoadTarget, index: usize, body: String) -> EntryCall {
    let customer = plan.requests[index].customer;
    EntryCall {
        entry: target.entries[index % target.entries.len()],
        bearer: format!("{}{customer}", plan.key_prefix),
        body,
    }
}

/// Converts a time relative to the start of the run into a moment of the clock.
fn moment_in_run(started: Moment, offset: Moment) -> Moment {
    started.after(offset.since(Moment::START))
}

/// Reads the counters of the engines of each target.
async fn read_engines(targets: &[LoadTarget]) -> Vec<EngineTotals> {
    let reads = targets
        .iter()
        .map(|target| EngineTotals::read(&target.engines));
    futures::future::join_all(reads).await
}

async fn crash_engine(engine: SocketAddr) {
    let request = http_client::request(Method::POST, engine, "/admin/crash");
    let Ok(request) = request.body(Full::default()) else {
        return;
    };
    // The result is ignored: the engine counts its crashes, and the report shows the count.
    drop(http_client::call(engine, request, CRASH_TIMEOUT).await);
}
