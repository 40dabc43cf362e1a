//! What gateways know of routes, keys, upstreams and weights while the store comes back from an older copy.

#[path = "soak_world/proxy.rs"]
#[expect(dead_code, reason = "the soak uses the rest")]
mod proxy;

mod gateway_world;
mod order_watch;

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::{call, request};
use bulrushslip::platform::store_client::{OPERATOR_TOPIC, StoreClient, UPSTREAM_TOPIC};
use bulrushslip::platform::store_records::encode_keyed;
use futures::future::join_all;
use gateway_world::{Behaviour, Gateway, LIMIT, TestEnvironment, Upstream, route, until};
use http_body_util::Full;
use hyper::{Method, StatusCode};
use order_watch::OrderWatch;
use proxy::{LinkFault, LinkProxy};
use serde_json::json;
use tokio::time::sleep;

/// Time in which a record takes effect (`config-apply-ms`, `drain-ms`).
const EFFECT_LIMIT: Duration = Duration::from_secs(2);

/// Time in which no request begins on older weights (`version-ms`), as in the settings of the gateways.
const WEIGHTS_LIMIT: Duration = Duration::from_secs(8);

/// Time between two requests to a gateway.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Time from a drill to the next heartbeat of an upstream (`heartbeat-ms` is 1.2 s).
const HEARTBEAT_LAG: Duration = Duration::from_millis(1_100);

/// Heartbeats that are lost in a drill, more than what is written after it.
const LOST_BEATS: usize = 20;

/// Heartbeats of an upstream that gateways know.
const LATER_BEATS: usize = 5;

/// Version of the last configuration that is lost.
const LOST_VERSION: u64 = 4;

/// Key of a customer that is valid all the time.
const KEY: &str = "key";

/// Keys that configurations take away.
const KEYS_TAKEN: [&str; 2] = ["first", "second"];

/// Upstream that writes its entry with a count of its heartbeats.
#[derive(Debug)]
struct ListedUpstream {
    upstream: Upstream,
    id: &'static str,
    service: &'static str,
    state: &'static str,
    born: u64,
    sequence: u64,
}

impl ListedUpstream {
    async fn start(id: &'static str) -> Self {
        Self {
            upstream: Upstream::start(vec![Behaviour::Answer(200, "made")]).await,
            id,
            service: "s",
            state: "ready",
            born: 1,
            sequence: 0,
        }
    }

    /// Writes the next entry; returns when the store had accepted it.
    async fn beat(&mut self, world: &DrillWorld) -> Instant {
        self.sequence += 1;
        let entry = json!({"service": self.service, "address": self.upstream.address, "zone": "near",
            "slots": 8, "version": "v1", "cold-left-ms": 0, "state": self.state, "born": self.born, "sequence": self.sequence,
            "models": []});
        world.put(UPSTREAM_TOPIC, self.id, &entry.to_string()).await
    }

    async fn drain(&mut self, world: &DrillWorld) -> Instant {
        self.state = "draining";
        self.beat(world).await
    }

    async fn remove(&self, world: &DrillWorld) {
        world.put(UPSTREAM_TOPIC, self.id, "").await;
    }

    async fn start_again(&mut self, world: &DrillWorld) -> Instant {
        self.state = "ready";
        self.born += 1;
        self.sequence = 0;
        self.beat(world).await
    }
}

/// Store and gateways.
struct DrillWorld {
    environment: TestEnvironment,
    gateways: Vec<Gateway>,
}

impl DrillWorld {
    /// Starts the store with the first configuration.
    async fn start() -> Self {
        let world = Self {
            environment: TestEnvironment::start(),
            gateways: Vec::new(),
        };
        world.configure(1).await;
        world
    }

    /// Starts the store and an upstream that its gateways use.
    async fn start_with_upstream() -> (Self, ListedUpstream) {
        let world = Self::start().await;
        let mut upstream = ListedUpstream::start("i-0").await;
        upstream.beat(&world).await;
        (world, upstream)
    }

    /// Starts gateways that know each other; they are ready if an upstream is listed.
    async fn run_gateways(&mut self, count: usize) {
        for _ in 0..count {
            self.add_gateway(self.environment.store());
        }
        self.meet().await;
    }

