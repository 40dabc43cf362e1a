//! A prompt segment that crashes each engine that begins to answer on it, whatever else the request
//! holds, at two gateways.

mod crashing_upstream;
mod gateway_world;

use std::sync::Arc;
use std::time::{Duration, Instant};

use crashing_upstream::{DEADLY, start_engines};
use gateway_world::{Gateway, TestEnvironment, route};
use tokio::task::JoinSet;
use tokio::time::interval;

/// Crashes after which the users' limits apply.
const CRASH_LIMIT: u32 = 5;

/// The users' stable window: time after the last of these crashes from which the limits apply.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Requests with the segment that may reach engines after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// Time for which requests are sent after the window.
const OBSERVED: Duration = Duration::from_secs(3);

/// Time between two requests with the segment.
const DEADLY_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two other requests.
const SOUND_INTERVAL: Duration = Duration::from_millis(25);

/// Returns the headers of a prompt whose segments are all known but its own, which no other has.
fn headers(middle: &str, number: usize) -> [(&'static str, String); 4] {
    [
        ("x-api-key", "key".to_owned()),
        ("x-model", "m".to_owned()),
        ("x-token-usage", "300,10".to_owned()),
        (
            "x-prompt-prefix",
            format!("first:100,{middle}:100,own{number}:100"),
        ),
    ]
}

/// Sends a request and returns whether it was answered completely.
async fn send(gateway: Arc<Gateway>, middle: &'static str, number: usize) -> bool {
    let headers = headers(middle, number);
    let headers: Vec<(&str, &str)> = headers
        .iter()
        .map(|(name, text)| (*name, &**text))
        .collect();
    let id = format!("{middle}{number}");
    // No two requests are alike.
    let path = format!("/resumable/{id}");
    let response = gateway.send_as(&id, &path, &headers, "body").await;
    response.is_ok_and(|response| response.status == hyper::StatusCode::OK)
}

#[tokio::test]
async fn a_segment_that_crashes_engines_is_refused_and_its_neighbours_are_served() {
    let world = TestEnvironment::start();
    let mut route = route("/resumable/", "streaming", 2);
    route["sticky"] = true.into();
    world.configure_engines(1, &[route]).await;
    let record = start_engines(12, world.store()).await;
    let first = Gateway::start("g", world.store(), &[]);
    let seeds = [first.process.port("peers")];
    let second = Gateway::start("gg", world.store(), &seeds);
    let gateways = [first, second].map(Arc::new);
    for gateway in &gateways {
        gateway.ready().await;
    }
    let (mut deadly, mut sound) = (interval(DEADLY_INTERVAL), interval(SOUND_INTERVAL));
    let mut responses = JoinSet::new();
    let started = Instant::now();
    let mut limit_from = started + CRASH_LIMIT * STABLE_WINDOW;
    for number in 0.. {
        let gateway = Arc::clone(&gateways[number % 2]);
        tokio::select! {
            _ = deadly.tick() => drop(tokio::spawn(send(gateway, DEADLY, number))),
            _ = sound.tick() => {
                let sent = Instant::now();
                responses.spawn(async move { (sent, send(gateway, "sound", number).await) });
            }
        }
        let crashes = record.borrow().crashes.len().min(CRASH_LIMIT as usize);
        if let Some(last) = record.borrow().crashes[..crashes].last() {
            limit_from = *last + STABLE_WINDOW;
        }
        if limit_from + OBSERVED < Instant::now() {
            break;
        }
    }
    let responses = responses.join_all().await;
    let late: Vec<bool> = responses
        .iter()
        .filter(|(sent, _)| *sent > limit_from)
        .map(|(_, is_answered)| *is_answered)
        .collect();
    let record = record.borrow().clone();
    let arrivals = record.deadly_arrivals.iter().filter(|at| **at > limit_from);
    assert!(
        arrivals.clone().count() <= MAX_LATE_ARRIVALS,
        "{} of {} arrivals were late, {} crashes",
        arrivals.count(),
        record.deadly_arrivals.len(),
        record.crashes.len()
    );
    let answered = late.iter().filter(|is_answered| **is_answered).count();
    assert!(
        answered * 2 >= late.len(),
        "{answered} of {} sound requests",
        late.len()
    );
    assert!(late.len() > 20, "{} sound requests", late.len());
}
