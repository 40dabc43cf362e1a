//! Metrics and log events on the requests of an entry.

use super::journal::{RequestReport, request_id};
use crate::decide::outcome::RunStatus;
use crate::events::{ANSWER_LOST, log_event};
use crate::kernel::{Directory, whole_us};
use crate::services::common::mail::Mail;
use crate::services::common::metrics::{MetricSample, MetricTag, MetricValue, record};

/// Value of the label `status` for a request whose caller disconnected before its end.
const ABANDONED: &str = "abandoned";

/// Records the time from the admission of a request to the first data of its response.
pub fn record_first_token(directory: &Directory<Mail>, report: &RequestReport) {
    let elapsed = directory.now().since(report.admitted_at);
    let time = whole_us(elapsed);
    let value = MetricValue::TimeUs(time);
    sample(directory, "first_token", ("rank", report.rank), value);
}

/// Records the end of a request, and logs it if its response is incomplete or lost.
pub fn record_end(directory: &Directory<Mail>, report: &RequestReport, submissions: u32) {
    let status = report
        .reported
        .map_or(ABANDONED, |(status, _)| status.name());
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
    if let Some((RunStatus::Incomplete | RunStatus::Unknown, _)) = report.reported {
        log_event(
            &ANSWER_LOST,
            &[
                ("status", &status),
                ("request", &request_id(report.id)),
                ("customer", &report.customer),
                ("rank", &report.rank),
                ("target", &report.target),
                ("steps", &report.steps_text()),
            ],
        );
    }
}

fn sample(directory: &Directory<Mail>, name: &'static str, tag: MetricTag, value: MetricValue) {
    let tag = Some(tag);
    record(directory, MetricSample { name, tag, value });
}
