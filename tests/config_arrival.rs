//! Model test of configuration replicas: for any order of pages, duplicates, gaps and snapshots,
//! the replica equals a naive replay of the stream.

mod property;

use std::collections::BTreeMap;

use bolero::TypeGenerator;
use bulrushslip::decide::config::{Configuration, UpstreamKind};
use bulrushslip::decide::config_change::{ConfigChange, PlanId, PlanRecord};
use bulrushslip::decide::config_replica::{
    ConfigReplica, NumberedRecord, StreamPage, StreamRecord,
};
use bulrushslip::decide::ids::{LogOffset, StoreEra};
use bulrushslip::decide::snapshot::{Snapshot, SnapshotPart};
use bulrushslip::wire::config_record::WireChange;
use bulrushslip::wire::config_snapshot::{decode_stream_record, encode_part, encode_record};

/// Number of generated histories.
const CASES: u64 = 300;

/// Step of a generated history: a record on the log, or data that arrives at the replica.
#[derive(Debug, Clone, TypeGenerator)]
enum Step {
    Plan {
        age: u8,
        forced: bool,
        changes: Vec<Change>,
    },
    Malformed,
    Snapshot {
        truncated: bool,
    },
    Expire {
        records: u8,
    },
    Page {
        from: u8,
        count: u8,
    },
    PeerSnapshot {
        at: u8,
    },
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Change {
    Customer(u8),
    RemoveCustomer(u8),
    Model {
        name: u8,
        version: u8,
    },
    Upstream {
        name: u8,
        model: u8,
        version: u8,
        retired: bool,
    },
    Retire(u8),
    RemoveUpstream(u8),
    Move {
        customer: u8,
        model: u8,
        version: u8,
    },
}

impl Change {
    fn convert(self) -> ConfigChange {
        let (a, b, c) = (|n: u8| n % 3, |n: u8| n % 2, |n: u8| n % 2);
        let json = match self {
            Self::Customer(n) => format!(
                r#"{{"put_customer":{{"name":"c{}","ranks":["urgent"],"max_in_flight":1}}}}"#,
                a(n)
            ),
            Self::RemoveCustomer(n) => format!(r#"{{"remove_customer":{{"name":"c{}"}}}}"#, a(n)),
            Self::Model { name, version } => format!(
                r#"{{"put_model":{{"name":"m{}","version":"v{}"}}}}"#,
                b(name),
                c(version)
            ),
            Self::Upstream {
                name,
                model,
                version,
                retired,
            } => format!(
                r#"{{"put_upstream":{{"name":"u{0}","data_centre":"d","sidecar":"127.0.0.1:{0}",
                "slots":1,"retired":{retired},
                "kind":{{"engine":{{"model":"m{1}","version":"v{2}"}}}}}}}}"#,
                a(name),
                b(model),
                c(version)
            ),
            Self::Retire(n) => format!(r#"{{"retire_upstream":{{"name":"u{}"}}}}"#, a(n)),
            Self::RemoveUpstream(n) => format!(r#"{{"remove_upstream":{{"name":"u{}"}}}}"#, a(n)),
            Self::Move {
                customer,
                model,
                version,
            } => format!(
                r#"{{"move_customer":{{"customer":"c{}","model":"m{}","version":"v{}"}}}}"#,
                a(customer),
                b(model),
                c(version)
            ),
        };
        let wire: WireChange = serde_json::from_str(&json).expect("a change");
        wire.try_into().expect("a valid change")
    }
}

/// Model, version and whether the upstream is retired.
type NaiveUpstream = (String, String, bool);

/// Direct implementation of the replay rules on maps.
#[derive(Debug, Default, Clone, PartialEq)]
struct Naive {
    customers: BTreeMap<String, BTreeMap<String, String>>,
    models: BTreeMap<String, String>,
    upstreams: BTreeMap<String, NaiveUpstream>,
}

impl Naive {
    fn serves(&self, customer: &str, model: &str) -> bool {
        let (Some(versions), Some(default)) =
            (self.customers.get(customer), self.models.get(model))
        else {
            return false;
        };
        let version = versions.get(model).unwrap_or(default);
        self.upstreams
            .values()
            .any(|(m, v, retired)| m == model && v == version && !retired)
    }

