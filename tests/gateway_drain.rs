//! Leaves of upstreams: how long the service `dispatch` of one instance goes on sending requests
//! to an upstream that has left, tested without sockets and with explicit times.

use std::net::SocketAddr;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use bulrushslip::decide::ids::{Incarnation, LogOffset, Rank};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::route_table::{DataCentreId, ServiceId};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::gateway::dispatch::{DispatchSettings, dispatch_service};
use bulrushslip::gateway::identity::InstanceIdentity;
use bulrushslip::gateway::mail::{
    DispatchMail, GatewayMail, PeerProgress, PlacementRefusal, PlacementReply, PlacementRequest,
    TopicRecords,
};
use bulrushslip::kernel::{Moment, NameTable, ReplyTo, Service, Signal, Turn};
use bulrushslip::log_queue::DroppedLines;
use bulrushslip::wire::peer_rpc::{GossipMessage, WireTopic};

/// Drain limit of the tests, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 2_000;

/// Time between two reads of the store, in milliseconds.
const READ_INTERVAL_MS: usize = 400;

const READY: &str = r#"{"service":"plain","address":"127.0.0.1:2","zone":"near","slots":8,
    "state":"ready","born":1}"#;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Service `dispatch` of one instance that knows one upstream, `i-1`.
struct Instance {
    service: Service<GatewayMail>,
    names: NameTable,
}

impl Instance {
    fn new(id: u64) -> Self {
        let mut names = NameTable::default();
        names.register("dispatch");
        names.register("orders");
        let service = dispatch_service(DispatchSettings {
            identity: InstanceIdentity {
                name: format!("front-{id}"),
                id,
                data_centre: DataCentreId::of("near"),
                peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
                weights_limit: Duration::from_secs(8),
                settling_time: Duration::from_secs(3),
                min_holder_interval: Duration::from_secs(3),
                drain_limit: Duration::from_millis(DRAIN_LIMIT_MS),
            },
            incarnation: Incarnation(id),
            retry_ratio: 0.2,
            extra_retries: 56.0,
            dropped_lines: DroppedLines::default(),
        });
        let mut instance = Self { service, names };
        let entry = upstream_record(0, Some(READY));
        instance.send(0, DispatchMail::Snapshot(topic_records(vec![entry], 1)));
        instance
    }

    /// Passes a message to the service at the given time.
    fn send(&mut self, ms: u64, mail: DispatchMail) {
        let mut turn = Turn {
            now: at(ms),
            own: self.names.find("dispatch").expect("registered"),
            names: &self.names,
            outbox: Vec::new(),
        };
        let signal = Signal::Mail(GatewayMail::Dispatch(Box::new(mail)));
        let _step = (self.service.handle)(&mut turn, signal);
    }

    /// Wakes the service at the given time.
    fn wake(&mut self, ms: u64) {
        let mut turn = Turn {
            now: at(ms),
            own: self.names.find("dispatch").expect("registered"),
            names: &self.names,
            outbox: Vec::new(),
        };
        let _step = (self.service.handle)(&mut turn, Signal::Due);
    }

    /// Passes records that were read from the store.
    fn read(&mut self, ms: u64, records: Vec<KeyedRecord>, next: u64) {
        self.send(ms, DispatchMail::Records(topic_records(records, next)));
    }

    fn fail_read(&mut self, ms: u64) {
        let failure = DispatchMail::StoreFailed(WireTopic::Upstream, "timeout".to_owned());
        self.send(ms, failure);
    }

    /// Returns the gossip message to an instance that needs no records.
    fn gossip(&mut self, ms: u64) -> GossipMessage {
        let (sender, receiver) = mpsc::channel();
        let reply_to = ReplyTo::new(move |reply| sender.send(reply).expect("an open receiver"));
        let progress = PeerProgress {
            operator: None,
            upstream: None,
        };
        self.send(ms, DispatchMail::BuildGossip(progress, reply_to));
        receiver.try_recv().expect("a reply")
    }

