//! What one instance keeps, loses and forwards while the store comes back from an older copy, in virtual time.

mod dispatch_harness;

use std::sync::mpsc;
use std::time::Duration;

use bulrushslip::decide::fleet::MemberState;
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::keyed_view::{KeyedRecord, KeyedView, WriterStamp};
use bulrushslip::decide::record_transfer::{RecordPage, RecordTransfer, TransferStep};
use bulrushslip::gateway::mail::{
    DispatchMail, PeerProgress, StateQuery, TopicRecords, TransferredRecords,
};
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::wire::peer_rpc::WireTopic;
use bulrushslip::wire::records_call::{WireRecordsCall, WireRecordsReply};
use dispatch_harness::{DispatchDriver, dispatch_settings};

/// Time within which entries come back after an outage.
const RETURN_TIME: u64 = 2_000;

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn in_era(era: u64, offset: u64) -> LogPosition {
    LogPosition {
        era: StoreEra(era),
        offset: LogOffset(offset),
    }
}

fn entry(id: &str, sequence: u64, position: LogPosition) -> KeyedRecord {
    let value = format!(
        r#"{{"service":"a","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"state":"ready",
        "born":1,"sequence":{sequence},"models":[]}}"#
    );
    KeyedRecord {
        key: id.to_owned(),
        value: Some(value.into()),
        position,
    }
}

fn read(records: Vec<KeyedRecord>, next: LogPosition, confirmed_at: Moment) -> TopicRecords {
    TopicRecords {
        topic: WireTopic::Upstream,
        records,
        next,
        confirmed_at,
    }
}

/// Creates an instance that has read two upstreams in era 0, with a confirmation at 9,000 ms.
fn instance() -> DispatchDriver {
    let mut driver = DispatchDriver::new(dispatch_settings(9));
    let records = vec![
        entry("i-a", 10, in_era(0, 90)),
        entry("i-b", 10, in_era(0, 91)),
    ];
    let listing = read(records, in_era(0, 100), at(9_000));
    driver.send(at(9_000), DispatchMail::Snapshot(listing));
    driver
}

fn knows(driver: &mut DispatchDriver, now: Moment, id: &'static str) -> bool {
    let (sender, receiver) = mpsc::channel();
    let inspect = Box::new(
        move |_now, state: &bulrushslip::gateway::dispatch::DispatchState| {
            sender.send(state.fleet.find(id).is_some()).expect("open");
        },
    );
    driver.send(now, DispatchMail::Inspect(StateQuery { inspect }));
    driver.wake(now);
    let _known = receiver.try_recv().expect("a reply");
    let (sender, receiver) = mpsc::channel();
    let inspect = Box::new(
        move |_now, state: &bulrushslip::gateway::dispatch::DispatchState| {
            sender.send(state.fleet.find(id).is_some()).expect("open");
        },
    );
    driver.send(now, DispatchMail::Inspect(StateQuery { inspect }));
    receiver.try_recv().expect("a reply")
}

/// Creates an instance that has entered era 1 with a listing at 10,000 ms.
fn sender(records: Vec<KeyedRecord>, next: LogPosition) -> DispatchDriver {
    let mut driver = instance();
    let listing = read(records, next, at(10_000));
    driver.send(at(10_000), DispatchMail::Snapshot(listing));
    driver
}

/// Hands on the gossip message of a sender to an instance that is at (0, 100).
fn tell(sender: &mut DispatchDriver, driver: &mut DispatchDriver, now: Moment) {
    let progress = PeerProgress {
        operator: None,
        upstream: Some(in_era(0, 100)),
    };
    let mut message = sender.ask(now, |reply_to| {
        DispatchMail::BuildGossip(progress, reply_to)
    });
    message.sender = 1;
    assert!(message.upstream.from.is_some(), "no records");
    driver.send(now, DispatchMail::GossipResponse(Box::new(message), now));
}