    fn change(&mut self, change: &ConfigChange) -> bool {
        match change.clone() {
            ConfigChange::PutCustomer(c) => drop(self.customers.insert(c.name, c.versions)),
            ConfigChange::RemoveCustomer { name } => return self.customers.remove(&name).is_some(),
            ConfigChange::PutModel(m) => drop(self.models.insert(m.name, m.version)),
            ConfigChange::PutUpstream(u) => {
                let UpstreamKind::Engine { model, version, .. } = u.kind else {
                    return false;
                };
                if !self.models.contains_key(&model) {
                    return false;
                }
                self.upstreams.insert(u.name, (model, version, u.retired));
            }
            ConfigChange::RetireUpstream { name } => match self.upstreams.get_mut(&name) {
                Some(upstream) => upstream.2 = true,
                None => return false,
            },
            ConfigChange::RemoveUpstream { name } => {
                if !self.upstreams.get(&name).is_some_and(|upstream| upstream.2) {
                    return false;
                }
                self.upstreams.remove(&name);
            }
            ConfigChange::MoveCustomer {
                customer,
                model,
                version,
            } => {
                let declared = self.models.contains_key(&model);
                match self.customers.get_mut(&customer) {
                    Some(versions) if declared => drop(versions.insert(model, version)),
                    _ => return false,
                }
            }
            ConfigChange::PutService(_) | ConfigChange::PutRank(_) => {}
        }
        true
    }

    fn apply(
        &mut self,
        offset: usize,
        record: &PlanRecord,
        last_changes: &mut Vec<(usize, String)>,
    ) {
        let objects: Vec<String> = record
            .changes
            .iter()
            .map(|change| change.object().to_string())
            .collect();
        let conflict = last_changes
            .iter()
            .any(|(at, object)| *at as u64 >= record.planned_at.0 && objects.contains(object));
        let mut after = self.clone();
        if conflict || !record.changes.iter().all(|change| after.change(change)) {
            return;
        }
        let unserved = self.customers.keys().any(|customer| {
            let kept = after.customers.contains_key(customer);
            let mut models = self.models.keys();
            kept && models.any(|m| self.serves(customer, m) && !after.serves(customer, m))
        });
        if !unserved || record.forced {
            *self = after;
            last_changes.extend(objects.into_iter().map(|object| (offset, object)));
        }
    }

    fn of_log(log: &[String]) -> Self {
        let (mut naive, mut last_changes) = (Self::default(), Vec::new());
        for (offset, body) in log.iter().enumerate() {
            if let StreamRecord::Plan(record) = decode_stream_record(body) {
                naive.apply(offset, &record, &mut last_changes);
            }
        }
        naive
    }

    fn of_configuration(configuration: &Configuration) -> Self {
        let mut naive = Self::default();
        for (_, customer) in configuration.customers.iter() {
            naive
                .customers
                .insert(customer.name.clone(), customer.versions.clone());
        }
        for (_, model) in configuration.models.iter() {
            naive
                .models
                .insert(model.name.clone(), model.version.clone());
        }
        for (_, upstream) in configuration.upstreams.iter() {
            if let UpstreamKind::Engine { model, version, .. } = upstream.kind.clone() {
                naive
                    .upstreams
                    .insert(upstream.name.clone(), (model, version, upstream.retired));
            }
        }
        naive
    }
}

fn replayed(log: &[String]) -> Configuration {
    let mut replica = ConfigReplica::default();
    replica.apply_page(page(log, 0, 0, log.len()));
    Configuration::clone(&replica.current)
}

fn page(log: &[String], first: usize, from: usize, count: usize) -> StreamPage {
    let from = from.max(first);
    let bodies = log.iter().enumerate().skip(from).take(count);
    StreamPage {
        era: StoreEra(0),
        first: LogOffset(first as u64),
        next: LogOffset(log.len() as u64),
        records: bodies
            .map(|(offset, body)| NumberedRecord {
                offset: LogOffset(offset as u64),
                record: decode_stream_record(body),
            })
            .collect(),
    }
}

fn position(offset: LogOffset) -> usize {
    usize::try_from(offset.0).expect("a short log")
}

/// Splits a snapshot into parts of two objects, so that small histories have several parts.
fn small_parts(snapshot: &Snapshot) -> Vec<SnapshotPart> {
    let count = snapshot.objects.len().div_ceil(2).max(1);
    let mut chunks = snapshot.objects.chunks(2);
    (0..count)
        .map(|index| SnapshotPart {
            next_offset: snapshot.next_offset,
            index: u32::try_from(index).expect("few parts"),
            count: u32::try_from(count).expect("few parts"),
            objects: chunks.next().unwrap_or_default().to_vec(),
        })
        .collect()
}

/// Reads the log to its end; returns whether the replica has caught up, which fails if records are
/// missing and the log holds no complete snapshot.
fn catch_up(replica: &mut ConfigReplica, log: &[String], first: usize) -> bool {
    let mut from = position(replica.current.next_offset);
    let mut rounds = 0;
    while from < log.len() {
        rounds += 1;
        assert!(
            rounds <= 2 * log.len(),
            "the reader does not reach the end of the log"
        );
        let outcome = replica.apply_page(page(log, first, from, 3));
        from = position(outcome.read_from);
    }
    replica.current.next_offset.0 == log.len() as u64
}

