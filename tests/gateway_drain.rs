//! Leaves of upstreams and of the instance itself: how long the service `dispatch` goes on sending
//! requests, tested without sockets and with explicit times.

mod dispatch_harness;

use std::sync::mpsc::{self, Receiver};
use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, Rank};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::route_table::ServiceId;
use bulrushslip::decide::software::SoftwareChoice;
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::gateway::mail::{
    DispatchMail, PeerProgress, Placement, PlacementRefusal, PlacementReply, PlacementRequest,
    ReadNeed, SendCheck, TopicRecords,
};
use bulrushslip::gateway::store_watch::ReadTimes;
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::platform::store_records::{StorePage, StoreRecord};
use bulrushslip::wire::peer_rpc::{GossipMessage, WireTopic};
use dispatch_harness::{DispatchDriver, dispatch_settings};

/// Drain limit of the tests, in milliseconds.
const DRAIN_LIMIT_MS: u64 = 2_000;

/// Time between two reads of the store, in milliseconds.
const READ_INTERVAL_MS: usize = 400;

const READY: &str = r#"{"service":"plain","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,
    "state":"ready","born":1}"#;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Service `dispatch` of one instance that knows one upstream, `i-1`.
struct Instance {
    driver: DispatchDriver,
}

impl Instance {
    fn new(id: u64) -> Self {
        let mut settings = dispatch_settings(id);
        settings.identity.drain_limit = Duration::from_millis(DRAIN_LIMIT_MS);
        let driver = DispatchDriver::new(settings);
        let mut instance = Self { driver };
        let entry = upstream_record(0, Some(READY));
        instance.send(
            0,
            DispatchMail::Snapshot(topic_records(vec![entry], 1, at(0))),
        );
        instance
    }

    fn send(&mut self, ms: u64, mail: DispatchMail) {
        self.driver.send(at(ms), mail);
    }

    fn wake(&mut self, ms: u64) {
        self.driver.wake(at(ms));
    }

    /// Passes records that were read from the store.
    fn read(&mut self, ms: u64, records: Vec<KeyedRecord>, next: u64) {
        self.send(
            ms,
            DispatchMail::Records(topic_records(records, next, at(ms))),
        );
    }

    /// Passes the response of another instance to a call that began at `called_ms`.
    fn respond(&mut self, called_ms: u64, ms: u64, gossip: GossipMessage) {
        let mail = DispatchMail::GossipResponse(Box::new(gossip), at(called_ms));
        self.send(ms, mail);
    }

    /// Returns the time until which the instance relies on others for the upstreams' records;
    /// `None` if it reads them itself.
    fn relies_until(&mut self, ms: u64) -> Option<Moment> {
        let (sender, receiver) = mpsc::channel();
        let reply_to = ReplyTo::new(move |reply| sender.send(reply).expect("an open receiver"));
        let mail = DispatchMail::ReadNeed(WireTopic::Upstream, reply_to);
        self.send(ms, mail);
        match receiver.try_recv().expect("a reply") {
            ReadNeed::Now(_) | ReadNeed::Listing => None,
            ReadNeed::Later(due) => Some(due),
        }
    }

    /// Passes the responses of `readers` to calls of this instance; returns what
    /// [`Self::relies_until`] does then.
    fn relies_on(&mut self, readers: &mut [Instance], called_ms: u64, ms: u64) -> Option<Moment> {
        for reader in readers {
            let gossip = reader.gossip(called_ms);
            self.respond(called_ms, ms, gossip);
        }
        self.relies_until(ms)
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
        self.place_until(ms, ms + 60_000)
    }