/// Hands on the first pages of a transfer to an instance that is at (0, 100); returns whether it is complete.
fn transfer(
    sender: &mut DispatchDriver,
    driver: &mut DispatchDriver,
    now: Moment,
    pages: usize,
) -> bool {
    let mut transfer = RecordTransfer::new(in_era(0, 100));
    for _ in 0..pages {
        let call = WireRecordsCall::new(9, WireTopic::Upstream, transfer.cursor());
        let reply = sender.ask(now, |reply_to| DispatchMail::ReadRecords(call, reply_to));
        let WireRecordsReply::Page(page) = reply else {
            panic!("no page");
        };
        let from = in_era(0, 100);
        let (records, end) = match transfer.apply(RecordPage::try_from(page).expect("a page")) {
            TransferStep::Continue(records) => (records, None),
            TransferStep::Complete(records, end) => (records, Some(end)),
            TransferStep::Mismatch => panic!("a mismatch"),
        };
        let topic = WireTopic::Upstream;
        let transferred = TransferredRecords {
            topic,
            from,
            records,
            end,
        };
        let reply_to = ReplyTo::new(|_next| {});
        driver.send(now, DispatchMail::TransferredRecords(transferred, reply_to));
        if end.is_some() {
            return true;
        }
    }
    false
}

fn large_entry(id: &str, sequence: u64, position: LogPosition) -> KeyedRecord {
    let mut record = entry(id, sequence, position);
    let mut value = record.value.take().expect("a value").to_vec();
    value.extend(std::iter::repeat_n(b' ', 40_000));
    record.value = Some(value.into());
    record
}

#[test]
fn a_listing_of_a_later_era_keeps_a_lost_upstream_for_the_time_of_return_only() {
    let mut driver = instance();
    let listing = read(
        vec![entry("i-a", 10, in_era(1, 40))],
        in_era(1, 50),
        at(10_000),
    );
    driver.send(at(10_000), DispatchMail::Snapshot(listing));
    // The store goes on answering.
    for ms in [10_600, 11_200, 11_800] {
        let confirmation = read(Vec::new(), in_era(1, 50), at(ms));
        driver.send(at(ms), DispatchMail::Records(confirmation));
    }
    assert!(knows(&mut driver, at(10_000 + RETURN_TIME), "i-b"));
    assert!(!knows(&mut driver, at(13_000), "i-b"));
}

/// Creates an instance at (0, 100) that has got a part of a transfer with `i-c` at (1, 41).
fn instance_in_transfer() -> DispatchDriver {
    let mut driver = instance();
    let records = vec![
        large_entry("i-c", 3, in_era(1, 41)),
        large_entry("i-a", 10, in_era(1, 42)),
        large_entry("i-b", 10, in_era(1, 43)),
    ];
    let mut source = sender(records, in_era(1, 50));
    assert!(!transfer(&mut source, &mut driver, at(10_000), 1));
    driver
}

/// Returns the topic after `i-c` has left at (1, 55).
fn later_records() -> Vec<KeyedRecord> {
    vec![
        entry("i-a", 11, in_era(1, 56)),
        entry("i-b", 11, in_era(1, 57)),
    ]
}

#[test]
fn an_upstream_that_only_a_page_of_a_transfer_brought_is_removed_by_a_listing() {
    let mut driver = instance_in_transfer();
    let listing = read(later_records(), in_era(1, 60), at(10_500));
    driver.send(at(10_500), DispatchMail::Snapshot(listing));
    assert!(!knows(&mut driver, at(14_000), "i-c"));
}

#[test]
fn an_upstream_that_only_a_page_of_a_transfer_brought_is_removed_by_gossip() {
    let mut driver = instance_in_transfer();
    let mut other = sender(later_records(), in_era(1, 60));
    tell(&mut other, &mut driver, at(10_500));
    assert!(!knows(&mut driver, at(14_000), "i-c"));
}