/// Returns a plan that declares the objects to which generated plans refer.
fn base_plan() -> String {
    let upstream = |name| Change::Upstream {
        name,
        model: 0,
        version: name,
        retired: false,
    };
    let changes = [
        Change::Model {
            name: 0,
            version: 0,
        },
        Change::Model {
            name: 1,
            version: 0,
        },
        Change::Customer(0),
        Change::Customer(1),
        upstream(0),
        upstream(1),
    ];
    encode_record(&PlanRecord {
        plan_id: PlanId(0),
        planned_at: LogOffset(0),
        forced: false,
        changes: changes.iter().map(|change| change.convert()).collect(),
    })
}

fn check_history(steps: &[Step]) {
    let (mut log, mut first) = (vec![base_plan()], 0);
    let mut replica = ConfigReplica::default();
    for step in steps {
        let before = replica.current.next_offset;
        match step {
            Step::Plan {
                age,
                forced,
                changes,
            } => {
                let planned_at = log
                    .len()
                    .saturating_sub(usize::from((age % 8).saturating_sub(4)))
                    as u64;
                let changes: Vec<_> = changes.iter().take(3).map(|c| c.convert()).collect();
                log.push(encode_record(&PlanRecord {
                    plan_id: PlanId(log.len() as u64),
                    planned_at: LogOffset(planned_at),
                    forced: *forced,
                    changes,
                }));
            }
            Step::Malformed => log.push("{".to_owned()),
            Step::Snapshot { truncated } => {
                let parts = small_parts(&Snapshot::of(&replayed(&log)));
                let kept = parts.len() - usize::from(*truncated);
                log.extend(parts.iter().take(kept).map(encode_part));
            }
            Step::Expire { records } => first = (first + usize::from(*records)).min(log.len()),
            Step::Page { from, count } => {
                let from = usize::from(*from) % (log.len() + 1);
                replica.apply_page(page(&log, first, from, usize::from(*count % 8)));
            }
            Step::PeerSnapshot { at } => {
                let at = usize::from(*at) % (log.len() + 1);
                let snapshot = Snapshot::of(&replayed(&log[..at]));
                replica.apply_snapshot(StoreEra(0), &snapshot);
            }
        }
        assert!(
            replica.current.next_offset >= before,
            "the offset decreased"
        );
        let seen = &log[..position(replica.current.next_offset)];
        assert_eq!(
            Snapshot::of(&replica.current),
            Snapshot::of(&replayed(seen))
        );
        assert_eq!(
            Naive::of_configuration(&replica.current),
            Naive::of_log(seen)
        );
    }
    if catch_up(&mut replica, &log, first) {
        assert_eq!(
            Snapshot::of(&replica.current),
            Snapshot::of(&replayed(&log))
        );
    } else {
        assert!(
            replica.current.next_offset.0 < first as u64,
            "the replica stopped although no record is missing"
        );
    }
}

#[test]
fn any_arrival_order_gives_the_state_of_a_naive_replay() {
    property::check::<Vec<Step>>(CASES, |steps| check_history(steps));
}

#[test]
fn a_reader_past_retention_starts_from_the_newest_complete_snapshot() {
    let change = |change: Change| Step::Plan {
        age: 0,
        forced: false,
        changes: vec![change],
    };
    let mut steps: Vec<Step> = (0..6)
        .map(|n| {
            change(Change::Model {
                name: n,
                version: n,
            })
        })
        .collect();
    steps.extend((0..3).map(|n| change(Change::Customer(n))));
    let (mut log, mut replica) = (Vec::new(), ConfigReplica::default());
    for step in &steps {
        let Step::Plan { changes, .. } = step else {
            continue;
        };
        log.push(encode_record(&PlanRecord {
            plan_id: PlanId(1),
            planned_at: LogOffset(log.len() as u64),
            forced: false,
            changes: changes.iter().map(|c| c.convert()).collect(),
        }));
    }
    let first = log.len();
    log.extend(
        small_parts(&Snapshot::of(&replayed(&log)))
            .iter()
            .map(encode_part),
    );
    log.push("not a record".to_owned());
    assert!(catch_up(&mut replica, &log, first));
    assert_eq!(
        Snapshot::of(&replica.current),
        Snapshot::of(&replayed(&log))
    );
    assert_eq!(replica.current.customers.len(), 3);
}
