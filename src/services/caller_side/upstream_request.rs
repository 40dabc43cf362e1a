//! Request as an entry sends it to upstreams, the same for all of its attempts.

use std::time::Duration;

use crate::decide::admission::Admission;
use crate::decide::ids::{Incarnation, PrefixKey, Repeatability, Ticket};
use crate::decide::suspects::Fingerprint;
use crate::kernel::whole_us;
use crate::wire::rpc::SubmitCall;

/// HTTP request that is sent to an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamRequest {
    /// Method of the request.
    pub method: String,
    /// Path and query string of the request.
    pub path: String,
    /// Header names and values of the request.
    pub headers: Vec<(String, String)>,
    /// Body of the request.
    pub body: Vec<u8>,
    /// Maximum number of output tokens; 0 if the caller set none.
    pub output_tokens: u32,
    /// Hash of the caller's request, the same for requests with equal content.
    pub fingerprint: Fingerprint,
}

/// What differs between the submissions of one request.
#[derive(Debug, Clone, Copy)]
pub struct SubmitAttempt {
    /// Ticket of the attempt.
    pub ticket: Ticket,
    /// Incarnation of the sidecar that the submission is meant for.
    pub incarnation: Incarnation,
    /// Time within which the request has to start.
    pub start_budget: Duration,
    /// Longest wait at the upstream, in microseconds.
    pub wait_limit_us: u64,
}

impl UpstreamRequest {
    /// Returns the call that submits the request under a ticket.
    #[must_use]
    pub fn submit_call(
        &self,
        admission: &Admission,
        keys: &[PrefixKey],
        attempt: SubmitAttempt,
    ) -> SubmitCall {
        SubmitCall {
            ticket: attempt.ticket.into(),
            incarnation: attempt.incarnation.0,
            customer: admission.customer.clone(),
            rank: admission.rank.into(),
            idempotent: admission.repeatability == Repeatability::Idempotent,
            version: admission.version.clone(),
            fingerprint: self.fingerprint.0,
            prefix_keys: keys.iter().map(|key| key.0).collect(),
            start_budget_us: whole_us(attempt.start_budget),
            wait_limit_us: attempt.wait_limit_us,
            output_tokens: self.output_tokens,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
        }
    }
}
