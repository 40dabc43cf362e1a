//! End-to-end tests of the gateway process: responses to callers and requests at the upstreams.

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

/// Operators' limit for the time until a new configuration is in force at all instances.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);

fn routes() -> Vec<Value> {
    vec![
        route("/once/", "non_idempotent", 2),
        route("/safe/", "idempotent", 2),
        route("/resumable/", "streaming", 2),
        route("/stream/", "streaming", 2),
    ]
}

/// Starts a store, one upstream for each list of behaviours, and a gateway, and waits until the
/// gateway is ready.
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

/// Returns the status code of a response, or 0 if the call failed.
fn status(
    response: &Result<bulrushslip::platform::http_client::CompleteResponse, HttpError>,
) -> u16 {
    response
        .as_ref()
        .map_or(0, |response| response.status.as_u16())
}

#[tokio::test]
async fn forwarded_requests_name_the_customer_and_unknown_keys_are_rejected() {
    let (world, upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    let response = gateway
        .send_with(
            "/once/a?b=c",
            &[("x-api-key", "key"), ("x-tenant", "forged")],
            "body",
        )
        .await
        .expect("a response");
    assert_eq!(
        (response.status, &*response.body),
        (StatusCode::OK, &b"made"[..])
    );
    assert_eq!(response.headers["x-server-seal"], "seal");
    let seen = &upstreams[0].received()[0];
    assert_eq!(
        (seen.path.as_str(), &*seen.body),
        ("/once/a?b=c", &b"body"[..])
    );
    assert_eq!(seen.headers["x-tenant"], "customer");
    assert_eq!(seen.headers["x-expect-instance"], "i-0");
    assert!(!seen.headers.contains_key("x-api-key"));
    let left: u64 = seen.headers["x-deadline-ms"].parse().expect("a number");
    assert!(left <= 4_000, "{left} ms exceed the timeout of the route");
    for (path, key, expected) in [("/none/", "key", 404), ("/once/", "revoked", 401)] {
        let response = gateway.send_with(path, &[("x-api-key", key)], "").await;
        assert_eq!(status(&response), expected, "{path}");
    }
    assert!(upstreams[0].received().is_empty());
    drop(world);
}

#[tokio::test]
async fn an_instance_without_a_configuration_is_not_ready_and_returns_503() {
    let world = TestEnvironment::start();
    let gateway = world.gateway("g");
    assert!(!gateway.is_ready().await);
    let response = gateway.send("/once/").await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn requests_over_the_size_limits_are_rejected_and_reach_no_upstream() {
    let (_world, upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "")]]).await;
    let long: &'static str = Box::leak("x".repeat(1_001).into_boxed_str());
    let response = gateway
        .send_with("/once/", &[("x-api-key", "key")], long)
        .await;
    assert_eq!(status(&response), 413);
    let header = "x".repeat(5_000);
    let headers = [("x-api-key", "key"), ("x-long", header.as_str())];
    assert_eq!(
        status(&gateway.send_with("/once/", &headers, "").await),
        431
    );
    assert!(upstreams[0].received().is_empty());
}

#[tokio::test]
async fn unsigned_and_truncated_responses_fail_without_a_retry() {
    for behaviour in [Behaviour::Unsigned, Behaviour::Truncate] {
        let behaviours = vec![vec![behaviour.clone()], vec![behaviour.clone()]];
        let (_world, upstreams, gateway) = start(behaviours).await;
        let response = gateway.send("/once/").await;
        assert_eq!(status(&response), 502, "{behaviour:?}");
        let runs: usize = upstreams
            .iter()
            .map(|upstream| upstream.received().len())
            .sum();
        assert_eq!(runs, 1, "{behaviour:?}");
    }
}

