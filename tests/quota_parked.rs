//! Quotas of requests that wait for the prefill of their shared prefix, on the service `dispatch`.

mod dispatch_harness;

use std::sync::{Arc, mpsc};
use std::time::Duration;

use bulrushslip::decide::hashing::name_hash;
use bulrushslip::decide::ids::{LogOffset, Rank};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::prompt_parts::{PromptSegment, PromptShape};
use bulrushslip::decide::route_table::ServiceId;
use bulrushslip::decide::software::SoftwareChoice;
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::gateway::mail::{
    DispatchMail, PlacementRefusal, PlacementReply, PlacementRequest, TopicRecords,
};
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::wire::peer_rpc::WireTopic;
use dispatch_harness::{DispatchDriver, dispatch_settings};
use serde_json::json;

/// Requests that the customer may send at once, at one a second.
const BURST: usize = 5;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn tell(
    driver: &mut DispatchDriver,
    (now, offset): (Moment, u64),
    topic: WireTopic,
    values: &[(&str, serde_json::Value)],
) {
    let records = values.iter().map(|(key, value)| KeyedRecord {
        key: (*key).to_owned(),
        value: Some(value.to_string().into()),
        position: LogOffset(offset).into(),
    });
    let records = TopicRecords {
        topic,
        records: records.collect(),
        next: LogOffset(offset + 1).into(),
        confirmed_at: now,
    };
    driver.send(now, DispatchMail::Snapshot(records));
}

/// Returns a request of the customer with a long shared prefix.
fn request(number: u64) -> PlacementRequest {
    let segments = [(1, 50_000), (100 + number, 100)];
    PlacementRequest {
        request_id: format!("r{number}"),
        service: ServiceId::of("s"),
        prompt: Some(Arc::new(PromptShape {
            model: name_hash("m"),
            prompt_tokens: 50_100,
            answer_tokens: 10,
            segments: segments
                .map(|(id, tokens)| PromptSegment { id, tokens })
                .into(),
        })),
        customer: "customer".to_owned(),
        stated_tokens: None,
        body_bytes: 100,
        excluded: Vec::new(),
        software: SoftwareChoice::Any,
        is_retry: false,
        received: at(2_000),
        rank: Rank::Urgent,
        start_by: at(9_000),
        deadline: at(60_000),
        prefill_deadline: at(9_000),
        fingerprint: Fingerprint(number),
    }
}

/// Guards against requests that wait for a prefill and then all run: they were within the quota when
/// they arrived, and were not checked again.
#[test]
fn requests_that_waited_for_a_prefill_are_held_to_the_quota() {
    let mut driver = DispatchDriver::new(dispatch_settings(1));
    let document = |version: u64, tenants: serde_json::Value| {
        let engine = json!({"kv-capacity-tokens": 10_000_000, "token-kv-bytes": 1000.0,
            "link-mbps": 1000.0});
        json!({"version": version, "routes": [], "tenants": tenants,
            "services": [{"name": "s", "max-connections": 100, "engine": engine}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 1000}})
    };
    let limited =
        json!([{"name": "customer", "unit": "requests", "rate-per-s": 1, "burst": BURST}]);
    let entry = |port: u16| {
        json!({"service": "s", "address": format!("127.0.0.1:{port}"), "zone": "near",
            "slots": 64, "version": "v1", "cold-left-ms": 0, "sequence": 0, "state": "ready", "born": 1, "models": [{"name": "m", "version": 1}]})
    };
    let (operator, upstream) = (WireTopic::Operator, WireTopic::Upstream);
    // A limit starts full if it comes with a later configuration than the first.
    for (place, topic, values) in [
        (
            (at(0), 0),
            operator,
            vec![("config", document(1, json!([])))],
        ),
        (
            (at(2_000), 1),
            operator,
            vec![("config", document(2, limited))],
        ),
        (
            (at(2_000), 0),
            upstream,
            vec![("i-1", entry(1)), ("i-2", entry(2))],
        ),
    ] {
        tell(&mut driver, place, topic, &values);
    }

    let (sender, replies) = mpsc::channel();
    let place = |driver: &mut DispatchDriver, number| {
        let sender = sender.clone();
        let reply_to = ReplyTo::new(move |reply| sender.send(reply).expect("an open receiver"));
        let mail = DispatchMail::Place(Box::new(request(number)), reply_to);
        driver.send(at(2_000), mail);
    };
    place(&mut driver, 0);
    let Ok(PlacementReply::Placed(first)) = replies.try_recv() else {
        panic!("the first request is not placed");
    };
    for number in 1..=20 {
        place(&mut driver, number);
    }
    assert_eq!(replies.try_iter().count(), 0, "all others wait");
    driver.send(at(2_100), DispatchMail::FirstOutput(first.ticket));
    driver.wake(at(2_200));
    let is_placed = |reply: &PlacementReply| match reply {
        PlacementReply::Placed(_) => true,
        PlacementReply::Refused(PlacementRefusal::OverQuota(_)) => false,
        PlacementReply::Refused(refusal) => panic!("{refusal:?}"),
    };
    let (ran, refused): (Vec<_>, Vec<_>) = replies.try_iter().partition(is_placed);
    assert_eq!(ran.len() + refused.len(), 20);
    assert_eq!(ran.len(), BURST - 1, "the first has used one");
}
