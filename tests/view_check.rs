//! Instances that know no upstream although the store lists some: they check, and are not ready meanwhile.

mod dispatch_harness;

use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, LogPosition, Rank};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::route_table::ServiceId;
use bulrushslip::decide::software::SoftwareChoice;
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::gateway::mail::{
    DispatchMail, PlacementRefusal, PlacementReply, PlacementRequest, ReadNeed, TopicRecords,
};
use bulrushslip::kernel::Moment;
use bulrushslip::wire::peer_rpc::{GossipMessage, WireProgress, WireTopic};
use bulrushslip::wire::position::WirePosition;
use dispatch_harness::{DispatchDriver, dispatch_settings};

/// Offset up to which the instance has read the list of upstreams.
const NEXT: u64 = 20;

/// Time within which a difference ends.
const CONVERGENCE_TIME: Duration = Duration::from_secs(2);

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Returns a position in a store that has never come back from a copy.
fn position(offset: u64) -> LogPosition {
    LogOffset(offset).into()
}

fn listing(topic: WireTopic, records: Vec<KeyedRecord>, next: u64, now: Moment) -> DispatchMail {
    DispatchMail::Snapshot(TopicRecords {
        topic,
        records,
        next: position(next),
        confirmed_at: now,
    })
}

fn entry(service: &str, offset: u64) -> KeyedRecord {
    let value = format!(
        r#"{{"service":"{service}","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,"state":"ready",
        "born":1,"models":[]}}"#
    );
    KeyedRecord {
        key: format!("i-{service}"),
        value: Some(value.into()),
        position: position(offset),
    }
}

fn configuration() -> KeyedRecord {
    let document = r#"{"version":1,"routes":[],"services":[{"name":"a","max-connections":100},
        {"name":"b","max-connections":100}],"limits":{"max-header-bytes":4096,
        "max-body-bytes":100000,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"#;
    KeyedRecord {
        key: "config".to_owned(),
        value: Some(document.into()),
        position: position(0),
    }
}

/// Message of another instance that reads the store and has read as far.
fn gossip(sender: u64) -> GossipMessage {
    let progress = |next| WireProgress {
        next: WirePosition(next),
        from: Some(WirePosition(0)),
        age_ms: 1,
        returned_ms: None,
    };
    GossipMessage {
        sender,
        address: Some(std::net::SocketAddr::from(([127, 0, 0, 1], 9))),
        place: Some(1),
        reaches_store: true,
        operator: progress(1),
        upstream: progress(NEXT),
        ..GossipMessage::default()
    }
}

/// Instance that relies on two others.
struct Instance {
    driver: DispatchDriver,
}

impl Instance {
    /// Creates an instance that has got the records from others.
    fn new(records: Vec<KeyedRecord>) -> Self {
        let mut driver = DispatchDriver::new(dispatch_settings(9));
        let operator = listing(WireTopic::Operator, vec![configuration()], 1, at(0));
        driver.send(at(0), operator);
        if !records.is_empty() {
            driver.send(at(0), listing(WireTopic::Upstream, records, NEXT, at(0)));
        }
        let mut instance = Self { driver };
        instance.hear(at(0));
        instance
    }

    fn hear(&mut self, now: Moment) {
        for sender in [1, 2] {
            let mail = DispatchMail::GossipResponse(Box::new(gossip(sender)), now);
            self.driver.send(now, mail);
        }
    }

    fn need(&mut self, now: Moment) -> ReadNeed {
        self.driver.ask(now, |reply_to| {
            DispatchMail::ReadNeed(WireTopic::Upstream, reply_to)
        })
    }

    fn is_ready(&mut self, now: Moment) -> bool {
        self.driver.ask(now, DispatchMail::IsReady)
    }

    fn place(&mut self, now: Moment, service: &str) -> PlacementReply {
        let request = PlacementRequest {
            request_id: "r".to_owned(),
            service: ServiceId::of(service),
            prompt: None,
            customer: String::new(),
            stated_tokens: None,
            body_bytes: 1,
            excluded: Vec::new(),
            software: SoftwareChoice::Any,
            is_retry: false,
            received: now,
            rank: Rank::Urgent,
            start_by: now,
            deadline: now.after(Duration::from_secs(1)),
            prefill_deadline: now,
            fingerprint: Fingerprint(1),
        };
        self.driver.ask(now, |reply_to| {
            DispatchMail::Place(Box::new(request), reply_to)
        })
    }
}