    /// Asks for the placement of a request that times out at the given time.
    fn place_until(&mut self, ms: u64, deadline_ms: u64) -> Receiver<PlacementReply> {
        let (sender, receiver) = mpsc::channel();
        // A test that does not read a later reply has dropped the receiver.
        let reply_to = ReplyTo::new(move |reply| drop(sender.send(reply)));
        let request = PlacementRequest {
            request_id: format!("r-{ms}"),
            service: ServiceId::of("plain"),
            prompt: None,
            customer: String::new(),
            stated_tokens: None,
            body_bytes: 100,
            excluded: Vec::new(),
            software: SoftwareChoice::Any,
            is_retry: false,
            received: at(ms),
            rank: Rank::Urgent,
            start_by: at(deadline_ms),
            deadline: at(deadline_ms),
            prefill_deadline: at(deadline_ms),
            fingerprint: Fingerprint(ms),
        };
        self.send(ms, DispatchMail::Place(Box::new(request), reply_to));
        receiver
    }

    /// Returns whether a request is sent to an upstream at once.
    fn sends(&mut self, ms: u64) -> bool {
        placed(&self.place(ms)).is_some()
    }
}

fn upstream_record(offset: u64, value: Option<&str>) -> KeyedRecord {
    KeyedRecord {
        key: "i-1".to_owned(),
        value: value.map(|value| value.to_owned().into()),
        position: LogOffset(offset).into(),
    }
}

