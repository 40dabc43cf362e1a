//! Messages between the parts of the load program.

use super::engine_stats::EngineTotals;
use super::report::RunReport;
use super::sample::RequestSample;
use crate::kernel::ReplyTo;

/// Messages to the service `report`.
#[derive(Debug)]
pub enum LoadMail {
    /// A request has ended.
    Sample(RequestSample),
    /// What the engines of a target did during the run.
    Engines(usize, EngineTotals),
    /// All requests have ended.
    Ended,
    /// Asks for the report; answered once all requests have ended.
    Final(ReplyTo<RunReport>),
}
