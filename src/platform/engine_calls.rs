//! Calls to model engines: orders to load weights, and state reports.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::request_headers::EXPECTED_UPSTREAM;
use crate::decide::order_progress::ReportedWeights;

/// Largest response to an order or a request for a state report, in bytes; a report lists the
/// running requests.
pub const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// Order to an engine to load a version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// Name of the upstream that the order is meant for.
    pub upstream: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Version of the weights to load.
    pub version: u64,
    /// Name of the instance that sends the order.
    pub holder: &'a str,
    /// Fencing token; the engine rejects orders with an older one.
    pub fence: u64,
    /// Number of orders that the engine must have accepted so far for it to accept this one.
    pub expected_orders: u64,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    op: &'static str,
    model: &'a str,
    version: u64,
    /// `wait`: running requests finish on the old weights before the load.
    mode: &'static str,
    holder: &'a str,
    fence: u64,
    /// Expected number of orders accepted so far; not related to the result of this order.
    expect: u64,
}

/// Response of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// The engine is loading the weights.
    Accepted,
    /// The engine already runs the weights.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has accepted a newer fencing token.
    Fenced,
    /// The address belongs to another upstream.
    Misdirected,
    /// The engine cannot process the order.
    Invalid,
}

/// State report of an engine; it may be some hundred milliseconds old.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Models that the engine serves, with their weights.
    #[serde(default)]
    pub models: Vec<EngineModel>,
    /// Whether the engine is carrying out an order.
    #[serde(default)]
    pub busy: bool,
    /// Number of orders accepted since the start of the engine. The field `sequence` of an
    /// upstream's store entry has another meaning: it counts heartbeats.
    #[serde(default, rename = "sequence")]
    pub orders: u64,
}

/// Model that an engine serves.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineModel {
    /// Name of the model.
    pub name: String,
    /// Version of the weights.
    pub version: u64,
}

impl EngineState {
    /// Returns what the report says of the weights of a model.
    #[must_use]
    pub fn weights_of(&self, model: &str) -> ReportedWeights {
        let reported = self.models.iter().find(|reported| reported.name == model);
        ReportedWeights {
            version: reported.map(|reported| reported.version),
            is_busy: self.busy,
            accepted_orders: self.orders,
        }
    }
}

/// Builds the HTTP request for an order.
///
/// # Errors
///
/// Returns an error when the upstream's name is not a valid header value.
///
/// # Panics
///
/// Does not panic: a structure of numbers and strings can always be encoded as JSON.
pub fn order_request(order: &WeightsOrder<'_>) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let wire = WireOrder {
        op: "version",
        model: order.model,
        version: order.version,
        mode: "wait",
        holder: order.holder,
        fence: order.fence,
        expect: order.expected_orders,
    };
    let body = serde_json::to_vec(&wire).expect("an order of numbers and strings can be encoded");
    Request::builder()
        .method(Method::POST)
        .uri("/order")
        .header(EXPECTED_UPSTREAM, order.upstream)
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
}

/// Builds the HTTP request for a state report.
///
/// # Errors
///
/// Returns an error when the upstream's name is not a valid header value.
pub fn report_request(upstream: &str) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::builder()
        .method(Method::GET)
        .uri("/report")
        .header(EXPECTED_UPSTREAM, upstream)
        .body(Full::new(Bytes::new()))
}

impl From<StatusCode> for OrderReply {
    fn from(status: StatusCode) -> Self {
        match status {
            StatusCode::ACCEPTED => Self::Accepted,
            StatusCode::OK => Self::Holds,
            StatusCode::CONFLICT => Self::Conflict,
            StatusCode::PRECONDITION_FAILED => Self::Fenced,
            StatusCode::MISDIRECTED_REQUEST => Self::Misdirected,
            _ => Self::Invalid,
        }
    }
}
