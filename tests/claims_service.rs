//! The service `claims` on the stepped kernel, with a log that delays, fails and loses calls.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bulrushslip::decide::claim_coordinator::{ClaimPage, CoordinatorLimits};
use bulrushslip::decide::claims::{ClaimRecord, ClaimTarget, ClaimVerdict, KeyHash, PartitionId};
use bulrushslip::decide::ids::{Incarnation, LogOffset, LogPosition, StoreEra, Ticket};
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::{MailboxKey, Moment, NextStep, ReplyTo, Service, Signal, SteppedKernel};
use bulrushslip::services::common::mail::{ClaimLogMail, ClaimsMail, Mail};
use bulrushslip::services::upstream_side::claim_log::CLAIM_LOG;
use bulrushslip::services::upstream_side::claims::{CLAIMS, claims_service};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

type SharedLog = Arc<Mutex<BTreeMap<PartitionId, Vec<Vec<ClaimRecord>>>>>;

/// Time during which calls to the log fail, in milliseconds of virtual time.
const OUTAGE_MS: std::ops::Range<u64> = 2_000..3_000;

fn ms(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

/// Creates a log whose calls are delayed, fail, or take effect without a reply.
fn faulty_log(log: SharedLog, seed: u64, with_faults: bool) -> Service<Mail> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut replies: Vec<(Moment, ClaimsMail)> = Vec::new();
    Service::new(CLAIM_LOG, move |turn, signal| {
        if let Signal::Mail(Mail::ClaimLog(mail)) = signal {
            let latency = random.random_range(1..if with_faults { 200 } else { 5 });
            let due = turn.now.after(Duration::from_millis(latency));
            let in_outage = OUTAGE_MS.contains(&(turn.now.as_micros() / 1000));
            let is_lost = with_faults && (in_outage || random.random_bool(0.15));
            let takes_effect = !is_lost || (!in_outage && random.random_bool(0.5));
            let mut log = log.lock().expect("one thread");
            let reply = match mail {
                ClaimLogMail::Append(id, records) => {
                    let stream = log.entry(id).or_default();
                    let position = LogPosition {
                        era: StoreEra(0),
                        offset: LogOffset(stream.len() as u64),
                    };
                    if takes_effect {
                        stream.push(records);
                    }
                    ClaimsMail::Appended(id, (!is_lost).then_some(position))
                }
                ClaimLogMail::Read(id, from) => {
                    let stream = log.entry(id).or_default();
                    let all = (0..).map(LogOffset).zip(stream.iter().cloned());
                    let page = ClaimPage {
                        era: StoreEra(0),
                        first: LogOffset(0),
                        next: LogOffset(stream.len() as u64),
                        batches: all.skip_while(|(offset, _)| *offset < from).collect(),
                    };
                    ClaimsMail::Page(id, (!is_lost).then_some(page))
                }
            };
            replies.push((due, reply));
        }
        replies.sort_by_key(|(due, _)| *due);
        while replies.first().is_some_and(|(due, _)| due.is_due(turn.now)) {
            let (_, reply) = replies.remove(0);
            turn.send(CLAIMS, Mail::Claims(reply));
        }
        let next = replies.first().map(|(due, _)| *due);
        next.map_or(NextStep::Wait, NextStep::WaitUntil)
    })
}

/// Claims service of a sidecar, with the log that it calls.
struct Sidecar {
    kernel: SteppedKernel<Mail>,
    claims: MailboxKey,
}

fn sidecar(log: &SharedLog, seed: u64, with_faults: bool) -> Sidecar {
    let mut kernel = SteppedKernel::new(seed);
    let claims = kernel.add(claims_service(CoordinatorLimits::default()));
    kernel.add(faulty_log(Arc::clone(log), seed ^ 1, with_faults));
    Sidecar { kernel, claims }
}

/// Key, ticket, time of the claim, and verdict.
type ReportedVerdict = (u64, Ticket, Moment, ClaimVerdict);

impl Sidecar {
    fn claim(&mut self, key: u64, sequence: u64, verdicts: &Sender<ReportedVerdict>) {
        let ticket = Ticket {
            entry: Incarnation(9),
            sequence,
        };
        let record = ClaimRecord {
            customer: "wales".to_owned(),
            key: KeyHash(u128::from(key)),
            released: None,
            target: Some(ClaimTarget {
                ticket,
                upstream: "gate".to_owned(),
                sidecar: Incarnation(1),
                fingerprint: Fingerprint(key),
            }),
            expires_s: 0,
        };
        let claimed_at = self.kernel.now();
        let verdicts = verdicts.clone();
        let reply_to = ReplyTo::new(move |verdict| {
            verdicts
                .send((key, ticket, claimed_at, verdict))
                .expect("the test holds the receiver");
        });
        let mail = ClaimsMail::Claim {
            record,
            deadline: claimed_at.after(Duration::from_secs(5)),
            reply_to,
        };
        self.kernel
            .post(self.claims, Signal::Mail(Mail::Claims(mail)));
    }
}

