//! The operator port and the metrics service on a running kernel.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use bulrushslip::decide::config::{Configuration, Customer};
use bulrushslip::decide::outcome::RefusalReason;
use bulrushslip::kernel::{Clock, Moment, NextStep, RunningKernel, Service, Signal, TokioKernel};
use bulrushslip::platform::http_client::{CompleteResponse, call, request};
use bulrushslip::process::listen;
use bulrushslip::services::common::mail::{ConfigMail, LedgerMail, Mail};
use bulrushslip::services::common::metrics::{self, MetricSample, MetricValue};
use bulrushslip::services::common::operator::{self, OperatorIdentity};
use bulrushslip::services::configuration::config::CONFIG;
use bulrushslip::services::upstream_side::ledger::LEDGER;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;

/// Bearer token of the operator port.
const TOKEN: &str = "0123456789abcdef";
/// Timeout of each call, receive and stop.
const LIMIT: Duration = Duration::from_secs(10);

/// Creates a service whose dump contains `"count": 7`.
fn counter() -> Service<Mail> {
    Service::new("counter", |_turn, signal| match signal {
        Signal::Dump(reply_to) => {
            reply_to.send(serde_json::json!({"count": 7}));
            NextStep::Wait
        }
        Signal::Stop => NextStep::Stopped,
        _ => NextStep::Wait,
    })
}

/// Creates a service that answers each message and ends when the kernel stops.
fn responder(name: &'static str, respond: impl Fn(Mail) + Send + 'static) -> Service<Mail> {
    Service::new(name, move |_turn, signal| {
        match signal {
            Signal::Mail(mail) => respond(mail),
            Signal::Stop => return NextStep::Stopped,
            _ => {}
        }
        NextStep::Wait
    })
}

/// Starts a kernel with the operator port and the counter; returns the address of the port.
fn start_kernel(token: Option<&str>) -> (RunningKernel<Mail>, SocketAddr) {
    start_kernel_with(token, counter())
}

/// Starts a kernel with the operator port and a service; returns the address of the port.
fn start_kernel_with(
    token: Option<&str>,
    service: Service<Mail>,
) -> (RunningKernel<Mail>, SocketAddr) {
    let loopback = "127.0.0.1:0".parse().expect("the address is invalid");
    let listener = listen("operator", loopback).expect("the port cannot be opened");
    let address = listener.local_addr().expect("the port has no address");
    let identity = OperatorIdentity {
        role: "entry",
        name: "entry-1".to_owned(),
        data_centre: "caerdydd".to_owned(),
        token: token.map(str::to_owned),
    };
    let mut kernel = TokioKernel::new();
    kernel.add_task(operator::task(listener, identity));
    kernel.add(service);
    (kernel.launch(Clock::start()), address)
}

/// Sends a GET request to the operator port, with a bearer token if there is one.
async fn get(address: SocketAddr, path: &str, token: Option<&str>) -> CompleteResponse {
    let mut builder = request(Method::GET, address, path);
    if let Some(token) = token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let request = builder
        .body(Full::new(Bytes::new()))
        .expect("the request is invalid");
    call(address, request, LIMIT).await.expect("no response")
}

#[tokio::test]
async fn the_dump_requires_the_token_and_contains_every_service() {
    let (running, address) = start_kernel(Some(TOKEN));
    for wrong in [None, Some("0123456789abcdeg"), Some("")] {
        let refused = get(address, "/dump", wrong).await;
        assert_eq!(refused.status, 401);
        assert!(!String::from_utf8_lossy(&refused.body).contains("count"));
    }
    assert_eq!(get(address, "/health", None).await.status, 200);
    assert_eq!(get(address, "/other", Some(TOKEN)).await.status, 404);
    let response = get(address, "/dump", Some(TOKEN)).await;
    let dump: serde_json::Value =
        serde_json::from_slice(&response.body).expect("the dump is not JSON");
    assert_eq!(dump["counter"]["count"], 7);
    assert_eq!(dump["operator"]["name"], "entry-1");
    assert!(!dump.to_string().contains(TOKEN));
    let clock = running.directory.clock();
    running.stop(clock.now().after(LIMIT)).await;
    assert!(clock.now() < Moment::START.after(LIMIT));
}