    /// Starts one more gateway, with the given address of the store.
    fn add_gateway(&mut self, store: SocketAddr) {
        let known = self.gateways.iter();
        let seeds: Vec<_> = known.map(|known| known.process.port("peers")).collect();
        let name = "g".repeat(1 + seeds.len());
        self.gateways.push(Gateway::start(&name, store, &seeds));
    }

    /// Waits until all gateways are ready and know each other.
    async fn meet(&self) {
        let others = self.gateways.len() - 1;
        for gateway in &self.gateways {
            gateway.ready().await;
            until("all peers", async || {
                gauge(gateway, "peers").await == others
            })
            .await;
        }
    }

    async fn control(&self, fault: &str) {
        let store = self.environment.store();
        let request = request(Method::POST, store, &format!("/admin/{fault}"));
        let request = request.body(Full::default()).expect("a request");
        call(store, request, LIMIT).await.expect("a response");
    }

    /// Writes a record, again if the store is away; returns when the store had accepted it.
    async fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let record = encode_keyed(key, value.as_bytes()).expect("a short key");
        let mut store = StoreClient::new(self.environment.store());
        until("an append", async || {
            store.append(topic, &record).await.is_ok()
        })
        .await;
        Instant::now()
    }

    /// Writes a configuration that has one route more than the version before.
    async fn configure(&self, version: u64) -> Instant {
        self.configure_keys(version, &KEYS_TAKEN).await
    }

    async fn configure_keys(&self, version: u64, others: &[&str]) -> Instant {
        let routes = (1..=version).map(|version| route(&added_path(version), "idempotent", 2));
        let keys: Vec<&str> = others.iter().copied().chain([KEY]).collect();
        let document = json!({
            "version": version,
            "routes": routes.collect::<Vec<_>>(),
            "services": [{"name": "s", "max-connections": 100, "engine": {
                "kv-capacity-tokens": 100_000, "token-kv-bytes": 1000.0, "link-mbps": 1000.0}}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 1_000,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "customer", "api-keys": keys}],
        });
        self.put(OPERATOR_TOPIC, "config", &document.to_string())
            .await
    }

    async fn name_version(&self, version: u64) -> Instant {
        let target = json!({"model": "m", "version": version});
        self.put(OPERATOR_TOPIC, "version/m", &target.to_string())
            .await
    }

    /// Writes several configurations after a copy of the store, and waits until they are in force.
    async fn lose_configurations(&self) {
        self.control("copy").await;
        for version in 2..=LOST_VERSION {
            self.configure(version).await;
        }
        self.assert_in_force(LOST_VERSION, Instant::now()).await;
    }

    /// Lets the store come back from the copy after some time.
    async fn restore(&self, away: Duration) {
        let fault = format!("restore?ms={}", away.as_millis());
        self.control(&fault).await;
    }

    /// Returns the gateways at which something does not hold within the limit.
    async fn gateways_without(
        &self,
        since: Instant,
        holds: impl AsyncFn(&Gateway) -> bool,
    ) -> Vec<usize> {
        let holds = &holds;
        let checks = self.gateways.iter().enumerate();
        let checks = checks.map(async |(index, gateway)| {
            loop {
                let is_last = since.elapsed() >= EFFECT_LIMIT;
                if holds(gateway).await {
                    return None;
                }
                if is_last {
                    return Some(index);
                }
                sleep(REQUEST_INTERVAL).await;
            }
        });
        join_all(checks).await.into_iter().flatten().collect()
    }

    async fn assert_in_force(&self, version: u64, acknowledged_at: Instant) {
        let path = added_path(version);
        let is_in_force = async |gateway: &Gateway| status(gateway, &path, KEY).await == Some(200);
        let without = self.gateways_without(acknowledged_at, is_in_force).await;
        assert!(
            without.is_empty(),
            "version {version} is not in force at the gateways {without:?}"
        );
    }

    async fn assert_refused(&self, key: &str, acknowledged_at: Instant) {
        let is_refused = async |gateway: &Gateway| status(gateway, "/v1/", key).await == Some(401);
        let without = self.gateways_without(acknowledged_at, is_refused).await;
        assert!(
            without.is_empty(),
            "{key:?} is accepted at the gateways {without:?}"
        );
    }

    async fn assert_open(&self, upstreams: usize, acknowledged_at: Instant) {
        let is_open = async |gateway: &Gateway| gauge(gateway, "open_upstreams").await == upstreams;
        let without = self.gateways_without(acknowledged_at, is_open).await;
        assert!(
            without.is_empty(),
            "the gateways {without:?} do not use {upstreams} upstreams"
        );
    }

    /// Sends requests with a key to all gateways until some work has ended; returns the responses that
    /// differ from what is expected.
    async fn unexpected_during(
        &self,
        key: &str,
        expected: u16,
        work: impl Future<Output = ()>,
    ) -> Vec<Option<u16>> {
        let has_ended = Cell::new(false);
        let has_ended = &has_ended;
        let senders = self.gateways.iter().map(async |gateway| {
            let mut unexpected = Vec::new();
            while !has_ended.get() {
                let status = status(gateway, "/v1/", key).await;
                unexpected.extend((status != Some(expected)).then_some(status));
                sleep(REQUEST_INTERVAL).await;
            }
            unexpected
        });
        let work = async {
            work.await;
            has_ended.set(true);
        };
        let (unexpected, ()) = futures::join!(join_all(senders), work);
        unexpected.concat()
    }

    /// Sends valid requests to all gateways until some work has ended; all have to be served.
    async fn serve_during(&self, work: impl Future<Output = ()>) {
        let failed = self.unexpected_during(KEY, 200, work).await;
        assert!(failed.is_empty(), "requests failed: {failed:?}");
    }
}

