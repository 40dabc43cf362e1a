//! Gossip between gateway instances, tested on the real service `dispatch` without sockets.

mod dispatch_harness;

use std::sync::mpsc;
use std::time::Duration;

use bulrushslip::decide::hashing::name_hash;
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::gateway::mail::{DispatchMail, PeerProgress, ReadNeed, StateQuery, TopicRecords};
use bulrushslip::kernel::{Moment, ReplyTo};
use bulrushslip::wire::peer_rpc::{GossipMessage, WireSuspicion, WireTopic};
use dispatch_harness::{DispatchDriver, dispatch_settings};

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// Service `dispatch` of one instance that knows one upstream and version 1 of its model.
struct Instance {
    driver: DispatchDriver,
}

impl Instance {
    fn new(id: u64) -> Self {
        let driver = DispatchDriver::new(dispatch_settings(id));
        let mut instance = Self { driver };
        let entry = r#"{"service":"llm","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,
            "state":"ready","born":1,"models":[{"name":"m","version":1}]}"#;
        let record = |key: &str, value: &str| KeyedRecord {
            key: key.to_owned(),
            value: Some(value.to_owned().into()),
            position: LogOffset(0).into(),
        };
        for (topic, record) in [
            (WireTopic::Upstream, record("i-1", entry)),
            (
                WireTopic::Operator,
                record("version/m", r#"{"model":"m","version":1}"#),
            ),
        ] {
            let records = TopicRecords {
                topic,
                records: vec![record],
                next: LogOffset(1).into(),
                confirmed_at: at(0),
            };
            instance.send(at(0), DispatchMail::Snapshot(records));
        }
        instance
    }

    fn send(&mut self, now: Moment, mail: DispatchMail) {
        self.driver.send(now, mail);
    }

    fn ask<T: Send + 'static>(
        &mut self,
        now: Moment,
        question: impl FnOnce(ReplyTo<T>) -> DispatchMail,
    ) -> T {
        self.driver.ask(now, question)
    }

    /// Lets the instance read that the operators have written nothing.
    fn confirm_operator(&mut self, now: Moment, next: u64) {
        let records = TopicRecords {
            topic: WireTopic::Operator,
            records: Vec::new(),
            next: LogOffset(next).into(),
            confirmed_at: now,
        };
        self.send(now, DispatchMail::Records(records));
    }

    /// Returns the gossip message to an instance that needs no records.
    fn gossip(&mut self, now: Moment) -> GossipMessage {
        let progress = PeerProgress {
            operator: None,
            upstream: None,
        };
        self.ask(now, |reply_to| {
            DispatchMail::BuildGossip(progress, reply_to)
        })
    }

    /// Returns whether the only upstream is available for placement, and the oldest allowed
    /// version of its weights.
    fn upstream_view(&mut self, now: Moment) -> (bool, u64) {
        self.ask(now, |reply_to| {
            DispatchMail::Inspect(StateQuery {
                inspect: Box::new(move |now, state| {
                    let (_, member) = state.fleet.iter().next().expect("an upstream");
                    let allowed = state.oldest_allowed(now, name_hash("m"));
                    reply_to.send((member.is_open(now), allowed));
                }),
            })
        })
    }

    /// Excludes the only upstream from placement until the given time.
    fn hold(&mut self, now: Moment, until: Moment) {
        let (sender, receiver) = mpsc::channel();
        let inspect = Box::new(
            move |_now: Moment, state: &bulrushslip::gateway::dispatch::DispatchState| {
                let (key, _) = state.fleet.iter().next().expect("an upstream");
                sender.send(key).expect("an open receiver");
            },
        );
        self.send(now, DispatchMail::Inspect(StateQuery { inspect }));
        let key = receiver.try_recv().expect("a key");
        self.send(now, DispatchMail::Hold(key, until));
    }
}