fn is_refused(reply: &PlacementReply) -> bool {
    matches!(reply, PlacementReply::Refused(PlacementRefusal::NoUpstream))
}

/// Guards against an instance that refuses the requests of a service for good, because its list lacks what
/// the store and others have.
#[test]
fn a_service_without_upstreams_makes_an_instance_read_the_list_again() {
    let mut instance = Instance::new(vec![entry("a", 3)]);
    assert!(matches!(instance.need(at(100)), ReadNeed::Later(_)));
    assert!(!is_refused(&instance.place(at(100), "a")));
    assert!(matches!(instance.need(at(100)), ReadNeed::Later(_)));
    assert!(is_refused(&instance.place(at(200), "b")));
    assert!(matches!(instance.need(at(200)), ReadNeed::Listing));
    let records = vec![entry("a", 3), entry("b", 4)];
    let answer = listing(WireTopic::Upstream, records, NEXT + 1, at(300));
    instance.driver.send(at(300), answer);
    assert!(!is_refused(&instance.place(at(300), "b")));
    assert!(!matches!(instance.need(at(300)), ReadNeed::Listing));
}

/// Guards against many reads of the store for a service that has no upstreams.
#[test]
fn a_service_that_has_no_upstreams_is_checked_at_a_bounded_rate() {
    let mut instance = Instance::new(vec![entry("a", 3)]);
    let mut checks = 0;
    for ms in (0..20_000).step_by(50) {
        let now = at(ms);
        instance.hear(now);
        assert!(is_refused(&instance.place(now, "b")));
        if matches!(instance.need(now), ReadNeed::Listing) {
            checks += 1;
            let answer = listing(WireTopic::Upstream, vec![entry("a", 3)], NEXT, now);
            instance.driver.send(now, answer);
        }
    }
    assert!((6..=10).contains(&checks), "{checks} in 20 s");
}

/// Guards against an instance that counts as ready while it can serve nothing that others can.
#[test]
fn an_instance_without_upstreams_is_not_ready_until_the_store_says_that_there_are_none() {
    let mut instance = Instance::new(Vec::new());
    assert!(!instance.is_ready(at(100)));
    // It checks without a request, soon.
    let mut now = at(100);
    while !matches!(instance.need(now), ReadNeed::Listing) {
        now = now.after(Duration::from_millis(50));
        instance.hear(now);
        instance.driver.wake(now);
        assert!(now.since(at(100)) < CONVERGENCE_TIME, "no check");
    }
    let none = listing(WireTopic::Upstream, Vec::new(), NEXT, now);
    instance.driver.send(now, none);
    assert!(instance.is_ready(now), "nobody has upstreams");
    let mut instance = Instance::new(Vec::new());
    let some = listing(WireTopic::Upstream, vec![entry("a", 3)], NEXT, now);
    instance.driver.send(now, some);
    assert!(instance.is_ready(now));
}

/// Guards against an instance that is never ready, because entries that name no upstream are listed.
#[test]
fn entries_that_name_no_upstream_do_not_keep_an_instance_from_being_ready() {
    let mut instance = Instance::new(Vec::new());
    let odd = |key: &str, value: &'static [u8]| KeyedRecord {
        key: key.to_owned(),
        value: Some(value.into()),
        position: position(3),
    };
    let records = vec![odd("&", b"{}"), odd("i-a", b"[1]"), odd("i-b", b"\xff")];
    let listed = listing(WireTopic::Upstream, records, NEXT, at(100));
    instance.driver.send(at(100), listed);
    assert!(instance.is_ready(at(100)), "nobody has upstreams");
    // A listing that may miss upstreams says nothing of the kind.
    let mut instance = Instance::new(Vec::new());
    let some = DispatchMail::PartialSnapshot(TopicRecords {
        topic: WireTopic::Upstream,
        records: vec![odd("&", b"{}")],
        next: position(NEXT),
        confirmed_at: Moment::START,
    });
    instance.driver.send(at(100), some);
    assert!(!instance.is_ready(at(100)));
}
