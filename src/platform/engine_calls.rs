//! Orders to model engines and their reports.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};

use super::request_headers::EXPECTED_UPSTREAM;

/// Order to run other weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder<'a> {
    /// The upstream that the order is meant for.
    pub upstream: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Version to run.
    pub version: u64,
    /// Instance that gives the order.
    pub holder: &'a str,
    /// Fencing token.
    pub fence: u64,
    /// Number of orders that the upstream must have accepted before.
    pub expected_orders: u64,
}

#[derive(Serialize)]
struct WireOrder<'a> {
    op: &'static str,
    model: &'a str,
    version: u64,
    /// `wait`: running requests finish on the old weights first.
    mode: &'static str,
    holder: &'a str,
    fence: u64,
    /// The count of accepted orders that is expected, not an expectation of the result.
    expect: u64,
}

/// What an engine made of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the count of orders differs.
    Conflict,
    /// A newer fencing token has been seen.
    Fenced,
    /// Another upstream is at the address.
    Misdirected,
    /// It is not understood.
    Invalid,
}

/// State of an engine, as of some hundred milliseconds before.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineState {
    /// Weights in force.
    #[serde(default)]
    pub models: Vec<EngineModel>,
    /// Whether an order is in progress.
    #[serde(default)]
    pub busy: bool,
    /// Count of orders accepted since its start; the entry's field of this name counts heartbeats.
    #[serde(default, rename = "sequence")]
    pub orders: u64,
}

/// One model of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct EngineModel {
    /// Name.
    pub name: String,
    /// Version of the weights.
    pub version: u64,
}

/// Builds the call for an order.
///
/// # Errors
///
/// Returns an error when the upstream's name cannot stand in a header.
///
/// # Panics
///
/// Never: numbers and texts can always be encoded.
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
    let body = serde_json::to_vec(&wire).expect("an order of numbers and texts can be encoded");
    Request::builder()
        .method(Method::POST)
        .uri("/order")
        .header(EXPECTED_UPSTREAM, order.upstream)
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
}

/// Builds the call for a report.
///
/// # Errors
///
/// Returns an error when the upstream's name cannot stand in a header.
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