/// Asserts the response to `/ready`, which needs no token, of a kernel with a service.
async fn assert_ready(service: Service<Mail>, status: u16, reason: Option<&str>) {
    let (_running, address) = start_kernel_with(Some(TOKEN), service);
    let response = get(address, "/ready", None).await;
    let body: serde_json::Value =
        serde_json::from_slice(&response.body).expect("the response is not JSON");
    let told = (response.status.as_u16(), body["reason"].as_str());
    assert_eq!(told, (status, reason));
}

#[tokio::test]
async fn a_sidecar_is_ready_unless_its_ledger_refuses_requests() {
    for (refusal, status) in [(None, 200), (Some(RefusalReason::EngineDown), 503)] {
        let ledger = responder(LEDGER, move |mail| {
            if let Mail::Ledger(LedgerMail::Readiness(reply_to)) = mail {
                reply_to.send(refusal);
            }
        });
        assert_ready(ledger, status, refusal.map(RefusalReason::code)).await;
    }
    // Dropping the message leaves the call without a reply, as in a ledger that has stopped.
    assert_ready(responder(LEDGER, drop), 503, Some("leaving")).await;
}

#[tokio::test]
async fn an_entry_is_ready_once_it_has_a_configuration_with_customers() {
    let mut declared = Configuration::default();
    declared.customers.insert(Customer {
        name: "agency".to_owned(),
        bearer_hashes: Vec::new(),
        ranks: Vec::new(),
        weight: 1,
        max_in_flight: 1,
        placement_pieces: 0,
        versions: BTreeMap::new(),
    });
    for (configuration, status, reason) in [
        (Configuration::default(), 503, Some("no_configuration")),
        (declared, 200, None),
    ] {
        let configuration = Arc::new(configuration);
        let config = responder(CONFIG, move |mail| {
            if let Mail::Config(ConfigMail::Current(reply_to)) = mail {
                reply_to.send(Arc::clone(&configuration));
            }
        });
        assert_ready(config, status, reason).await;
    }
}

#[tokio::test]
async fn counts_are_summed_and_sent_once_per_interval() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("the port cannot be opened");
    receiver
        .set_read_timeout(Some(LIMIT))
        .expect("the timeout cannot be set");
    let address = receiver.local_addr().expect("the port has no address");
    let mut kernel = TokioKernel::new();
    kernel.add(
        metrics::service(address, &[("name", "entry-1")]).expect("the socket cannot be opened"),
    );
    let running = kernel.launch(Clock::start());
    for _ in 0..3 {
        let sample = MetricSample {
            name: "requests",
            tag: Some(("rank", "urgent")),
            value: MetricValue::Count(2),
        };
        metrics::record(&running.directory, sample);
    }
    let clock = running.directory.clock();
    running.stop(clock.now().after(LIMIT)).await;
    let mut datagram = [0; 512];
    let length = receiver
        .recv(&mut datagram)
        .expect("no datagram was received");
    let text = String::from_utf8_lossy(&datagram[..length]);
    assert_eq!(
        text.trim(),
        "bulrushslip.requests:6|c|#name:entry-1,rank:urgent"
    );
}

#[tokio::test]
async fn without_a_metrics_address_samples_are_ignored() {
    let (running, _) = start_kernel(None);
    let sample = MetricSample {
        name: "requests",
        tag: None,
        value: MetricValue::Count(1),
    };
    metrics::record(&running.directory, sample);
    let dump = running.directory.dump().await;
    assert_eq!(dump["counter"]["count"], 7);
    assert!(dump.get(metrics::NAME).is_none());
}
