//! Commands of the load program and the service that collects the report.

use std::io::{self, Write};
use std::time::Duration;

use super::generator::{LoadPlan, generator_task};
use super::mail::LoadMail;
use super::measure;
use super::options::{LoadCommand, LoadOptions, RunOptions};
use super::path;
use super::prompts::PromptBuilder;
use super::report::{RankDeadlines, RunReport};
use super::report_format;
use crate::kernel::{Clock, Moment, NextStep, ReplyTo, Service, Signal, TokioKernel};

/// Microseconds in one millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// Runs the given command.
///
/// # Errors
///
/// Returns an error if the results cannot be written.
pub async fn run(options: LoadOptions) -> io::Result<()> {
    match options.command {
        LoadCommand::Measure(options) => {
            io::stdout().write_all(measure::measure(&options).as_bytes())
        }
        LoadCommand::Path(options) => {
            let text = path::measure(&options).await;
            io::stdout().write_all(text.as_bytes())
        }
        LoadCommand::Run(options) => run_load(options).await,
    }
}

async fn run_load(options: RunOptions) -> io::Result<()> {
    let deadlines = [options.urgent_deadline_ms, options.routine_deadline_ms];
    let deadlines = deadlines.map(|millis| millis * MICROS_PER_MILLI);
    let names: Vec<String> = options
        .target
        .iter()
        .map(|target| target.name.clone())
        .collect();
    let plan = LoadPlan {
        requests: options.workload().plan(),
        prompts: PromptBuilder {
            model: options.model.clone(),
            piece_bytes: options.piece_bytes,
            prefix_lengths: options.prefix_lengths(),
        },
        targets: options.target,
        key_prefix: options.key_prefix,
        crash_engines: options.crash,
        crash_due: Moment::START.after(Duration::from_secs(options.crash_at)),
    };
    let mut kernel = TokioKernel::new();
    kernel.add(report_service(&names, deadlines));
    kernel.add_task(generator_task(plan));
    let running = kernel.launch(Clock::start());
    let report = running.directory.ask("report", LoadMail::Final).await;
    let report = report.ok_or(io::ErrorKind::BrokenPipe)?;
    io::stdout().write_all(report_format::text(&report).as_bytes())?;
    match options.json {
        Some(path) => std::fs::write(path, format!("{:#}\n", report_format::json(&report))),
        None => Ok(()),
    }
}

/// Creates the service `report`, which collects the samples of a run and replies with the report.
#[must_use]
pub fn report_service(names: &[String], deadlines: RankDeadlines) -> Service<LoadMail> {
    let mut report = RunReport::new(names, deadlines);
    let mut ended = false;
    let mut pending_reply: Option<ReplyTo<RunReport>> = None;
    Service::new("report", move |_turn, signal| {
        match signal {
            Signal::Mail(LoadMail::Sample(sample)) => report.record(&sample),
            Signal::Mail(LoadMail::Engines(target, totals)) => {
                report.targets[target].engines = totals;
            }
            Signal::Mail(LoadMail::Ended) => ended = true,
            Signal::Mail(LoadMail::Final(reply_to)) => pending_reply = Some(reply_to),
            Signal::Dump(reply_to) => reply_to.send(report_format::json(&report)),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due => {}
        }
        if ended && let Some(reply_to) = pending_reply.take() {
            reply_to.send(report.clone());
        }
        NextStep::Wait
    })
}
