//! Metrics and log events of the requests of an entry.

use super::journal::{RequestReport, request_id};
use crate::decide::outcome::RunStatus;
use crate::events::{ANSWER_LOST, log_event};
use crate::kernel::Directory;
use crate::services::common::mail::Mail;
use crate::services::common::metrics::{MetricSample, MetricTag, MetricValue, record};

/// Status of a request whose caller left before its end.
const ABANDONED: &str = "abandoned";

/// Records the time from a request's arrival to its first part.
pub fn record_first_token(directory: &Directory<Mail>, report: &RequestReport) {
    let elapsed = directory.now().since(report.arrived);
    let time = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
    let value = MetricValue::TimeUs(time);
    sample(directory, "first_token", ("rank", report.rank), value);
}

/// Records how a request ended, and logs it if its answer is lost.
pub fn record_end(directory: &Directory<Mail>, report: &RequestReport, submissions: u32) {
    let status = report.told.map_or(ABANDONED, |(status, _)| status.name());
    let rank = ("rank", report.rank);
    sample(directory, "requests", rank, MetricValue::Count(1));
    sample(
        directory,
        "submissions",
        rank,
        MetricValue::Count(submissions),
    );
    sample(
        directory,
        "endings",
        ("status", status),
        MetricValue::Count(1),
    );
    if let Some((RunStatus::Incomplete | RunStatus::Unknown, _)) = report.told {
        log_event(
            &ANSWER_LOST,
            &[
                ("status", &status),
                ("request", &request_id(report.id)),
                ("customer", &report.customer),
                ("rank", &report.rank),
                ("target", &report.target),
            ],
        );
    }
}

fn sample(directory: &Directory<Mail>, name: &'static str, tag: MetricTag, value: MetricValue) {
    let tag = Some(tag);
    record(directory, MetricSample { name, tag, value });
}