#[test]
fn an_upstream_that_a_copy_lacks_is_removed_after_a_listing_that_cannot_be_completed() {
    let mut driver = instance();
    let partial = read(
        vec![entry("i-a", 11, in_era(1, 40))],
        in_era(1, 20),
        Moment::START,
    );
    driver.send(at(10_000), DispatchMail::PartialSnapshot(partial));
    for (ms, offset) in [(10_100, 50), (11_200, 51), (12_400, 52), (13_600, 53)] {
        let records = vec![entry("i-a", offset, in_era(1, offset))];
        let records = read(records, in_era(1, offset + 1), at(ms));
        driver.send(at(ms), DispatchMail::Records(records));
    }
    assert!(!knows(&mut driver, at(20_000), "i-b"));
}

#[test]
fn an_upstream_that_a_copy_lacks_is_used_for_the_time_of_return_by_instances_that_do_not_read() {
    // The last confirmation is 1 s old.
    let mut driver = instance();
    let mut other = sender(vec![entry("i-a", 10, in_era(1, 40))], in_era(1, 50));
    tell(&mut other, &mut driver, at(10_000));
    assert!(knows(&mut driver, at(10_000), "i-b"));
    assert!(knows(&mut driver, at(11_500), "i-b"), "gone after 1.5 s");
}

#[test]
fn an_upstream_that_a_copy_lacks_is_not_removed_at_once_by_a_page_of_a_transfer() {
    let mut driver = instance();
    let mut source = sender(vec![large_entry("i-a", 10, in_era(1, 40))], in_era(1, 50));
    let records = vec![
        large_entry("i-d", 1, in_era(1, 50)),
        large_entry("i-e", 1, in_era(1, 51)),
    ];
    let records = read(records, in_era(1, 52), at(10_100));
    source.send(at(10_100), DispatchMail::Records(records));
    assert!(!transfer(&mut source, &mut driver, at(10_200), 1));
    assert!(knows(&mut driver, at(10_200), "i-b"));
}

/// Returns whether requests may go to an upstream.
fn is_draining(driver: &mut DispatchDriver, now: Moment, id: &'static str) -> bool {
    let (sender, receiver) = mpsc::channel();
    let inspect = Box::new(
        move |_now, state: &bulrushslip::gateway::dispatch::DispatchState| {
            let member = state.fleet.find(id).and_then(|key| state.fleet.get(key));
            let is_draining =
                member.is_none_or(|member| member.entry.state == MemberState::Draining);
            sender.send(is_draining).expect("open");
        },
    );
    driver.send(now, DispatchMail::Inspect(StateQuery { inspect }));
    receiver.try_recv().expect("a reply")
}

#[test]
fn an_instance_that_starts_with_a_copy_learns_of_the_drain_that_others_know() {
    let mut other = instance();
    let mut drain = entry("i-b", 11, in_era(0, 100));
    let value = String::from_utf8(drain.value.take().expect("a value").to_vec()).expect("text");
    drain.value = Some(value.replace("ready", "draining").into());
    let records = read(vec![drain], in_era(0, 101), at(9_500));
    other.send(at(9_500), DispatchMail::Records(records));
    let copy = || {
        vec![
            entry("i-a", 10, in_era(1, 40)),
            entry("i-b", 10, in_era(1, 41)),
        ]
    };
    other.send(
        at(10_000),
        DispatchMail::Snapshot(read(copy(), in_era(1, 50), at(10_000))),
    );
    assert!(is_draining(&mut other, at(10_000), "i-b"));
    let mut driver = DispatchDriver::new(dispatch_settings(9));
    driver.send(
        at(10_000),
        DispatchMail::Snapshot(read(copy(), in_era(1, 50), at(10_000))),
    );
    for ms in (10_100..12_500).step_by(200) {
        let progress = PeerProgress {
            operator: None,
            upstream: Some(in_era(1, 50)),
        };
        let mut message = other.ask(at(ms), |reply_to| {
            DispatchMail::BuildGossip(progress, reply_to)
        });
        message.sender = 1;
        driver.send(
            at(ms),
            DispatchMail::GossipResponse(Box::new(message), at(ms)),
        );
    }
    assert!(is_draining(&mut driver, at(12_500), "i-b"));
}

