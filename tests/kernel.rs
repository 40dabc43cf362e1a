//! Kernel: names, deadlines, order of delivery, ordered stop and dump, on both drivers.

mod property;

use std::sync::mpsc;
use std::time::Duration;

use bulrushslip::kernel::{
    Arena, Clock, Moment, NextStep, ReplyTo, SendOutcome, Service, Signal, SteppedKernel,
    TokioKernel,
};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

#[derive(Debug)]
enum TestMail {
    Number(u32),
    Ask(ReplyTo<u32>),
}

/// Appends what it handles to a list that the test reads.
fn recorder(name: &'static str, seen: mpsc::Sender<(&'static str, u32)>) -> Service<TestMail> {
    Service::new(name, move |_turn, signal| {
        match signal {
            Signal::Mail(TestMail::Number(number)) => {
                seen.send((name, number)).expect("the test listens");
            }
            Signal::Mail(TestMail::Ask(reply_to)) => reply_to.send(7),
            Signal::Dump(reply_to) => reply_to.send(serde_json::json!({"service": name})),
            Signal::Stop => {
                seen.send((name, u32::MAX)).expect("the test listens");
                return NextStep::Stopped;
            }
            Signal::Start | Signal::Due => {}
        }
        NextStep::Wait
    })
}

#[test]
fn a_key_of_a_removed_value_never_matches_a_later_one() {
    property::check::<Vec<bool>>(CASES, |inserts| {
        let mut arena = Arena::new();
        let mut live = Vec::new();
        let mut dead = Vec::new();
        for (number, insert) in inserts.iter().enumerate() {
            if *insert || live.is_empty() {
                live.push((arena.insert(number), number));
            } else {
                let (key, value) = live.swap_remove(number % live.len());
                assert_eq!(arena.remove(key), Some(value));
                dead.push(key);
            }
            assert!(dead.iter().all(|key| arena.get(*key).is_none()));
            assert!(
                live.iter()
                    .all(|(key, value)| arena.get(*key) == Some(value))
            );
            assert_eq!(arena.len(), live.len());
        }
    });
}

fn stepped_order(seed: u64) -> Vec<(&'static str, u32)> {
    let (sender, handled) = mpsc::channel();
    let mut kernel = SteppedKernel::new(seed);
    let keys = ["a", "b", "c"].map(|name| kernel.add(recorder(name, sender.clone())));
    for number in 0..6 {
        for key in keys {
            kernel.post(key, Signal::Mail(TestMail::Number(number)));
        }
    }
    kernel.run_until(Moment::START);
    handled.try_iter().collect()
}

#[test]
fn a_seed_fixes_the_order_between_mailboxes_and_each_mailbox_keeps_its_own() {
    let orders: Vec<_> = (0..20).map(stepped_order).collect();
    assert_eq!(orders[3], stepped_order(3));
    assert!(orders.iter().any(|order| *order != orders[0]));
    for order in orders {
        for name in ["a", "b", "c"] {
            let numbers: Vec<u32> = order
                .iter()
                .filter(|(by, _)| *by == name)
                .map(|(_, number)| *number)
                .collect();
            assert_eq!(numbers, [0, 1, 2, 3, 4, 5]);
        }
    }
}

#[test]
fn a_stored_deadline_comes_due_at_its_virtual_time() {
    let (sender, seen) = mpsc::channel();
    let mut kernel: SteppedKernel<TestMail> = SteppedKernel::new(1);
    kernel.add(Service::new("timer", move |turn, signal| match signal {
        Signal::Start => NextStep::WaitUntil(turn.now.after(Duration::from_hours(1))),
        Signal::Due => {
            sender.send(turn.now).expect("the test listens");
            NextStep::Wait
        }
        _ => NextStep::Wait,
    }));
    kernel.run_until(Moment::START.after(Duration::from_mins(59)));
    assert_eq!(seen.try_recv(), Err(mpsc::TryRecvError::Empty));
    kernel.run_until(Moment::START.after(Duration::from_hours(2)));
    assert_eq!(
        seen.try_recv(),
        Ok(Moment::START.after(Duration::from_hours(1)))
    );
}

#[tokio::test]
async fn services_are_found_asked_dumped_and_stopped_in_reverse_order() {
    let (sender, seen) = mpsc::channel();
    let mut kernel = TokioKernel::new();
    for name in ["first", "second", "third"] {
        kernel.add(recorder(name, sender.clone()));
    }
    let clock = Clock::start();
    let running = kernel.launch(clock);
    let directory = running.directory.clone();
    assert_eq!(directory.ask("second", TestMail::Ask).await, Some(7));
    assert!(directory.find("fourth").is_none());
    let dump = directory.dump().await;
    assert_eq!(dump["third"]["service"], "third");
    running
        .stop(clock.now().after(Duration::from_secs(5)))
        .await;
    let stopped: Vec<&str> = seen.try_iter().map(|(name, _)| name).collect();
    assert_eq!(stopped, ["third", "second", "first"]);
    assert_eq!(
        directory.send("first", TestMail::Number(1)),
        SendOutcome::Gone
    );
    assert_eq!(directory.ask("first", TestMail::Ask).await, None);
}
