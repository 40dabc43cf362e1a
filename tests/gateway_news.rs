//! News between gateways, with their real service `dispatch` and without sockets.

use std::net::SocketAddr;
use std::sync::mpsc;
use std::time::Duration;

use bulrushslip::decide::ids::{Incarnation, LogOffset};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::route_table::DataCentreId;
use bulrushslip::gateway::dispatch::{DispatchSettings, dispatch_service};
use bulrushslip::gateway::identity::InstanceIdentity;
use bulrushslip::gateway::mail::{
    DispatchMail, GatewayMail, PeerProgress, ReadNeed, RolloutAsk, TopicRecords,
};
use bulrushslip::kernel::{Moment, NameTable, ReplyTo, Service, Signal, Turn};
use bulrushslip::log_queue::DroppedLines;
use bulrushslip::wire::peer_rpc::{PeerNews, WireTopic};

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

/// One gateway's service, driven by hand.
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
            },
            incarnation: Incarnation(id),
            retry_ratio: 0.2,
            extra_retries: 56.0,
            dropped_lines: DroppedLines::default(),
        });
        let mut instance = Self { service, names };
        let entry = r#"{"service":"llm","address":"127.0.0.1:2","zone":"near","slots":8,
            "state":"ready","born":1,"models":[{"name":"m","version":1}]}"#;
        let record = |key: &str, value: &str| KeyedRecord {
            key: key.to_owned(),
            value: Some(value.to_owned().into()),
            offset: LogOffset(0),
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
                next: LogOffset(1),
            };
            instance.tell(at(0), DispatchMail::Newest(records));
        }
        instance
    }

    fn tell(&mut self, now: Moment, mail: DispatchMail) {
        let mut turn = Turn {
            now,
            own: self.names.find("dispatch").expect("registered"),
            names: &self.names,
            outbox: Vec::new(),
        };
        let signal = Signal::Mail(GatewayMail::Dispatch(Box::new(mail)));
        let _step = (self.service.handle)(&mut turn, signal);
    }

    fn ask<T: Send + 'static>(
        &mut self,
        now: Moment,
        question: impl FnOnce(ReplyTo<T>) -> DispatchMail,
    ) -> T {
        let (sender, receiver) = mpsc::channel();
        let reply_to = ReplyTo::new(move |reply| sender.send(reply).expect("an asker"));
        self.tell(now, question(reply_to));
        receiver.try_recv().expect("a reply")
    }

    fn news(&mut self, now: Moment) -> PeerNews {
        let progress = PeerProgress {
            operator: None,
            upstream: None,
        };
        self.ask(now, |reply_to| DispatchMail::NewsFor(progress, reply_to))
    }

    /// Tells whether the only upstream may be sent work, and the oldest weights that may be used.
    fn look(&mut self, now: Moment) -> (bool, u64) {
        self.ask(now, |reply_to| {
            DispatchMail::Rollout(RolloutAsk {
                look: Box::new(move |now, state| {
                    let (_, member) = state.fleet.iter().next().expect("an upstream");
                    let named = state.versions.values().next().expect("a version");
                    reply_to.send((member.is_open(now), named.oldest_allowed(now)));
                }),
            })
        })
    }

    fn hold(&mut self, now: Moment, until: Moment) {
        let (sender, receiver) = mpsc::channel();
        let look = Box::new(
            move |_now: Moment, state: &bulrushslip::gateway::dispatch::DispatchState| {
                let (key, _) = state.fleet.iter().next().expect("an upstream");
                sender.send(key).expect("an asker");
            },
        );
        self.tell(now, DispatchMail::Rollout(RolloutAsk { look }));
        let key = receiver.try_recv().expect("a key");
        self.tell(now, DispatchMail::Hold(key, until));
    }
}