/// Claims the same keys at two sidecars for five seconds, during which one of them restarts.
fn claim_concurrently(seed: u64) -> (SharedLog, Vec<ReportedVerdict>) {
    let log = SharedLog::default();
    let mut random = StdRng::seed_from_u64(seed);
    let (sender, receiver): (Sender<ReportedVerdict>, Receiver<ReportedVerdict>) = channel();
    let mut sidecars = [
        sidecar(&log, seed, true),
        sidecar(&log, seed + 1_000_000, true),
    ];
    for step in 1..=100 {
        let picked = random.random_range(0..2);
        sidecars[picked].claim(random.random_range(0..12), step, &sender);
        if step == 40 {
            sidecars[0] = sidecar(&log, seed + 2_000_000, true);
        }
        for sidecar in &mut sidecars {
            sidecar.kernel.run_until(ms(step * 50));
        }
    }
    for sidecar in &mut sidecars {
        sidecar.kernel.run_until(ms(10_000));
    }
    drop((sidecars, sender));
    (log, receiver.iter().collect())
}

#[test]
fn one_ticket_wins_each_key_despite_outage_loss_and_restart() {
    let (mut won, mut held, mut unavailable) = (0, 0, 0);
    for seed in 0..300 {
        let (log, verdicts) = claim_concurrently(seed);
        let log = log.lock().expect("one thread");
        let mut winners = BTreeMap::new();
        for (id, stream) in log.iter() {
            for record in stream.iter().flatten() {
                assert_eq!(record.key.partition(), *id);
                let ticket = record.target.as_ref().expect("no claim is released").ticket;
                winners.entry(record.key).or_insert(ticket);
            }
        }
        for (key, ticket, _, verdict) in &verdicts {
            let winner = winners.get(&KeyHash(u128::from(*key)));
            match verdict {
                ClaimVerdict::Won => {
                    won += 1;
                    assert_eq!(winner, Some(ticket), "seed {seed}");
                }
                ClaimVerdict::Held(holder) => {
                    held += 1;
                    assert_eq!(winner, Some(&holder.ticket), "seed {seed}");
                }
                ClaimVerdict::Unavailable => unavailable += 1,
                ClaimVerdict::Released => panic!("seed {seed}: no claim is released"),
            }
        }
        let sequences: BTreeSet<u64> = verdicts.iter().map(|(_, t, ..)| t.sequence).collect();
        assert_eq!(
            sequences.len(),
            verdicts.len(),
            "seed {seed}: a claim got two verdicts"
        );
        // Only claims of the last second before the restart can stay without a verdict.
        assert!(
            verdicts.len() >= 75,
            "seed {seed}: {} of 100 claims got a verdict",
            verdicts.len()
        );
    }
    println!("300 seeds: {won} won, {held} held, {unavailable} unavailable");
    assert!(won > 1_000 && held > 1_000);
}

#[test]
fn claims_in_an_outage_fail_at_once_except_the_first_ones_and_probes() {
    let mut at_once = 0;
    for seed in 0..100 {
        let (sender, receiver) = channel();
        let mut sidecar = sidecar(&SharedLog::default(), seed, true);
        let mut verdict_count = 0;
        for step in 1..=20 {
            let start = ms(OUTAGE_MS.start + step * 45);
            sidecar.kernel.run_until(start);
            verdict_count += receiver.try_iter().count();
            sidecar.claim(16, step, &sender);
            sidecar
                .kernel
                .run_until(start.after(Duration::from_millis(1)));
            let refused_now = receiver.try_iter().map(|(.., verdict)| {
                assert_eq!(verdict, ClaimVerdict::Unavailable, "seed {seed}");
            });
            let refused_now = refused_now.count();
            at_once += refused_now;
            verdict_count += refused_now;
        }
        sidecar.kernel.run_until(ms(OUTAGE_MS.end + 2_000));
        assert_eq!(
            verdict_count + receiver.try_iter().count(),
            20,
            "seed {seed}"
        );
    }
    println!("of 2000 claims in an outage, {at_once} were refused within 1 ms");
    assert!(at_once > 1_000);
}

#[test]
fn a_sidecar_keeps_a_bounded_number_of_partitions_open() {
    let log = SharedLog::default();
    let (sender, receiver) = channel();
    let mut sidecar = sidecar(&log, 3, false);
    for key in 0..16 {
        sidecar.claim(key, key + 1, &sender);
        let end = sidecar.kernel.now().after(Duration::from_millis(200));
        sidecar.kernel.run_until(end);
    }
    // The partitions of the first keys have been closed since and must be read from the log again.
    sidecar.claim(0, 99, &sender);
    let (dump, dumped) = ReplyTo::channel();
    sidecar.kernel.run_until(ms(5_000));
    sidecar.kernel.post(sidecar.claims, Signal::Dump(dump));
    sidecar.kernel.run_until(ms(6_000));
    drop((sidecar, sender));
    let verdicts: Vec<ClaimVerdict> = receiver.iter().map(|(.., verdict)| verdict).collect();
    let won = verdicts
        .iter()
        .filter(|verdict| **verdict == ClaimVerdict::Won);
    assert_eq!(won.count(), 16);
    assert!(matches!(&verdicts[16], ClaimVerdict::Held(holder) if holder.ticket.sequence == 1));
    let dump = dumped.blocking_recv().expect("a dump");
    assert_eq!(dump.as_array().map(Vec::len), Some(4));
}