    /// Asks for the placement of a request.
    fn place(&mut self, ms: u64) -> Receiver<PlacementReply> {
        let (sender, receiver) = mpsc::channel();
        // A test that does not read a later reply has dropped the receiver.
        let reply_to = ReplyTo::new(move |reply| drop(sender.send(reply)));
        let request = PlacementRequest {
            request_id: format!("r-{ms}"),
            service: ServiceId::of("plain"),
            prompt: None,
            customer: String::new(),
            is_isolated: false,
            body_bytes: 100,
            excluded: Vec::new(),
            is_retry: false,
            received: at(ms),
            rank: Rank::Urgent,
            start_by: at(ms + 60_000),
            prefill_deadline: at(ms + 60_000),
            fingerprint: Fingerprint(ms),
        };
        self.send(ms, DispatchMail::Place(Box::new(request), reply_to));
        receiver
    }

    /// Returns whether a request is sent to an upstream at once.
    fn sends(&mut self, ms: u64) -> bool {
        matches!(self.place(ms).try_recv(), Ok(PlacementReply::Placed(_)))
    }
}

fn upstream_record(offset: u64, value: Option<&str>) -> KeyedRecord {
    KeyedRecord {
        key: "i-1".to_owned(),
        value: value.map(|value| value.to_owned().into()),
        offset: LogOffset(offset),
    }
}

fn topic_records(records: Vec<KeyedRecord>, next: u64) -> TopicRecords {
    TopicRecords {
        topic: WireTopic::Upstream,
        records,
        next: LogOffset(next),
    }
}

/// Returns an instance whose reads failed from 1 s on and that reads again at 10 s.
fn after_outage(id: u64) -> Instance {
    let mut instance = Instance::new(id);
    instance.read(600, Vec::new(), 1);
    instance.fail_read(1_000);
    instance.read(10_000, Vec::new(), 1);
    instance
}

/// Guards against a removal that waits longer than the drain limit at an instance that had no
/// outage: the end of another instance's outage used to defer removals at all of them.
#[test]
fn outage_of_another_instance_defers_no_removal() {
    let mut returned = after_outage(1);
    let mut steady = Instance::new(2);
    for ms in (400..=10_000).step_by(READ_INTERVAL_MS) {
        steady.read(ms, Vec::new(), 1);
    }
    let gossip = returned.gossip(10_000);
    steady.send(10_005, DispatchMail::Gossip(Box::new(gossip)));
    assert!(steady.sends(10_010));
    steady.read(10_020, vec![upstream_record(1, None)], 2);
    let refused = steady.place(10_030).try_recv().expect("a reply");
    assert!(
        matches!(
            refused,
            PlacementReply::Refused(PlacementRefusal::NoUpstream)
        ),
        "{refused:?}"
    );
}

/// Guards against a removal that is read just after an outage and waits longer than the drain
/// limit, although the store had confirmed after the outage that the entry was there.
#[test]
fn removal_written_after_an_outage_takes_effect_within_the_drain_limit() {
    let mut instance = after_outage(1);
    let written_ms = 10_010;
    instance.read(10_040, vec![upstream_record(1, None)], 2);
    assert!(instance.sends(10_050), "an entry may be written again");
    for ms in (10_400..written_ms + DRAIN_LIMIT_MS).step_by(READ_INTERVAL_MS) {
        instance.read(ms, Vec::new(), 2);
    }
    instance.wake(written_ms + DRAIN_LIMIT_MS);
    assert!(!instance.sends(written_ms + DRAIN_LIMIT_MS));
}

/// Guards against the loss of all upstreams after an outage in which their entries expired.
#[test]
fn entry_that_expired_during_an_outage_may_be_written_again() {
    let mut instance = Instance::new(1);
    instance.read(600, Vec::new(), 1);
    instance.fail_read(1_000);
    instance.read(10_000, vec![upstream_record(1, None)], 2);
    for ms in (10_400..12_000).step_by(READ_INTERVAL_MS) {
        instance.read(ms, Vec::new(), 2);
        assert!(instance.sends(ms), "{ms}");
    }
    instance.read(12_050, vec![upstream_record(2, Some(READY))], 3);
    instance.wake(13_000);
    assert!(instance.sends(13_000));
}
