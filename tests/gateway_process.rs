//! The gateway as a real process: what callers get and what upstreams are sent.

mod gateway_world;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::{self, HttpError};
use gateway_world::{
    Behaviour, Gateway, LIMIT, TestEnvironment, Upstream, route, until,
    upstream_with_double_responses,
};
use http_body_util::Full;
use hyper::{Method, StatusCode};
use serde_json::Value;

/// Time within which a configuration is in force, as the operators state it.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);

fn routes() -> Vec<Value> {
    vec![
        route("/once/", "non_idempotent", 2),
        route("/safe/", "idempotent", 2),
        route("/resumable/", "streaming", 2),
        route("/stream/", "streaming", 2),
    ]
}

/// Starts a store, upstreams with the behaviours, and a gateway that is ready.
async fn start(behaviours: Vec<Vec<Behaviour>>) -> (TestEnvironment, Vec<Upstream>, Gateway) {
    let world = TestEnvironment::start();
    world.configure(1, &routes()).await;
    let mut upstreams = Vec::new();
    for (index, behaviours) in behaviours.into_iter().enumerate() {
        let upstream = Upstream::start(behaviours).await;
        world
            .announce(&format!("i-{index}"), &upstream, "ready")
            .await;
        upstreams.push(upstream);
    }
    let gateway = world.gateway("g");
    gateway.ready().await;
    (world, upstreams, gateway)
}

fn status(answer: &Result<bulrushslip::platform::http_client::WholeResponse, HttpError>) -> u16 {
    answer.as_ref().map_or(0, |answer| answer.status.as_u16())
}

#[tokio::test]
async fn a_request_reaches_an_upstream_as_its_customers_and_no_other() {
    let (world, upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    let answer = gateway
        .send_with(
            "/once/a?b=c",
            &[("x-api-key", "key"), ("x-tenant", "forged")],
            "body",
        )
        .await
        .expect("an answer");
    assert_eq!(
        (answer.status, &*answer.body),
        (StatusCode::OK, &b"made"[..])
    );
    assert_eq!(answer.headers["x-server-seal"], "seal");
    let seen = &upstreams[0].received()[0];
    assert_eq!(
        (seen.path.as_str(), &*seen.body),
        ("/once/a?b=c", &b"body"[..])
    );
    assert_eq!(seen.headers["x-tenant"], "customer");
    assert_eq!(seen.headers["x-expect-instance"], "i-0");
    assert!(!seen.headers.contains_key("x-api-key"));
    let left: u64 = seen.headers["x-deadline-ms"].parse().expect("a number");
    assert!(left <= 4_000, "{left} ms are more than the route allows");
    for (path, key, expected) in [("/none/", "key", 404), ("/once/", "revoked", 401)] {
        let answer = gateway.send_with(path, &[("x-api-key", key)], "").await;
        assert_eq!(status(&answer), expected, "{path}");
    }
    assert!(upstreams[0].received().is_empty());
    drop(world);
}

#[tokio::test]
async fn an_instance_without_a_configuration_is_not_ready_and_refuses() {
    let world = TestEnvironment::start();
    let gateway = world.gateway("g");
    assert!(!gateway.is_ready().await);
    let answer = gateway.send("/once/").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn requests_beyond_the_limits_are_refused_and_reach_nobody() {
    let (_world, upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "")]]).await;
    let long: &'static str = Box::leak("x".repeat(1_001).into_boxed_str());
    let answer = gateway
        .send_with("/once/", &[("x-api-key", "key")], long)
        .await;
    assert_eq!(status(&answer), 413);
    let header = "x".repeat(5_000);
    let headers = [("x-api-key", "key"), ("x-long", header.as_str())];
    assert_eq!(
        status(&gateway.send_with("/once/", &headers, "").await),
        431
    );
    assert!(upstreams[0].received().is_empty());
}

