//! Outcome of all attempts of one request.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::http::response::Parts;

use super::cancellation::CancelSignal;
use super::mail::PlacementRefusal;
use super::placement_guard::PlacementGuard;
use crate::decide::fleet::MemberKey;
use crate::decide::software::SoftwareVersion;
use crate::platform::http_connection::OpenConnection;

/// An event stream whose response head was received, with the request's placement at its upstream.
#[derive(Debug)]
pub struct PlacedStream {
    /// Status and headers of the response.
    pub head: Parts,
    /// Body of the response, still to be read.
    pub body: Incoming,
    /// Connection on which the stream is received.
    pub connection: OpenConnection,
    /// Key of the upstream.
    pub member: MemberKey,
    /// Name of the upstream.
    pub upstream: String,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Version of the software that the upstream runs.
    pub software: SoftwareVersion,
    /// Tells when the request is cancelled because its stream has not started.
    pub cancellation: CancelSignal,
    /// Ends the placement at the upstream when it is dropped.
    pub guard: PlacementGuard,
}

/// A response whose body was read to its end.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status and headers of the response.
    pub head: Parts,
    /// Complete body of the response.
    pub body: Bytes,
    /// Name of the upstream.
    pub upstream: String,
}

/// Outcome of all attempts of one request.
#[derive(Debug)]
pub enum AttemptsOutcome {
    /// An upstream sent a complete response.
    Complete(Box<BufferedResponse>),
    /// An upstream started an event stream.
    Stream(Box<PlacedStream>),
    /// The request has not run and will not run.
    NotRun(PlacementRefusal),
    /// The request failed and may have run.
    Unknown,
    /// The deadline of the request passed; the request may have run.
    TimedOut,
}
