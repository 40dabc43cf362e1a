//! Engines and plain services that send bytes slowly without end: the response of a ticket ends in
//! time, with a truthful end, and those that make progress are not cut.

mod endless_upstream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushslip::decide::ids::{Incarnation, Repeatability, Ticket};
use bulrushslip::decide::ledger::{LedgerBounds, SubmitStep, TicketLedger};
use bulrushslip::decide::outcome::StreamEnd;
use bulrushslip::kernel::{Clock, Moment, NextStep, Service, Signal, TokioKernel, Turn};
use bulrushslip::services::common::mail::{EngineMail, EngineStatus, LedgerMail, Mail};
use bulrushslip::services::upstream_side::engine_task::{
    EngineKind, EngineTarget, ResponseLimits, engine_task,
};
use bulrushslip::services::upstream_side::engine_watch::engine_watch_task;
use bulrushslip::wire::rpc::{SubmitCall, WireRank};
use endless_upstream::{EndlessResponse, EndlessUpstream};
use socket2::{Domain, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Limits that the tests set.
const LIMITS: ResponseLimits = ResponseLimits {
    progress: Duration::from_secs(2),
    total: Duration::from_secs(6),
};

/// Time within which each response must end: the limit and one wait for a response head.
const END_LIMIT: Duration = Duration::from_secs(10);

/// Time between two repetitions of a slow upstream.
const PACE: Duration = Duration::from_millis(100);

fn slow(start: &'static str, repeated: &'static [u8]) -> EndlessResponse {
    let mut response = EndlessResponse::new(start, repeated);
    response.pace = Some(PACE);
    response
}

/// Response whose repetitions are further apart than the time without a new event.
fn silent(start: &'static str) -> EndlessResponse {
    let mut response = EndlessResponse::new(start, b"\n");
    response.pace = Some(LIMITS.progress * 2);
    response
}

fn submit_call(body: Vec<u8>, idempotent: bool) -> SubmitCall {
    SubmitCall {
        ticket: ticket().into(),
        incarnation: 7,
        customer: "c".to_owned(),
        rank: WireRank(0),
        idempotent,
        version: "v1".to_owned(),
        fingerprint: 1,
        prefix_keys: Vec::new(),
        start_budget_us: 1_000_000,
        wait_limit_us: u64::MAX,
        output_tokens: 0,
        method: "POST".to_owned(),
        path: "/work".to_owned(),
        headers: Vec::new(),
        body,
    }
}

const fn ticket() -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence: 1,
    }
}

/// Runs one request at an upstream; returns its end and the time that it took.
async fn run_request(
    address: SocketAddr,
    kind: EngineKind,
    call: SubmitCall,
) -> (StreamEnd, Duration) {
    let mut ledger = TicketLedger::new(LedgerBounds::default());
    let repeatability = if call.idempotent {
        Repeatability::Idempotent
    } else {
        Repeatability::NonIdempotent
    };
    let submitted = ledger.submit(Moment::START, ticket(), repeatability, Moment::NEVER);
    let SubmitStep::Queued(key) = submitted else {
        panic!("{submitted:?}");
    };
    let (sender, mut ends) = mpsc::unbounded_channel();
    let mut kernel = TokioKernel::new();
    let service = move |_turn: &mut Turn<'_, Mail>, signal| {
        if let Signal::Mail(Mail::Ledger(LedgerMail::ResponseEnded(_, end))) = signal {
            let _is_received = sender.send(end);
        }
        NextStep::Wait
    };
    kernel.add(Service::new("ledger", service));
    kernel.add_task(engine_task(EngineTarget { address, kind }, LIMITS));
    let kernel = kernel.launch(Clock::start());
    let begun = Instant::now();
    let mail = EngineMail::Start(key, Arc::new(call));
    kernel.directory.send("engine", Mail::Engine(mail));
    let end = timeout(END_LIMIT, ends.recv()).await;
    let end = end.unwrap_or_else(|_| panic!("runs after {END_LIMIT:?}"));
    (end.expect("a running service"), begun.elapsed())
}

/// Asserts that the response of a request ends as one that may have run, and that its connection is
/// closed.
async fn assert_ends(name: &str, kind: EngineKind, response: EndlessResponse, idempotent: bool) {
    let mut upstream = EndlessUpstream::start(response).await;
    let call = submit_call(b"work".to_vec(), idempotent);
    let (end, took) = run_request(upstream.address, kind, call).await;
    println!("{name}: {end:?} after {took:?}");
    let ends = [StreamEnd::EngineLost, StreamEnd::Uncertain];
    assert!(ends.contains(&end), "{name}: {end:?}");
    let closed = upstream.closed_within(END_LIMIT).await;
    assert!(closed.is_some(), "{name}: not closed");
}