/// Guards against holds that outlive their order: instances used to forward holds that they had
/// only received from others, so two instances kept extending a hold that had ended.
#[test]
fn holds_end_on_all_instances_soon_after_the_order() {
    let mut holder = Instance::new(1);
    let mut others = [Instance::new(2), Instance::new(3)];
    holder.hold(at(0), at(4_000));
    for ms in (0..1_000).step_by(250) {
        let gossip = holder.gossip(at(ms));
        for other in &mut others {
            other.send(at(ms), DispatchMail::Gossip(Box::new(gossip.clone())));
            assert!(!other.upstream_view(at(ms)).0);
        }
    }
    holder.hold(at(1_000), at(1_000));
    for ms in (1_000..3_000).step_by(250) {
        let [one, two] = &mut others;
        let (from_one, from_two) = (one.gossip(at(ms)), two.gossip(at(ms)));
        one.send(at(ms), DispatchMail::Gossip(Box::new(from_two)));
        two.send(at(ms), DispatchMail::Gossip(Box::new(from_one)));
    }
    for other in &mut others {
        assert!(
            other.upstream_view(at(3_000)).0,
            "still held 2 s after the order"
        );
    }
}

/// Guards against holds that lapse while the order is carried out: with 68 instances, one in another
/// data centre hears from the holder every 3.5 s, and sent requests to loading engines, which rejected
/// them, from 1.2 s after the hold was announced.
#[test]
fn a_hold_that_was_announced_once_lasts_as_long_as_most_orders() {
    let mut holder = Instance::new(1);
    let mut remote = Instance::new(2);
    holder.hold(at(0), at(4_000));
    let gossip = holder.gossip(at(0));
    remote.send(at(0), DispatchMail::Gossip(Box::new(gossip)));
    // Three quarters of the orders on the large deployment end within 1.9 s.
    assert!(!remote.upstream_view(at(1_900)).0, "no longer held");
}

/// Guards against holds that outlive the load because an instance learned of the new weights from
/// the upstream's entry before any other instance reported them.
#[test]
fn a_hold_of_another_instance_ends_when_the_entry_states_the_new_weights() {
    let mut holder = Instance::new(1);
    let mut remote = Instance::new(2);
    holder.hold(at(0), at(4_000));
    let gossip = holder.gossip(at(0));
    remote.send(at(0), DispatchMail::Gossip(Box::new(gossip)));
    assert!(!remote.upstream_view(at(1_000)).0);
    let entry = r#"{"service":"llm","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,
        "state":"ready","born":1,"models":[{"name":"m","version":2}]}"#;
    let records = TopicRecords {
        topic: WireTopic::Upstream,
        records: vec![KeyedRecord {
            key: "i-1".to_owned(),
            value: Some(entry.to_owned().into()),
            position: LogOffset(1).into(),
        }],
        next: LogOffset(2).into(),
        confirmed_at: at(1_000),
    };
    remote.send(at(1_000), DispatchMail::Records(records));
    assert!(remote.upstream_view(at(1_000)).0, "still held");
}