#[tokio::test]
async fn a_request_that_did_not_run_is_retried_and_gets_503_if_no_upstream_runs_it() {
    let rejecting = vec![vec![Behaviour::NotExecuted], vec![Behaviour::NotExecuted]];
    let (_world, _upstreams, gateway) = start(rejecting).await;
    let response = gateway.send("/once/").await.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    let wait: f64 = response.headers["retry-after"]
        .to_str()
        .expect("ASCII text")
        .parse()
        .expect("a number of seconds");
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
async fn a_5xx_response_is_retried_only_for_idempotent_requests() {
    let behaviours = || {
        vec![
            vec![Behaviour::Answer(500, "broken")],
            vec![Behaviour::Answer(200, "made")],
        ]
    };
    let (_world, _upstreams, gateway) = start(behaviours()).await;
    for _ in 0..4 {
        assert_eq!(status(&gateway.send("/safe/").await), 200);
    }
    let (_world, upstreams, gateway) = start(behaviours()).await;
    let mut statuses = Vec::new();
    for _ in 0..8 {
        statuses.push(status(&gateway.send("/once/").await));
    }
    let runs: usize = upstreams
        .iter()
        .map(|upstream| upstream.received().len())
        .sum();
    assert_eq!(runs, 8, "{statuses:?}");
}

#[tokio::test]
async fn a_resumable_stream_continues_at_another_upstream_without_lost_or_repeated_events() {
    let first = vec!["id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda"];
    let rest = vec!["id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n"];
    let broken = Behaviour::Stream(first, false);
    let resumed_stream = Behaviour::Stream(rest, true);
    // The connection breaks at the upstream that gets the first request.
    let (_world, upstreams, gateway) = start(vec![
        vec![broken.clone(), resumed_stream.clone()],
        vec![resumed_stream.clone()],
    ])
    .await;
    let (mut resumed, mut plain) = (0, 0);
    for _ in 0..6 {
        let response = gateway
            .send("/resumable/")
            .await
            .expect("a complete response");
        let text = String::from_utf8_lossy(&response.body).into_owned();
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
    assert_eq!(
        resumed, 1,
        "{plain} responses came only from the other upstream"
    );
    assert_eq!(last_events, ["2"]);
}

#[tokio::test]
async fn a_broken_stream_that_is_not_resumable_does_not_look_complete() {
    let broken = Behaviour::Stream(vec!["id: 1\ndata: a\n\n"], false);
    let (_world, upstreams, gateway) = start(vec![vec![broken.clone()], vec![broken]]).await;
    let response = gateway.send("/stream/").await;
    assert!(response.is_err(), "{response:?}");
    let runs: usize = upstreams
        .iter()
        .map(|upstream| upstream.received().len())
        .sum();
    assert_eq!(runs, 1);
}

#[tokio::test]
async fn a_disconnect_of_the_caller_cancels_the_request_at_the_upstream() {
    let stall = Behaviour::Stall("id: 1\ndata: a\n\n");
    let (_world, upstreams, gateway) = start(vec![vec![stall]]).await;
    for path in ["/stream/", "/resumable/"] {
        let sending = tokio::time::timeout(Duration::from_millis(300), gateway.send(path));
        assert!(sending.await.is_err(), "the response ended");
        let left = Instant::now();
        until("dropped", async || upstreams[0].dropped.try_recv().is_ok()).await;
        // Operators count work as wasted that runs for longer than this after its caller has left.
        assert!(left.elapsed() < Duration::from_millis(500), "{path}");
    }
}

#[tokio::test]
async fn a_disconnect_of_the_caller_is_logged_with_the_upstream() {
    let stall = Behaviour::Stall("id: 1\ndata: a\n\n");
    let (_world, _upstreams, gateway) = start(vec![vec![stall]]).await;
    let mut lines = Vec::new();
    for path in ["/stream/", "/safe/"] {
        let sending = tokio::time::timeout(Duration::from_millis(300), gateway.send(path));
        assert!(sending.await.is_err(), "the response ended");
        until("a log line", async || {
            lines.extend(gateway.process.new_lines());
            let is_abandoned = |line: &String| {
                line.contains("request_abandoned") && line.contains(r#""upstream":"i-0""#)
            };
            let found = lines.iter().position(is_abandoned);
            found.map(|index| lines.remove(index)).is_some()
        })
        .await;
    }
}

#[tokio::test]
async fn draining_upstreams_and_malformed_entries_get_no_requests() {
    let responds = |text| vec![Behaviour::Answer(200, text)];
    let (world, upstreams, gateway) = start(vec![responds("first"), responds("second")]).await;
    world.announce("i-0", &upstreams[0], "draining").await;
    world.announce_invalid("i-9", "\u{1}not an entry").await;
    let changed_at = Instant::now();
    until("drained", async || {
        let response = gateway.send("/safe/").await.expect("a response");
        response.body == "second" && changed_at.elapsed() >= CONFIGURATION_LIMIT
    })
    .await;
    drop(upstreams[0].received());
    for _ in 0..8 {
        assert_eq!(
            gateway.send("/safe/").await.expect("a response").body,
            "second"
        );
    }
    assert!(upstreams[0].received().is_empty());
}

#[tokio::test]
async fn an_instance_without_access_to_the_store_gets_the_configuration_from_its_peers() {
    let (world, _upstreams, gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    let unreachable_store = SocketAddr::from(([127, 0, 0, 1], 1));
    let cut_off = Gateway::start(
        "cut-off",
        unreachable_store,
        &[gateway.process.port("peers")],
    );
    cut_off.ready().await;
    assert_eq!(status(&cut_off.send("/safe/").await), 200);
    assert_eq!(status(&cut_off.send("/new/").await), 404);
    let mut changed = routes();
    changed.push(route("/new/", "idempotent", 1));
    world.configure(2, &changed).await;
    let changed_at = Instant::now();
    until("in force", async || {
        status(&cut_off.send("/new/").await) == 200
    })
    .await;
    assert!(changed_at.elapsed() < CONFIGURATION_LIMIT);
}

#[tokio::test]
async fn a_planned_stop_fails_readiness_at_once_and_completes_open_requests() {
    let slow = Behaviour::Stream(vec!["id: 1\ndata: a\n\n"; 100], true);
    let (_world, _upstreams, mut gateway) = start(vec![vec![slow]]).await;
    let (response, ()) = tokio::join!(gateway.send("/stream/"), async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        gateway.process.terminate();
        until("not ready", async || !gateway.is_ready().await).await;
        // New connections are served until the balancer stops sending them.
        assert_eq!(status(&gateway.send("/stream/").await), 200);
    });
    assert_eq!(
        response.expect("a complete response").status,
        StatusCode::OK
    );
    let stopped = Instant::now();
    assert_eq!(gateway.process.wait(), Some(0));
    assert!(
        stopped.elapsed() < Duration::from_secs(3),
        "the platform kills a process after the grace period"
    );
}

#[tokio::test]
async fn a_response_to_another_request_is_not_forwarded() {
    let (_world, upstreams, gateway) = start(vec![vec![Behaviour::WrongRequestId]]).await;
    for path in ["/once/", "/safe/", "/stream/", "/resumable/"] {
        let response = gateway.send(path).await;
        let status = status(&response);
        assert!(matches!(status, 0 | 502 | 504), "{path}: {response:?}");
    }
    assert!(!upstreams[0].received().is_empty());
}

#[tokio::test]
async fn an_extra_response_on_a_reused_connection_is_not_forwarded() {
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
        let response = http_client::call(callers, request.expect("a request"), LIMIT).await;
        let response = response.expect("a response");
        assert!(
            response.status != StatusCode::OK || response.body == id,
            "{id} got {:?}",
            response.body
        );
    }
}

#[tokio::test]
async fn changed_settings_take_effect_with_and_without_sighup() {
    let (first, upstreams, mut gateway) = start(vec![vec![Behaviour::Answer(200, "made")]]).await;
    for (number, has_signal) in [(2, true), (3, false)] {
        // A new store whose configuration has one more route; the upstream is the same.
        let next = TestEnvironment::start();
        let path = format!("/new{number}/");
        let mut changed = routes();
        changed.push(route(&path, "idempotent", 1));
        // The offsets in the new store are higher than those in the previous one.
        for version in 1..=number * 10 {
            next.configure(version, &changed).await;
            next.announce("i-0", &upstreams[0], "ready").await;
        }
        assert_eq!(status(&gateway.send(&path).await), 404);
        gateway.set("platform.address", &next.store().to_string(), has_signal);
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