/// Holds once were passed on by whoever heard of them and outlived their order by seconds.
#[test]
fn a_hold_ends_everywhere_soon_after_its_order() {
    let mut giver = Instance::new(1);
    let mut others = [Instance::new(2), Instance::new(3)];
    giver.hold(at(0), at(4_000));
    for ms in (0..1_000).step_by(250) {
        let news = giver.news(at(ms));
        for other in &mut others {
            other.tell(at(ms), DispatchMail::News(Box::new(news.clone())));
            assert!(!other.look(at(ms)).0);
        }
    }
    giver.hold(at(1_000), at(1_000));
    for ms in (1_000..3_000).step_by(250) {
        let [one, two] = &mut others;
        let (from_one, from_two) = (one.news(at(ms)), two.news(at(ms)));
        one.tell(at(ms), DispatchMail::News(Box::new(from_two)));
        two.tell(at(ms), DispatchMail::News(Box::new(from_one)));
    }
    for other in &mut others {
        assert!(other.look(at(3_000)).0, "still held 2 s after the order");
    }
}

/// A restarted instance once counted the age of named weights from its own start.
#[test]
fn the_limit_on_older_weights_reaches_an_instance_that_learns_of_them_late() {
    let mut early = Instance::new(1);
    let version = KeyedRecord {
        key: "version/m".to_owned(),
        value: Some(r#"{"model":"m","version":2}"#.to_owned().into()),
        offset: LogOffset(1),
    };
    let named = |record: &KeyedRecord| TopicRecords {
        topic: WireTopic::Operator,
        records: vec![record.clone()],
        next: LogOffset(2),
    };
    early.tell(at(0), DispatchMail::Records(named(&version)));
    let mut late = Instance::new(2);
    late.tell(at(5_000), DispatchMail::Records(named(&version)));
    assert_eq!(late.look(at(8_000)).1, 1);
    let news = early.news(at(5_000));
    late.tell(at(5_000), DispatchMail::News(Box::new(news)));
    assert_eq!(late.look(at(8_000)).1, 2);
}

/// Each instance once read the store for itself, which cost most on a quiet day of a large fleet.
#[test]
fn two_instances_read_for_all_and_the_rest_once_what_they_hear_is_old() {
    let mut instances: Vec<Instance> = (1..=4).map(Instance::new).collect();
    let topic = WireTopic::Upstream;
    for ms in (0..2_000).step_by(250) {
        for sender in 0..instances.len() {
            // Only the first two hear from the store.
            if sender < 2 {
                let records = TopicRecords {
                    topic,
                    records: Vec::new(),
                    next: LogOffset(1),
                };
                instances[sender].tell(at(ms), DispatchMail::Records(records));
            }
            let news = instances[sender].news(at(ms));
            for (receiver, instance) in instances.iter_mut().enumerate() {
                if receiver != sender {
                    instance.tell(at(ms), DispatchMail::News(Box::new(news.clone())));
                }
            }
        }
    }
    let need = |instance: &mut Instance, ms| {
        instance.ask(at(ms), |reply_to| DispatchMail::ReadNeed(topic, reply_to))
    };
    for (index, instance) in instances.iter_mut().enumerate() {
        let is_reader = matches!(need(instance, 2_000), ReadNeed::Now(_));
        assert_eq!(is_reader, index < 2, "instance {index}");
        // Without news, each reads for itself before a draining upstream's time is up.
        assert!(matches!(need(instance, 3_200), ReadNeed::Now(LogOffset(1))));
    }
}

#[test]
fn an_instance_that_leaves_is_not_ready_and_no_longer_counted() {
    let mut leaving = Instance::new(1);
    let mut other = Instance::new(2);
    let news = leaving.news(at(0));
    other.tell(at(0), DispatchMail::News(Box::new(news)));
    let peers = |instance: &mut Instance| {
        let text = instance.ask(at(0), DispatchMail::Metrics);
        text.contains("bulrushslip_peers 1")
    };
    assert!(peers(&mut other));
    leaving.tell(at(0), DispatchMail::Leaving);
    assert!(!leaving.ask(at(0), DispatchMail::IsReady));
    let news = leaving.news(at(0));
    other.tell(at(0), DispatchMail::News(Box::new(news)));
    assert!(!peers(&mut other));
}