/// Guards against a late limit on older weights: an instance that learned of a target version
/// late, as after a restart, used to count the limit from that moment instead of from the first
/// report.
#[test]
fn late_instance_takes_over_the_limit_on_older_weights() {
    let mut early = Instance::new(1);
    let version = KeyedRecord {
        key: "version/m".to_owned(),
        value: Some(r#"{"model":"m","version":2}"#.to_owned().into()),
        position: LogOffset(1).into(),
    };
    let with_version = |record: &KeyedRecord, confirmed_at| TopicRecords {
        topic: WireTopic::Operator,
        records: vec![record.clone()],
        next: LogOffset(2).into(),
        confirmed_at,
    };
    early.send(at(0), DispatchMail::Records(with_version(&version, at(0))));
    let mut late = Instance::new(2);
    // As far as it knows, the version is new.
    late.confirm_operator(at(4_900), 1);
    let records = with_version(&version, at(5_000));
    late.send(at(5_000), DispatchMail::Records(records));
    assert_eq!(late.upstream_view(at(8_000)).1, 1);
    let gossip = early.gossip(at(5_000));
    late.send(at(5_000), DispatchMail::Gossip(Box::new(gossip)));
    assert_eq!(late.upstream_view(at(8_000)).1, 2);
}

/// Guards against a limit that counts from when an instance learns of a version: the readers of the store
/// were lost just before it was named, and all others read it seconds late.
#[test]
fn the_limit_on_older_weights_counts_from_the_last_confirmation_before_the_version() {
    let version = || TopicRecords {
        topic: WireTopic::Operator,
        records: vec![KeyedRecord {
            key: "version/m".to_owned(),
            value: Some(r#"{"model":"m","version":2}"#.to_owned().into()),
            position: LogOffset(1).into(),
        }],
        next: LogOffset(2).into(),
        confirmed_at: at(2_000),
    };
    let mut late = Instance::new(1);
    late.confirm_operator(at(1_000), 1);
    late.send(at(2_000), DispatchMail::Records(version()));
    // No request is sent to older weights in the last 1.5 s.
    assert_eq!(late.upstream_view(at(7_499)).1, 1);
    assert_eq!(late.upstream_view(at(7_500)).1, 2);
    assert!(late.gossip(at(2_000)).limits.is_empty(), "not exact");
    // A reader of the store knows it more exactly, and what it tells others does not move.
    let mut reader = Instance::new(2);
    reader.confirm_operator(at(1_800), 1);
    reader.send(at(2_000), DispatchMail::Records(version()));
    let mut other = Instance::new(3);
    for ms in (2_000..6_000).step_by(100) {
        for (from, to) in [(0, 1), (1, 0)] {
            let pair = [&mut reader, &mut other];
            let gossip = pair[from].gossip(at(ms));
            pair[to].send(at(ms), DispatchMail::Gossip(Box::new(gossip)));
        }
    }
    for instance in [&mut reader, &mut other] {
        assert_eq!(instance.upstream_view(at(8_299)).1, 1);
        assert_eq!(instance.upstream_view(at(8_350)).1, 2);
    }
}

/// Guards against a lost deadline: an instance that reads only the latest of two target versions used
/// to drop what others reported of the one before, and allowed the oldest weights for too long.
#[test]
fn deadline_of_a_version_that_an_instance_never_read_applies_there_too() {
    let version = |version: u64| TopicRecords {
        topic: WireTopic::Operator,
        records: vec![KeyedRecord {
            key: "version/m".to_owned(),
            value: Some(format!(r#"{{"model":"m","version":{version}}}"#).into()),
            position: LogOffset(version - 1).into(),
        }],
        next: LogOffset(version).into(),
        confirmed_at: Moment::START,
    };
    let mut early = Instance::new(1);
    early.send(at(0), DispatchMail::Records(version(2)));
    let mut late = Instance::new(2);
    let gossip = early.gossip(at(5_000));
    late.send(at(5_000), DispatchMail::Gossip(Box::new(gossip)));
    late.confirm_operator(at(5_400), 1);
    late.send(at(5_500), DispatchMail::Records(version(3)));
    assert_eq!(late.upstream_view(at(6_000)).1, 1);
    assert_eq!(late.upstream_view(at(8_000)).1, 2);
    assert_eq!(late.upstream_view(at(13_500)).1, 3);
}

/// Guards against a deadline that an instance only assumes because it has just started: others used
/// to take it over and stopped using older weights seconds too early.
#[test]
fn deadline_that_a_starting_instance_assumes_does_not_bind_others() {
    let mut starting = Instance::new(1);
    let gossip = starting.gossip(at(0));
    let mut running = Instance::new(2);
    assert_eq!(starting.upstream_view(at(3_000)).1, 1);
    let version = TopicRecords {
        topic: WireTopic::Operator,
        records: vec![KeyedRecord {
            key: "version/m".to_owned(),
            value: Some(r#"{"model":"m","version":2}"#.to_owned().into()),
            position: LogOffset(1).into(),
        }],
        next: LogOffset(2).into(),
        confirmed_at: at(0),
    };
    running.send(at(0), DispatchMail::Records(version));
    running.send(at(0), DispatchMail::Gossip(Box::new(gossip)));
    assert!(starting.gossip(at(0)).limits.is_empty());
    assert_eq!(running.gossip(at(0)).limits.len(), 1);
}

/// Guards against every instance reading the store itself, which was the largest load of a large
/// fleet without traffic.
#[test]
fn only_two_instances_read_the_store_while_their_gossip_is_recent() {
    let mut instances: Vec<Instance> = (1..=4).map(Instance::new).collect();
    let topic = WireTopic::Upstream;
    for ms in (0..2_000).step_by(250) {
        for sender in 0..instances.len() {
            // Only the first two instances read from the store.
            if sender < 2 {
                let records = TopicRecords {
                    topic,
                    records: Vec::new(),
                    next: LogOffset(1).into(),
                    confirmed_at: at(ms),
                };
                instances[sender].send(at(ms), DispatchMail::Records(records));
            }
            let gossip = instances[sender].gossip(at(ms));
            for (receiver, instance) in instances.iter_mut().enumerate() {
                if receiver != sender {
                    let response = Box::new(gossip.clone());
                    instance.send(at(ms), DispatchMail::GossipResponse(response, at(ms)));
                }
            }
        }
    }
    let read_need = |instance: &mut Instance, ms| {
        instance.ask(at(ms), |reply_to| DispatchMail::ReadNeed(topic, reply_to))
    };
    for (index, instance) in instances.iter_mut().enumerate() {
        let is_reader = matches!(read_need(instance, 2_000), ReadNeed::Now(_));
        assert_eq!(is_reader, index < 2, "instance {index}");
        // Without gossip each instance reads for itself before a draining upstream stops
        // accepting requests.
        assert!(matches!(
            read_need(instance, 3_200),
            ReadNeed::Now(LogPosition {
                era: StoreEra(0),
                offset: LogOffset(1)
            })
        ));
    }
}

/// Guards against a process that still counts as ready, or as a peer, while it shuts down.
#[test]
fn instance_that_shuts_down_is_not_ready_and_not_a_peer() {
    let mut leaving = Instance::new(1);
    let mut other = Instance::new(2);
    let gossip = leaving.gossip(at(0));
    other.send(at(0), DispatchMail::Gossip(Box::new(gossip)));
    let has_one_peer = |instance: &mut Instance| {
        let text = instance.ask(at(0), DispatchMail::Metrics);
        text.contains("bulrushslip_peers 1")
    };
    assert!(has_one_peer(&mut other));
    leaving.send(at(0), DispatchMail::Leaving);
    assert!(!leaving.ask(at(0), DispatchMail::IsReady));
    let gossip = leaving.gossip(at(0));
    other.send(at(0), DispatchMail::Gossip(Box::new(gossip)));
    assert!(!has_one_peer(&mut other));
}

/// Guards against news of crashes that instances pass to each other without end.
#[test]
fn news_of_a_crash_is_passed_on_once() {
    let mut instances = [Instance::new(1), Instance::new(2), Instance::new(3)];
    // One request that was running in more crashes than it takes to refuse it.
    let crashes = (0..4).map(|upstream| WireSuspicion {
        fingerprint: 7,
        upstream,
        born: 1,
    });
    let mut news = instances[0].gossip(at(0));
    news.sender = 9;
    news.suspicions = crashes.collect();
    instances[0].send(at(1), DispatchMail::Gossip(Box::new(news)));
    for round in 1..20_u64 {
        let now = at(round * 250);
        for (from, to) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            let message = instances[from].gossip(now);
            assert!(message.suspicions.len() <= 4, "round {round}");
            instances[to].send(now, DispatchMail::Gossip(Box::new(message)));
        }
    }
    for instance in &mut instances {
        assert_eq!(instance.gossip(at(5_000)).suspicions, []);
    }
}