#[tokio::test]
async fn what_is_no_answer_of_the_upstream_is_a_failure_and_runs_nothing_twice() {
    for behaviour in [Behaviour::Unsigned, Behaviour::Truncate] {
        let both = vec![vec![behaviour.clone()], vec![behaviour.clone()]];
        let (_world, upstreams, gateway) = start(both).await;
        let answer = gateway.send("/once/").await;
        assert_eq!(status(&answer), 502, "{behaviour:?}");
        let runs: usize = upstreams
            .iter()
            .map(|upstream| upstream.received().len())
            .sum();
        assert_eq!(runs, 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn a_request_that_was_not_run_is_offered_elsewhere_and_refused_truthfully() {
    let turned_away = vec![vec![Behaviour::NotExecuted], vec![Behaviour::NotExecuted]];
    let (_world, _upstreams, gateway) = start(turned_away).await;
    let answer = gateway.send("/once/").await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = answer.headers["retry-after"]
        .to_str()
        .expect("text")
        .parse()
        .expect("seconds");
    assert!(wait <= 1.0, "{wait} s");
    let mixed = vec![
        vec![Behaviour::NotExecuted],
        vec![Behaviour::Answer(200, "made")],
    ];
    let (_world, _upstreams, gateway) = start(mixed).await;
    for _ in 0..4 {
        assert_eq!(status(&gateway.send("/once/").await), 200);
    }
}

#[tokio::test]
async fn a_failure_is_tried_again_only_if_the_request_may_run_twice() {
    let one_fails = || {
        vec![
            vec![Behaviour::Answer(500, "broken")],
            vec![Behaviour::Answer(200, "made")],
        ]
    };
    let (_world, _upstreams, gateway) = start(one_fails()).await;
    for _ in 0..4 {
        assert_eq!(status(&gateway.send("/safe/").await), 200);
    }
    let (_world, upstreams, gateway) = start(one_fails()).await;
    let mut answers = Vec::new();
    for _ in 0..8 {
        answers.push(status(&gateway.send("/once/").await));
    }
    let runs: usize = upstreams
        .iter()
        .map(|upstream| upstream.received().len())
        .sum();
    assert_eq!(runs, 8, "{answers:?}");
}

#[tokio::test]
async fn a_resumable_stream_goes_on_elsewhere_without_loss_or_repetition() {
    let first = vec!["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"];
    let rest = vec!["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let breaks = Behaviour::Stream(first, false);
    let goes_on = Behaviour::Stream(rest, true);
    // Whichever upstream is asked first breaks off.
    let (_world, upstreams, gateway) = start(vec![
        vec![breaks.clone(), goes_on.clone()],
        vec![goes_on.clone()],
    ])
    .await;
    let (mut resumed, mut plain) = (0, 0);
    for _ in 0..6 {
        let answer = gateway.send("/resumable/").await.expect("a whole answer");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        if text.contains("data: a") {
            resumed += 1;
            let whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n";
            assert_eq!(text, whole);
        } else {
            plain += 1;
        }
        if resumed > 0 {
            break;
        }
    }
    let seen: Vec<_> = upstreams.iter().flat_map(Upstream::received).collect();
    let last_events = seen
        .iter()
        .filter_map(|seen| seen.headers.get("last-event-id"));
    let last_events: Vec<&String> = last_events.collect();
    assert_eq!(resumed, 1, "{plain} answers came from the other upstream");
    assert_eq!(last_events, ["2"]);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_never_looks_complete_when_it_breaks() {
    let breaks = Behaviour::Stream(vec!["id: 1\ndata: a\n\n"], false);
    let (_world, upstreams, gateway) = start(vec![vec![breaks.clone()], vec![breaks]]).await;
    let answer = gateway.send("/stream/").await;
    assert!(answer.is_err(), "{answer:?}");
    let runs: usize = upstreams
        .iter()
        .map(|upstream| upstream.received().len())
        .sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_caller_that_leaves_ends_the_work_at_the_upstream() {
    let stall = Behaviour::Stall("id: 1\ndata: a\n\n");
    let (_world, upstreams, gateway) = start(vec![vec![stall]]).await;
    for path in ["/stream/", "/resumable/"] {
        let sending = tokio::time::timeout(Duration::from_millis(300), gateway.send(path));
        assert!(sending.await.is_err(), "the answer never ends");
        let left = Instant::now();
        until("dropped", async || upstreams[0].dropped.try_recv().is_ok()).await;
        // The operators count work that goes on for longer than this after a caller has left.
        assert!(left.elapsed() < Duration::from_millis(500), "{path}");
    }
}

#[tokio::test]
async fn a_leaving_upstream_and_an_unreadable_entry_get_nothing() {
    let answers = |text| vec![Behaviour::Answer(200, text)];
    let (world, upstreams, gateway) = start(vec![answers("first"), answers("second")]).await;
    world.announce("i-0", &upstreams[0], "draining").await;
    world.announce_invalid("i-9", "\u{1}not an entry").await;
    let acknowledged = Instant::now();
    until("drained", async || {
        let answer = gateway.send("/safe/").await.expect("an answer");
        answer.body == "second" && acknowledged.elapsed() >= CONFIGURATION_LIMIT
    })
    .await;
    drop(upstreams[0].received());
    for _ in 0..8 {
        assert_eq!(
            gateway.send("/safe/").await.expect("an answer").body,
            "second"
        );
    }
    assert!(upstreams[0].received().is_empty());
}

#[tokio::test]
async fn a_configuration_reaches_an_instance_that_the_store_turns_away() {
    let (world, _upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let cut_off = Gateway::start("cut-off", nowhere, &[gateway.process.port("peers")]);
    cut_off.ready().await;
    assert_eq!(status(&cut_off.send("/safe/").await), 200);
    assert_eq!(status(&cut_off.send("/new/").await), 404);
    let mut changed = routes();
    changed.push(route("/new/", "idempotent", 1));
    world.configure(2, &changed).await;
    let acknowledged = Instant::now();
    until("in force", async || {
        status(&cut_off.send("/new/").await) == 200
    })
    .await;
    assert!(acknowledged.elapsed() < CONFIGURATION_LIMIT);
}

#[tokio::test]
async fn a_planned_stop_is_told_at_once_and_cuts_no_request() {
    let slow = Behaviour::Stream(vec!["id: 1\ndata: a\n\n"; 100], true);
    let (_world, _upstreams, mut gateway) = start(vec![vec![slow]]).await;
    let (answer, ()) = tokio::join!(gateway.send("/stream/"), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway.process.terminate();
        until("not ready", async || !gateway.is_ready().await).await;
        // New connections are still served until the balancer has turned away.
        assert_eq!(status(&gateway.send("/stream/").await), 200);
    });
    assert_eq!(answer.expect("a whole answer").status, StatusCode::OK);
    let stopped = Instant::now();
    assert_eq!(gateway.process.wait(), Some(0));
    assert!(
        stopped.elapsed() < Duration::from_secs(3),
        "the platform kills after the grace"
    );
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_handed_on() {
    let (_world, upstreams, gateway) = start(vec![vec![Behaviour::WrongRequestId]]).await;
    for path in ["/once/", "/safe/", "/stream/", "/resumable/"] {
        let answer = gateway.send(path).await;
        let status = status(&answer);
        assert!(matches!(status, 0 | 502 | 504), "{path}: {answer:?}");
    }
    assert!(!upstreams[0].received().is_empty());
}

#[tokio::test]
async fn a_second_answer_on_a_kept_connection_belongs_to_no_request() {
    let world = TestEnvironment::start();
    world.configure(1, &routes()).await;
    let upstream = upstream_with_double_responses().await;
    world.announce_at("i-0", upstream, "ready").await;
    let gateway = world.gateway("g");
    gateway.ready().await;
    let callers = gateway.process.port("callers");
    for number in 0..20 {
        let id = format!("id{number}");
        let request = http_client::request(Method::POST, callers, "/once/")
            .header("x-request-id", &id)
            .header("x-api-key", "key")
            .body(Full::from(id.clone()));
        let answer = http_client::call(callers, request.expect("a request"), LIMIT).await;
        let answer = answer.expect("an answer");
        assert!(
            answer.status != StatusCode::OK || answer.body == id,
            "{id} got {:?}",
            answer.body
        );
    }
}

#[tokio::test]
async fn changed_settings_are_in_force_with_a_signal_and_without() {
    let (first, upstreams, mut gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    for (number, is_told) in [(2, true), (3, false)] {
        // Another store, with one more route and the same upstream.
        let next = TestEnvironment::start();
        let path = format!("/new{number}/");
        let mut changed = routes();
        changed.push(route(&path, "idempotent", 1));
        // Positions in the new store are beyond those of the one before.
        for version in 1..=number * 10 {
            next.configure(version, &changed).await;
            next.announce("i-0", &upstreams[0], "ready").await;
        }
        assert_eq!(status(&gateway.send(&path).await), 404);
        gateway.set("platform.address", &next.store().to_string(), is_told);
        until("in force", async || {
            status(&gateway.send(&path).await) == 200
        })
        .await;
    }
    gateway.write_settings("node-name=", true);
    for _ in 0..10 {
        assert_eq!(status(&gateway.send("/safe/").await), 200);
    }
    drop(first);
}