/// Returns the path of the route that a version of the configuration has added.
fn added_path(version: u64) -> String {
    format!("/v{version}/")
}

/// Returns the status of the response to a request; `None` if there was none.
async fn status(gateway: &Gateway, path: &str, key: &str) -> Option<u16> {
    let response = gateway.send_with(path, &[("x-api-key", key)], "body").await;
    response.ok().map(|response| response.status.as_u16())
}

/// Returns a gauge of the gateway's metrics; 0 if there is none.
async fn gauge(gateway: &Gateway, name: &str) -> usize {
    let address = gateway.process.port("metrics");
    let request = request(Method::GET, address, "/metrics").body(Full::default());
    let response = call(address, request.expect("a request"), LIMIT).await;
    let response = response.expect("metrics");
    assert_eq!(response.status, StatusCode::OK);
    let text = String::from_utf8_lossy(&response.body).into_owned();
    let prefix = format!("bulrushslip_{name} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&prefix));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Guards against routes that never take effect because their record has a lower offset than those lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_a_drill_is_in_force_at_all_gateways_in_time() {
    let (mut world, _upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(4).await;
    world.lose_configurations().await;
    world.restore(Duration::ZERO).await;
    world.configure(LOST_VERSION).await;
    let acknowledged_at = world.configure(LOST_VERSION + 1).await;
    world
        .assert_in_force(LOST_VERSION + 1, acknowledged_at)
        .await;
}

/// Guards against keys that are valid again with an older configuration, or for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_taken_away_around_a_drill_stays_refused() {
    let (mut world, _upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(3).await;
    let [first, second] = KEYS_TAKEN;
    world.control("copy").await;
    world.assert_in_force(1, Instant::now()).await;
    for key in KEYS_TAKEN {
        assert_eq!(status(&world.gateways[0], "/v1/", key).await, Some(200));
    }
    for version in 2..=LOST_VERSION {
        world.configure_keys(version, &[second]).await;
    }
    world.assert_refused(first, Instant::now()).await;
    world.assert_in_force(LOST_VERSION, Instant::now()).await;
    let work = async {
        world.restore(Duration::ZERO).await;
        // The copy, in which the key is valid, is known to all by then.
        sleep(EFFECT_LIMIT).await;
        world.configure_keys(LOST_VERSION, &[second]).await;
        let acknowledged_at = world.configure_keys(LOST_VERSION + 1, &[]).await;
        world.assert_refused(second, acknowledged_at).await;
    };
    let accepted = world.unexpected_during(first, 401, work).await;
    assert!(accepted.is_empty(), "not refused: {accepted:?}");
}

/// Guards against gateways that do not see that an upstream drains.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_drains_after_a_drill_gets_no_request_after_the_limit() {
    let (mut world, mut leaving) = DrillWorld::start_with_upstream().await;
    world.run_gateways(4).await;
    let mut steady = ListedUpstream::start("i-1").await;
    let mut late = ListedUpstream::start("i-2").await;
    steady.beat(&world).await;
    world.control("copy").await;
    for _ in 0..LOST_BEATS {
        steady.beat(&world).await;
    }
    late.beat(&world).await;
    world.assert_open(3, Instant::now()).await;
    world.restore(Duration::ZERO).await;
    for upstream in [&mut leaving, &mut steady, &mut late] {
        upstream.beat(&world).await;
    }
    let drained_at = leaving.drain(&world).await;
    let work = sleep(EFFECT_LIMIT + EFFECT_LIMIT / 4);
    world.serve_during(work).await;
    let limit = drained_at + EFFECT_LIMIT;
    let received = leaving.upstream.received();
    let late = received.iter().filter(|seen| seen.at > limit).count();
    assert_eq!(late, 0, "requests after the limit");
}

/// Guards against requests to an upstream of which the copy says that it is ready, and against an entry
/// of its next run that is taken for an old one.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_drain_a_drill_has_lost_gets_requests_from_its_next_run_on() {
    let (mut world, mut leaving) = DrillWorld::start_with_upstream().await;
    world.run_gateways(4).await;
    let mut steady = ListedUpstream::start("i-1").await;
    steady.beat(&world).await;
    world.assert_open(2, Instant::now()).await;
    // Gateways that do not read the store learn of no further heartbeat.
    for _ in 0..LATER_BEATS {
        leaving.beat(&world).await;
    }
    world.control("copy").await;
    for _ in 0..LOST_BEATS {
        steady.beat(&world).await;
    }
    leaving.drain(&world).await;
    world.assert_open(1, Instant::now()).await;
    leaving.upstream.received();
    let work = async {
        world.restore(Duration::ZERO).await;
        steady.beat(&world).await;
        sleep(EFFECT_LIMIT).await;
    };
    world.serve_during(work).await;
    assert_eq!(
        leaving.upstream.received().len(),
        0,
        "requests after the drill"
    );
    let started_at = leaving.start_again(&world).await;
    world.assert_open(2, started_at).await;
}

