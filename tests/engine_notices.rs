//! Engines and plain services that leave or want no requests for some time, behind real entries and
//! sidecars.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{API_KEY, Answer, ChatCall, Fleet, get, post};

/// Time for which the upstreams want no requests, and the users' time for it to take effect.
const PAUSE: Duration = Duration::from_secs(4);
const EFFECT_TIME: Duration = Duration::from_millis(500);

/// Pause that is longer than any request may wait for its start.
const LONG_PAUSE: Duration = Duration::from_mins(2);

/// Calls that may reach an upstream in its pause.
const MAX_ARRIVALS: u64 = 2;

/// Time within which a change must be seen.
const LIMIT: Duration = Duration::from_secs(10);

/// Longest time until a request is refused that no upstream wants.
const REFUSAL_LIMIT: Duration = Duration::from_millis(300);

async fn set_notice(upstream: SocketAddr, notice: &str) {
    let path = format!("/admin/notice?{notice}");
    assert_eq!(post(upstream, &path, &[], "").await.status, 200);
}

async fn arrivals(upstream: SocketAddr) -> u64 {
    let answer = get(upstream, "/admin/notice", &[]).await;
    answer.json()["arrivals"].as_u64().expect("a count")
}

/// Sends a request to the plain service.
async fn ask_plain(fleet: &Fleet, entry: usize) -> Answer {
    let key = format!("Bearer {API_KEY}");
    let headers = [("authorization", &*key)];
    get(fleet.entry(entry), "/services/gates/state", &headers).await
}

async fn is_ledger(fleet: &Fleet, sidecar: usize, holds: impl Fn(&serde_json::Value) -> bool) {
    let operator = fleet.sidecars[sidecar].port("operator");
    let asked = Instant::now();
    loop {
        let dump = get(operator, "/dump", &[]).await.json();
        if holds(&dump["ledger"]) {
            return;
        }
        assert!(asked.elapsed() < LIMIT, "{}", dump["ledger"]);
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against polls, reads of cache events and orders that go on while an engine wants nothing.
#[tokio::test]
async fn an_engine_gets_no_calls_of_any_kind_in_the_time_that_it_asks_for() {
    let fleet = Fleet::start().await;
    let engine = fleet.engines[0].port("engine");
    let pause_ms = PAUSE.as_millis();
    let asked = Instant::now();
    set_notice(engine, &format!("pause_ms={pause_ms}")).await;
    // The sidecar learns of it from its own polls.
    is_ledger(&fleet, 0, |ledger| ledger["paused_ms"] != 0).await;
    tokio::time::sleep(EFFECT_TIME).await;
    let before = arrivals(engine).await;
    for number in 0..8 {
        let call = ChatCall::once(&format!("pause {number}"), 5);
        let report = call.run(fleet.entry(number % 2)).await;
        call.assert_whole(&report);
    }
    let counted_until = asked + PAUSE.saturating_sub(EFFECT_TIME / 2);
    tokio::time::sleep_until(counted_until.into()).await;
    let after = arrivals(engine).await;
    assert!(after - before <= MAX_ARRIVALS, "{before} to {after}");
    // It is polled again, and counts as up.
    fleet.until_ready(0, LIMIT).await;
}

#[tokio::test]
async fn an_engine_that_says_in_a_report_that_it_leaves_gets_no_more_requests() {
    let fleet = Fleet::start().await;
    let engine = fleet.engines[0].port("engine");
    set_notice(engine, "leaving=1").await;
    is_ledger(&fleet, 0, |ledger| ledger["said_leaving"] == true).await;
    let stats = async || get(engine, "/admin/stats", &[]).await.json()["started"].clone();
    let before = stats().await;
    for number in 0..16 {
        let call = ChatCall::once(&format!("leaving {number}"), 5);
        call.assert_whole(&call.run(fleet.entry(number % 2)).await);
    }
    assert_eq!(stats().await, before);
    // Its next run serves again.
    set_notice(engine, "leaving=0").await;
    assert_eq!(post(engine, "/admin/crash", &[], "").await.status, 200);
    is_ledger(&fleet, 0, |ledger| ledger["said_leaving"] == false).await;
}

/// Guards against callers that are told to come back before any upstream wants their requests.
#[tokio::test]
async fn callers_are_told_when_the_first_upstream_wants_requests_again() {
    let fleet = Fleet::start().await;
    let plain = fleet.plain.port("plain");
    set_notice(plain, &format!("pause_ms={}", LONG_PAUSE.as_millis())).await;
    // The upstream's own rejection is forwarded; the sidecar has read it then.
    ask_plain(&fleet, 0).await;
    for entry in [0, 1] {
        let asked = Instant::now();
        let refused = ask_plain(&fleet, entry).await;
        assert!(asked.elapsed() < REFUSAL_LIMIT, "{:?}", asked.elapsed());
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("x-run-status"), "not-run");
        let seconds: u64 = refused.header("retry-after").parse().expect("seconds");
        let rest = LONG_PAUSE.saturating_sub(LIMIT).as_secs();
        assert!(
            (rest..=LONG_PAUSE.as_secs() + 1).contains(&seconds),
            "{seconds}"
        );
        assert!(
            refused.text.contains("upstreams_paused"),
            "{}",
            refused.text
        );
    }
}
