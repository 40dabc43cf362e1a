//! Messages between the I/O task and the service of the load generator.

use super::engine_stats::EngineTotals;
use super::report::RunReport;
use super::sample::RequestSample;
use crate::kernel::ReplyTo;

/// Messages to the service `report`.
#[derive(Debug)]
pub enum LoadMail {
    /// One request has ended with this sample.
    Sample(RequestSample),
    /// Counters of the engines of one target over the run, with the index of the target.
    Engines(usize, EngineTotals),
    /// All requests have ended.
    Ended,
    /// Requests the report; the reply is sent when all requests have ended.
    Final(ReplyTo<RunReport>),
}