/// Guards against requests to an upstream of which the copy has an entry, and against a heartbeat that is
/// taken for an old one.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_removal_a_drill_has_lost_gets_requests_from_its_next_heartbeat_on() {
    let (mut world, mut leaving) = DrillWorld::start_with_upstream().await;
    world.run_gateways(4).await;
    let mut steady = ListedUpstream::start("i-1").await;
    steady.beat(&world).await;
    world.assert_open(2, Instant::now()).await;
    // Gateways that do not read the store learn of no further heartbeat.
    for _ in 0..LATER_BEATS {
        leaving.beat(&world).await;
    }
    world.control("copy").await;
    for _ in 0..LOST_BEATS {
        steady.beat(&world).await;
    }
    leaving.beat(&world).await;
    leaving.remove(&world).await;
    world.assert_open(1, Instant::now()).await;
    leaving.upstream.received();
    let work = async {
        world.restore(Duration::ZERO).await;
        steady.beat(&world).await;
        sleep(EFFECT_LIMIT).await;
    };
    world.serve_during(work).await;
    assert_eq!(
        leaving.upstream.received().len(),
        0,
        "requests after the drill"
    );
    let returned_at = leaving.beat(&world).await;
    world.assert_open(2, returned_at).await;
}

/// Guards against upstreams that are removed because the copy does not list them yet.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_whose_registration_a_drill_has_lost_is_used_on() {
    let (mut world, mut leaving) = DrillWorld::start_with_upstream().await;
    world.run_gateways(3).await;
    leaving.drain(&world).await;
    world.control("copy").await;
    let mut only = ListedUpstream::start("i-1").await;
    only.beat(&world).await;
    for _ in 0..LOST_BEATS {
        leaving.beat(&world).await;
    }
    // No request uses it, and once it is known, all that is lost was read.
    let mut last = ListedUpstream::start("i-2").await;
    last.service = "other";
    last.beat(&world).await;
    world.assert_open(2, Instant::now()).await;
    let work = async {
        world.restore(Duration::ZERO).await;
        for _ in 0..LOST_BEATS / 2 {
            leaving.beat(&world).await;
        }
        sleep(HEARTBEAT_LAG).await;
        only.beat(&world).await;
        last.beat(&world).await;
        // A removal that was deferred would take effect in this time.
        sleep(EFFECT_LIMIT).await;
    };
    world.serve_during(work).await;
}

