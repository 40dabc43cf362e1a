//! Operator port and metrics on a running kernel.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use bulrushslip::kernel::{Clock, Moment, NextStep, RunningKernel, Service, Signal, TokioKernel};
use bulrushslip::platform::http_client::{CompleteResponse, call, request};
use bulrushslip::process::listen;
use bulrushslip::services::common::mail::Mail;
use bulrushslip::services::common::metrics::{self, MetricSample, MetricValue};
use bulrushslip::services::common::operator::{self, OperatorIdentity};
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;

const TOKEN: &str = "0123456789abcdef";
const LIMIT: Duration = Duration::from_secs(10);

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

async fn kernel(token: Option<&str>) -> (RunningKernel<Mail>, SocketAddr) {
    let loopback = "127.0.0.1:0".parse().expect("an address");
    let listener = listen("operator", loopback).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let identity = OperatorIdentity {
        role: "entry",
        name: "entry-1".to_owned(),
        data_centre: "caerdydd".to_owned(),
        token: token.map(str::to_owned),
    };
    let mut kernel = TokioKernel::new();
    kernel.add_task(operator::task(listener, identity));
    kernel.add(counter());
    (kernel.launch(Clock::start()), address)
}

async fn get(address: SocketAddr, path: &str, token: Option<&str>) -> CompleteResponse {
    let mut builder = request(Method::GET, address, path);
    if let Some(token) = token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let request = builder.body(Full::new(Bytes::new())).expect("a request");
    call(address, request, LIMIT).await.expect("an answer")
}

#[tokio::test]
async fn the_dump_has_every_service_and_needs_the_token() {
    let (running, address) = kernel(Some(TOKEN)).await;
    for wrong in [None, Some("0123456789abcdeg"), Some("")] {
        let refused = get(address, "/dump", wrong).await;
        assert_eq!(refused.status, 401);
        assert!(!String::from_utf8_lossy(&refused.body).contains("count"));
    }
    assert_eq!(get(address, "/health", None).await.status, 200);
    assert_eq!(get(address, "/other", Some(TOKEN)).await.status, 404);
    let answer = get(address, "/dump", Some(TOKEN)).await;
    let dump: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    assert_eq!(dump["counter"]["count"], 7);
    assert_eq!(dump["operator"]["name"], "entry-1");
    assert!(!dump.to_string().contains(TOKEN));
    let clock = running.directory.clock();
    running.stop(clock.now().after(LIMIT)).await;
    assert!(clock.now() < Moment::START.after(LIMIT));
}

#[tokio::test]
async fn counts_are_gathered_and_sent_once_an_interval() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a port");
    receiver.set_read_timeout(Some(LIMIT)).expect("a timeout");
    let address = receiver.local_addr().expect("an address");
    let mut kernel = TokioKernel::new();
    kernel.add(metrics::service(address, &[("name", "entry-1")]).expect("a socket"));
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
    let length = receiver.recv(&mut datagram).expect("a datagram");
    let text = String::from_utf8_lossy(&datagram[..length]);
    assert_eq!(
        text.trim(),
        "bulrushslip.requests:6|c|#name:entry-1,rank:urgent"
    );
}

#[tokio::test]
async fn without_an_address_samples_go_nowhere() {
    let (running, _) = kernel(None).await;
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
