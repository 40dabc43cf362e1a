//! Kernel on both drivers: arena keys, names, deadlines, delivery order, stop order and dumps.

mod property;

use std::sync::mpsc;
use std::time::Duration;

use bulrushslip::kernel::{
    Arena, Clock, Moment, NextStep, ReplyTo, SendOutcome, Service, Signal, SteppedKernel,
    TokioKernel,
};

/// Number of generated inputs for each property.
const CASES: u64 = 2_000;

#[derive(Debug)]
enum TestMail {
    Number(u32),
    Ask(ReplyTo<u32>),
}

/// Creates a service that sends each number it receives, and `u32::MAX` when stopped, to the test.
fn recorder(name: &'static str, received: mpsc::Sender<(&'static str, u32)>) -> Service<TestMail> {
    Service::new(name, move |_turn, signal| {
        match signal {
            Signal::Mail(TestMail::Number(number)) => {
                received
                    .send((name, number))
                    .expect("the test holds the receiver");
            }
            Signal::Mail(TestMail::Ask(reply_to)) => reply_to.send(7),
            Signal::Dump(reply_to) => reply_to.send(serde_json::json!({"service": name})),
            Signal::Stop => {
                received
                    .send((name, u32::MAX))
                    .expect("the test holds the receiver");
                return NextStep::Stopped;
            }
            Signal::Start | Signal::Due => {}
        }
        NextStep::Wait
    })
}

#[test]
fn a_key_of_a_removed_value_matches_no_later_value() {
    property::check::<Vec<bool>>(CASES, |inserts| {
        let mut arena = Arena::new();
        let mut present = Vec::new();
        let mut removed = Vec::new();
        for (number, insert) in inserts.iter().enumerate() {
            if *insert || present.is_empty() {
                present.push((arena.insert(number), number));
            } else {
                let (key, value) = present.swap_remove(number % present.len());
                assert_eq!(arena.remove(key), Some(value));
                removed.push(key);
            }
            assert!(removed.iter().all(|key| arena.get(*key).is_none()));
            assert!(
                present
                    .iter()
                    .all(|(key, value)| arena.get(*key) == Some(value))
            );
            assert_eq!(arena.len(), present.len());
        }
    });
}

fn stepped_order(seed: u64) -> Vec<(&'static str, u32)> {
    let (sender, received) = mpsc::channel();
    let mut kernel = SteppedKernel::new(seed);
    let keys = ["a", "b", "c"].map(|name| kernel.add(recorder(name, sender.clone())));
    for number in 0..6 {
        for key in keys {
            kernel.post(key, Signal::Mail(TestMail::Number(number)));
        }
    }
    kernel.run_until(Moment::START);
    received.try_iter().collect()
}

#[test]
fn the_seed_determines_the_order_between_mailboxes_and_each_mailbox_is_fifo() {
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
fn a_deadline_is_delivered_at_its_virtual_time() {
    let (sender, received) = mpsc::channel();
    let mut kernel: SteppedKernel<TestMail> = SteppedKernel::new(1);
    kernel.add(Service::new("timer", move |turn, signal| match signal {
        Signal::Start => NextStep::WaitUntil(turn.now.after(Duration::from_hours(1))),
        Signal::Due => {
            sender.send(turn.now).expect("the test holds the receiver");
            NextStep::Wait
        }
        _ => NextStep::Wait,
    }));
    kernel.run_until(Moment::START.after(Duration::from_mins(59)));
    assert_eq!(received.try_recv(), Err(mpsc::TryRecvError::Empty));
    kernel.run_until(Moment::START.after(Duration::from_hours(2)));
    assert_eq!(
        received.try_recv(),
        Ok(Moment::START.after(Duration::from_hours(1)))
    );
}

#[tokio::test]
async fn services_reply_are_dumped_and_stop_in_reverse_order() {
    let (sender, received) = mpsc::channel();
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
    let stopped: Vec<&str> = received.try_iter().map(|(name, _)| name).collect();
    assert_eq!(stopped, ["third", "second", "first"]);
    assert_eq!(
        directory.send("first", TestMail::Number(1)),
        SendOutcome::Closed
    );
    assert_eq!(directory.ask("first", TestMail::Ask).await, None);
}