/// Guards against orders that stay at the version that was named before.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_named_after_a_drill_reaches_the_orders_in_time() {
    let mut world = DrillWorld::start().await;
    let engines = OrderWatch::start(1).await;
    let entry = json!({"service": "s", "address": engines.addresses[0], "zone": "near",
        "slots": 8, "version": "v1", "cold-left-ms": 0, "sequence": 0, "state": "ready", "born": 1, "models": [{"name": "m", "version": 1}]});
    let entry = entry.to_string();
    world.put(UPSTREAM_TOPIC, "i-0", &entry).await;
    world.run_gateways(2).await;
    world.control("copy").await;
    for version in 2..=LOST_VERSION {
        world.name_version(version).await;
    }
    let is_ordered = async |version| engines.newest_version() == version;
    until("an order", async || is_ordered(LOST_VERSION).await).await;
    world.restore(Duration::ZERO).await;
    world.put(UPSTREAM_TOPIC, "i-0", &entry).await;
    world.name_version(LOST_VERSION).await;
    let named_at = world.name_version(LOST_VERSION + 1).await;
    until("an order of the next version", async || {
        let is_late = named_at.elapsed() > WEIGHTS_LIMIT;
        is_late || is_ordered(LOST_VERSION + 1).await
    })
    .await;
    assert_eq!(engines.newest_version(), LOST_VERSION + 1);
}

/// Guards against instances that never learn of an era that they cannot read themselves.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_the_store_learns_from_its_peers_what_is_written_after_a_drill() {
    let (mut world, mut upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(2).await;
    let link = LinkProxy::start(world.environment.store()).await;
    world.add_gateway(link.address);
    world.meet().await;
    world.lose_configurations().await;
    for _ in 0..LOST_BEATS {
        upstream.beat(&world).await;
    }
    link.set(LinkFault::Silent);
    world.restore(Duration::ZERO).await;
    upstream.beat(&world).await;
    world.configure(LOST_VERSION).await;
    let acknowledged_at = world.configure(LOST_VERSION + 1).await;
    world
        .assert_in_force(LOST_VERSION + 1, acknowledged_at)
        .await;
    let mut next = ListedUpstream::start("i-1").await;
    let listed_at = next.beat(&world).await;
    world.assert_open(2, listed_at).await;
}

/// Guards against instances that take over what others know of the era before.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_that_starts_after_a_drill_puts_what_is_written_next_in_force() {
    let (mut world, _upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(2).await;
    world.lose_configurations().await;
    world.restore(Duration::ZERO).await;
    world.add_gateway(world.environment.store());
    world.meet().await;
    world.configure(LOST_VERSION).await;
    let acknowledged_at = world.configure(LOST_VERSION + 1).await;
    world
        .assert_in_force(LOST_VERSION + 1, acknowledged_at)
        .await;
}

/// Guards against a second era that is taken for the first.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_two_drills_within_a_second_is_in_force_in_time() {
    let (mut world, _upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(3).await;
    world.lose_configurations().await;
    world.restore(Duration::ZERO).await;
    world.configure(LOST_VERSION).await;
    world.configure(LOST_VERSION + 1).await;
    world.restore(Duration::ZERO).await;
    world.configure(LOST_VERSION + 1).await;
    let acknowledged_at = world.configure(LOST_VERSION + 2).await;
    world
        .assert_in_force(LOST_VERSION + 2, acknowledged_at)
        .await;
}

/// Guards against an era that begins unseen while the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_written_after_a_drill_in_an_outage_is_in_force_in_time() {
    let (mut world, _upstream) = DrillWorld::start_with_upstream().await;
    world.run_gateways(3).await;
    world.lose_configurations().await;
    world.restore(Duration::from_secs(2)).await;
    world.configure(LOST_VERSION).await;
    let acknowledged_at = world.configure(LOST_VERSION + 1).await;
    world
        .assert_in_force(LOST_VERSION + 1, acknowledged_at)
        .await;
}