fn topic_records(records: Vec<KeyedRecord>, next: u64, confirmed_at: Moment) -> TopicRecords {
    TopicRecords {
        topic: WireTopic::Upstream,
        records,
        next: LogOffset(next).into(),
        confirmed_at,
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
    steady.respond(10_000, 10_005, gossip);
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

/// Guards against a confirmation that counts from the arrival of a response: a response that was
/// in transit for seconds made old records look current.
#[test]
fn a_read_confirms_no_later_moment_than_the_store_can_have_meant() {
    let from = LogOffset(4);
    let page = |end, offsets: &[u64]| StorePage {
        end: LogOffset(end),
        first: LogOffset(0),
        records: offsets
            .iter()
            .map(|offset| StoreRecord {
                offset: LogOffset(*offset),
                body: bytes::Bytes::new(),
            })
            .collect(),
    };
    let read = |ended_ms| ReadTimes {
        started: at(1_000),
        long_poll: Duration::from_millis(600),
        ended: at(ended_ms),
    };
    for (ended_ms, page, confirmed_at) in [
        (2_500, page(6, &[4, 5]), at(1_000)),
        (2_500, page(4, &[]), at(1_600)),
        (1_400, page(4, &[]), at(1_000)),
        (1_400, page(9, &[4, 5]), Moment::START),
    ] {
        let confirmed = read(ended_ms).confirmed_at(&page, from);
        assert_eq!(confirmed, confirmed_at, "{page:?}");
    }
}

/// Guards against gossip that makes old records look current: the time that a message spends in
/// transit used not to count, neither that of a call nor that of a response.
#[test]
fn time_in_transit_counts_as_age_of_the_records() {
    let mut readers = [Instance::new(1), Instance::new(2)];
    let mut instance = Instance::new(3);
    for reader in &mut readers {
        reader.read(10_000, Vec::new(), 1);
    }
    let limit = instance.relies_on(&mut readers, 10_000, 10_000);
    let limit = limit.expect("recent records").since(at(10_000));
    for reader in &mut readers {
        reader.read(20_000, Vec::new(), 1);
    }
    let relies_until = instance.relies_on(&mut readers, 20_000, 20_700);
    assert!(
        relies_until.is_some_and(|until| until.since(at(20_000)) <= limit),
        "{relies_until:?}"
    );
    // The time at which a call was sent is unknown to the instance that is called.
    for reader in &mut readers {
        reader.read(30_000, Vec::new(), 1);
        let gossip = reader.gossip(30_000);
        instance.send(31_900, DispatchMail::Gossip(Box::new(gossip)));
    }
    assert_eq!(instance.relies_until(31_900), None);
}

/// Returns the placement in a reply.
fn placed(reply: &Receiver<PlacementReply>) -> Option<Placement> {
    match reply.try_recv() {
        Ok(PlacementReply::Placed(placement)) => Some(*placement),
        _ => None,
    }
}

/// Guards against a send on a list of upstreams that is older than the drain limit, when a read
/// takes longer than the times around it allow for.
#[test]
fn requests_wait_while_the_list_of_upstreams_is_too_old() {
    let mut instance = Instance::new(1);
    instance.read(10_000, Vec::new(), 1);
    assert!(instance.sends(11_000));
    let reply = instance.place(10_000 + DRAIN_LIMIT_MS);
    assert!(placed(&reply).is_none(), "sent on an old list");
    instance.read(12_100, Vec::new(), 1);
    assert!(placed(&reply).is_some(), "the list is recent again");
    // The answer to a read that was sent long ago makes the list no more recent.
    let records = topic_records(Vec::new(), 1, at(13_000));
    instance.send(16_000, DispatchMail::Records(records));
    assert!(!instance.sends(16_000));
}

/// Guards against the loss of service while the store is out.
#[test]
fn an_outage_of_the_store_stops_no_request() {
    let mut instance = Instance::new(1);
    instance.read(10_000, Vec::new(), 1);
    let reply = instance.place(10_000 + DRAIN_LIMIT_MS);
    assert!(placed(&reply).is_none());
    instance.fail_read(12_100);
    assert!(placed(&reply).is_some(), "waits during an outage");
    for ms in (12_500..60_000).step_by(10_000) {
        assert!(instance.sends(ms), "{ms}");
    }
    // Others confirm the list for a while and stop; reads of this instance go on to fail.
    let mut reader = Instance::new(2);
    reader.read(60_000, Vec::new(), 1);
    let gossip = reader.gossip(60_000);
    instance.respond(60_000, 60_010, gossip);
    assert!(!instance.sends(62_500));
    instance.fail_read(62_600);
    assert!(instance.sends(62_600));
}

/// Guards against a request that was placed before its upstream left and is sent long after, when
/// connecting or waiting for the processor took long.
#[test]
fn a_placement_is_checked_again_before_a_late_send() {
    let mut instance = Instance::new(1);
    instance.read(10_000, Vec::new(), 1);
    let reply = instance.place(10_100);
    let placement = placed(&reply).expect("a placement");
    assert!(placement.valid_until <= at(10_000 + DRAIN_LIMIT_MS));
    assert!(placement.valid_until.since(at(10_100)) < Duration::from_millis(250));
    let check = |ms, instance: &mut Instance| {
        let (sender, receiver) = mpsc::channel();
        let reply_to = ReplyTo::new(move |reply| sender.send(reply).expect("an open receiver"));
        let mail = DispatchMail::CheckSend(placement.ticket, reply_to);
        instance.send(ms, mail);
        receiver.try_recv().expect("a reply")
    };
    assert_eq!(check(10_200, &mut instance), SendCheck::Send);
    let too_old_ms = 10_000 + DRAIN_LIMIT_MS;
    assert_eq!(check(too_old_ms, &mut instance), SendCheck::Outdated);
    let draining = READY.replace("ready", "draining");
    instance.read(12_100, vec![upstream_record(1, Some(&draining))], 2);
    assert_eq!(check(12_100, &mut instance), SendCheck::UpstreamLeft);
    instance.read(12_200, vec![upstream_record(2, None)], 3);
    assert_eq!(check(12_200, &mut instance), SendCheck::UpstreamLeft);
}

/// Guards against streams that the planned end of an instance cut off: one that was accepted 3.8 s
/// after the stop signal had 3.2 s left of its 12 s.
#[test]
fn an_instance_that_stops_accepts_late_only_what_ends_before_it() {
    let mut instance = Instance::new(1);
    instance.read(100, Vec::new(), 1);
    instance.send(200, DispatchMail::Leaving);
    let stop_end_ms = 7_200;
    for ms in [300, 2_900, 3_100, 4_000] {
        instance.read(ms - 10, Vec::new(), 1);
        let short = instance.place_until(ms, stop_end_ms);
        assert!(placed(&short).is_some(), "a short request at {ms} ms");
        let long = instance.place_until(ms, ms + 12_000);
        let is_accepted = placed(&long).is_some();
        assert_eq!(is_accepted, ms < 3_000, "a long request at {ms} ms");
    }
}