#[test]
fn an_upstream_that_a_copy_lacks_is_not_removed_while_the_store_is_away_again() {
    let mut driver = instance();
    let listing = read(
        vec![entry("i-a", 10, in_era(1, 40))],
        in_era(1, 50),
        at(10_000),
    );
    driver.send(at(10_000), DispatchMail::Snapshot(listing));
    let failed = DispatchMail::StoreFailed(WireTopic::Upstream, "away".to_owned());
    driver.send(at(10_500), failed);
    let failed = DispatchMail::StoreFailed(WireTopic::Upstream, "away".to_owned());
    driver.send(at(12_000), failed);
    assert!(knows(&mut driver, at(12_300), "i-b"), "it could not write");
    let listing = read(
        vec![entry("i-a", 10, in_era(2, 40))],
        in_era(2, 45),
        at(12_500),
    );
    driver.send(at(12_500), DispatchMail::Snapshot(listing));
    assert!(knows(&mut driver, at(14_000), "i-b"));
}

/// Upstreams of the simulated store.
const UPSTREAMS: u64 = 100;

/// Returns how many records two readers of a topic forward to an instance that reads nothing, in 60 s of
/// nothing but heartbeats that begin in an era.
fn forwarded_heartbeats(era: u64) -> usize {
    let view = || {
        KeyedView::new(
            |_value| 0,
            |value| {
                let sequence = u64::from_le_bytes(value.try_into().ok()?);
                Some(WriterStamp {
                    started_unix_ms: 1,
                    sequence,
                })
            },
        )
    };
    let beat = |index: u64, tick: u64, offset: u64| KeyedRecord {
        key: format!("i-{index}"),
        value: Some(tick.to_le_bytes().to_vec().into()),
        position: in_era(era, offset),
    };
    let mut log: Vec<KeyedRecord> = (0..UPSTREAMS).map(|index| beat(index, 0, index)).collect();
    let mut views = [view(), view(), view()];
    for view in &mut views {
        view.begin_at(in_era(era, UPSTREAMS));
        for record in &log {
            view.apply_newest(record);
        }
        view.advance(in_era(era, UPSTREAMS));
    }
    let mut forwarded = 0;
    // Ticks of 100 ms; a heartbeat every 1.3 s, a read every 400 ms, an exchange every 200 ms.
    for tick in 1..=1_200_u64 {
        for index in (0..UPSTREAMS).filter(|index| (tick + index) % 13 == 0) {
            let offset = log.len() as u64;
            log.push(beat(index, tick, offset));
        }
        for (reader, view) in views.iter_mut().take(2).enumerate() {
            if tick % 4 == 2 * reader as u64 {
                let from = usize::try_from(view.next.offset.0).expect("a short log");
                for record in &log[from..] {
                    view.apply(record);
                }
                view.advance(in_era(era, log.len() as u64));
            }
        }
        for (source, reader) in [(0, 1), (1, 0), (0, 2), (1, 2)] {
            if tick % 2 == 1 && views[source].next > views[reader].next {
                let records = views[source].since(views[reader].next);
                let next = views[source].next;
                for record in &records {
                    views[reader].apply_newest(record);
                }
                views[reader].advance(next);
                if reader == 2 && tick > 600 {
                    forwarded += records.len();
                }
            }
        }
    }
    forwarded
}

#[test]
fn heartbeats_are_not_forwarded_for_good_after_a_drill() {
    assert_eq!(forwarded_heartbeats(0), 0);
    assert_eq!(forwarded_heartbeats(1), 0);
}