macro_rules! engine_head {
    ($rest:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-engine-epoch: 1\r\n",
            $rest
        )
    };
}

#[tokio::test]
async fn a_slow_engine_without_new_events_ends_in_time() {
    let cases = [
        ("status line", slow("HTTP/1.1 200 ", b"a")),
        ("header lines", slow("HTTP/1.1 200 OK\r\n", b"x-a: b\r\n")),
        (
            "interim responses",
            slow("", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ),
        ("comments", slow(engine_head!("\r\n"), b": a\n\n")),
        ("blank lines", slow(engine_head!("\r\n"), b"\n")),
        ("partial event", slow(engine_head!("\r\ndata: "), b"a")),
        (
            "chunks of one byte",
            slow(
                engine_head!("transfer-encoding: chunked\r\n\r\n"),
                b"1\r\n:\r\n",
            ),
        ),
        (
            "chunk extension",
            slow(engine_head!("transfer-encoding: chunked\r\n\r\n1;a="), b"a"),
        ),
        (
            "trailers",
            slow(
                engine_head!("transfer-encoding: chunked\r\n\r\n0\r\n"),
                b"x-a: b\r\n",
            ),
        ),
        (
            "one event again and again",
            slow(engine_head!("\r\n"), b"id: 0\ndata: {}\n\n"),
        ),
        ("silence after the head", silent(engine_head!("\r\n"))),
    ];
    let checks = cases.into_iter().flat_map(|(name, response)| {
        [true, false]
            .map(|idempotent| assert_ends(name, EngineKind::Model, response.clone(), idempotent))
    });
    futures::future::join_all(checks).await;
}

#[tokio::test]
async fn a_slow_plain_service_ends_in_time() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("status line", slow("HTTP/1.1 200 ", b"a")),
        ("unframed", slow("HTTP/1.1 200 OK\r\n\r\n", b"a")),
        ("chunks of one byte", slow(chunked, b"1\r\na\r\n")),
        ("chunk size", slow(chunked, b"0")),
        (
            "trailers",
            slow(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
                b"x-a: b\r\n",
            ),
        ),
    ];
    let checks = cases
        .into_iter()
        .map(|(name, response)| assert_ends(name, EngineKind::Plain, response, false));
    futures::future::join_all(checks).await;
}

#[tokio::test]
async fn an_upstream_that_does_not_read_a_request_ends_it_as_uncertain() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let mut unread = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            unread.push(stream);
        }
    });
    for kind in [EngineKind::Model, EngineKind::Plain] {
        let call = submit_call(vec![0; 16 * 1024 * 1024], false);
        let (end, _took) = run_request(address, kind, call).await;
        assert_eq!(end, StreamEnd::Uncertain, "{kind:?}");
    }
}

#[tokio::test]
async fn a_stream_of_slow_events_runs_for_its_whole_time() {
    let mut response = EndlessResponse::new(engine_head!("\r\n"), b"data: {}\n\n");
    response.pace = Some(Duration::from_secs(1));
    let upstream = EndlessUpstream::start(response).await;
    let call = submit_call(b"work".to_vec(), false);
    let (end, took) = run_request(upstream.address, EngineKind::Model, call).await;
    assert_eq!(end, StreamEnd::EngineLost);
    assert!(took >= LIMITS.total, "{took:?}");
}

#[tokio::test]
async fn a_plain_service_that_accepts_no_connection_is_silent() {
    let address: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).expect("a port");
    socket.listen(0).expect("a listener");
    let address = socket.local_addr().expect("an address");
    let address = address.as_socket().expect("an IP address");
    // Attempts to connect to a full listen queue get no reply.
    let mut queued = Vec::new();
    while let Ok(Ok(stream)) = timeout(PACE, TcpStream::connect(address)).await {
        queued.push(stream);
    }
    let (sender, mut silent) = mpsc::unbounded_channel();
    let mut kernel = TokioKernel::new();
    let service = move |_turn: &mut Turn<'_, Mail>, signal| {
        if let Signal::Mail(Mail::Ledger(LedgerMail::EngineSilent(_, reply_to))) = signal {
            reply_to.send(EngineStatus::Down);
            let _is_received = sender.send(());
        }
        NextStep::Wait
    };
    kernel.add(Service::new("ledger", service));
    let kind = EngineKind::Plain;
    kernel.add_task(engine_watch_task(EngineTarget { address, kind }));
    let _running = kernel.launch(Clock::start());
    let reported = timeout(END_LIMIT, silent.recv()).await;
    assert!(reported.is_ok(), "no outcome of a poll after {END_LIMIT:?}");
}
