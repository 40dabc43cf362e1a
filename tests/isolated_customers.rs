//! Customers that configurations isolate and no longer isolate share no KV cache with others meanwhile.

mod gateway_world;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bulrushslip::platform::store_client::OPERATOR_TOPIC;
use gateway_world::{Behaviour, Gateway, LIMIT, TestEnvironment, Upstream, route, until};
use serde_json::json;
use tokio::time::sleep;

/// Time after which a configuration has taken effect at all instances.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

/// Number of requests that the tests of this process have sent.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Store with a configuration of three customers, and one engine that tells which domains it was sent.
struct IsolationWorld {
    store: TestEnvironment,
    engine: Upstream,
    /// Domains in which each customer has had KV cache made.
    made_by: BTreeMap<&'static str, BTreeSet<String>>,
}

impl IsolationWorld {
    async fn start() -> Self {
        let store = TestEnvironment::start();
        let engine = Upstream::start(vec![Behaviour::Answer(200, "done")]).await;
        store.announce_engine("i-1", &engine, 1).await;
        Self {
            store,
            engine,
            made_by: BTreeMap::new(),
        }
    }

    /// Writes a configuration that isolates these customers.
    async fn configure(&self, version: u64, isolated: &[&str]) {
        let mut route = route("/", "idempotent", 2);
        route["sticky"] = true.into();
        // A request that is not answered is sent again after twice the target, with the change in force.
        route["target-latency-ms"] = 1500.into();
        route["timeout-ms"] = 10_000.into();
        let tenants = ["a", "b", "c"].map(|name| {
            let key = format!("key-{name}");
            json!({"name": name, "api-keys": [key], "isolated": isolated.contains(&name)})
        });
        let document = json!({
            "version": version, "routes": [route], "tenants": tenants,
            "services": [{"name": "s", "max-connections": 100, "engine":
                {"kv-capacity-tokens": 100_000, "token-kv-bytes": 1000.0, "link-mbps": 1000.0}}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": 1000,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        });
        let document = document.to_string();
        self.store.put(OPERATOR_TOPIC, "config", &document).await;
    }

    /// Sends a request of a customer and returns the domain that the engine was sent.
    async fn domain(&mut self, gateway: &Gateway, customer: &'static str) -> String {
        let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
        let (id, key) = (format!("r{number}"), format!("key-{customer}"));
        let prompt = format!("first:8000,second:5300,own{number}:400");
        let headers = [
            ("x-api-key", key.as_str()),
            ("x-model", "m"),
            ("x-token-usage", "13700,4"),
            ("x-prompt-prefix", prompt.as_str()),
        ];
        let response = gateway.send_as(&id, "/review", &headers, "body").await;
        assert_eq!(response.expect("a response").status, hyper::StatusCode::OK);
        let seen = self.engine.seen.recv_timeout(LIMIT).expect("a request");
        assert_eq!(seen.headers["x-request-id"], id);
        let domain = seen.headers.get("x-cache-salt").cloned();
        let domain = domain.expect("a domain");
        let made = self.made_by.entry(customer).or_default();
        made.insert(domain.clone());
        domain
    }

    /// Asserts that `isolated` shares with nobody at any gateway, that the others share with each other, and
    /// that the gateways agree. Returns the domain of the others.
    async fn assert_isolated(&mut self, gateways: &[Gateway], isolated: &'static str) -> String {
        let others = ["a", "b", "c"].into_iter().filter(|name| *name != isolated);
        let others: Vec<&'static str> = others.collect();
        let mut shared = BTreeSet::new();
        for gateway in gateways {
            let own = self.domain(gateway, isolated).await;
            for other in &others {
                let domain = self.domain(gateway, other).await;
                assert!(
                    !self.made_by[isolated].contains(&domain),
                    "{other} uses what {isolated} made"
                );
                assert!(
                    !self.made_by[other].contains(&own),
                    "{isolated} uses what {other} made"
                );
                shared.insert(domain);
            }
        }
        assert_eq!(shared.len(), 1, "the others share: {shared:?}");
        shared.pop_first().expect("a domain")
    }

    /// Asserts that all customers share at all gateways.
    async fn assert_shared(&mut self, gateways: &[Gateway]) {
        let mut shared = BTreeSet::new();
        for gateway in gateways {
            for customer in ["a", "b", "c"] {
                shared.insert(self.domain(gateway, customer).await);
            }
        }
        assert_eq!(shared.len(), 1, "all share: {shared:?}");
    }
}

async fn start_gateway(world: &IsolationWorld, name: &str, peers: &[Gateway]) -> Gateway {
    let seeds = peers.iter().map(|peer| peer.process.port("peers"));
    let seeds: Vec<_> = seeds.collect();
    let gateway = Gateway::start(name, world.store.store(), &seeds);
    gateway.ready().await;
    gateway
}

/// Guards against requests that use the KV cache which a customer made before it was isolated, also at
/// instances that start after the change and when it is isolated for a second time.
#[tokio::test]
async fn what_a_customer_made_before_it_was_isolated_is_used_by_nobody_else() {
    let mut world = IsolationWorld::start().await;
    world.configure(1, &[]).await;
    let first = start_gateway(&world, "g", &[]).await;
    let second = start_gateway(&world, "gg", std::slice::from_ref(&first)).await;
    let mut gateways = vec![first, second];
    world.assert_shared(&gateways).await;
    world.configure(2, &["a"]).await;
    sleep(APPLY_LIMIT).await;
    gateways.push(start_gateway(&world, "ggg", &gateways).await);
    let domain = world.assert_isolated(&gateways, "a").await;
    world.configure(3, &["a"]).await;
    sleep(APPLY_LIMIT).await;
    let unchanged = world.assert_isolated(&gateways, "a").await;
    assert_eq!(
        unchanged, domain,
        "a change of something else costs nothing"
    );
    world.configure(4, &[]).await;
    sleep(APPLY_LIMIT).await;
    world.assert_shared(&gateways).await;
    world.configure(5, &["b"]).await;
    sleep(APPLY_LIMIT).await;
    world.assert_isolated(&gateways, "b").await;
    world.configure(6, &["a"]).await;
    sleep(APPLY_LIMIT).await;
    world.assert_isolated(&gateways, "a").await;
}

/// Guards against requests that go on in the old domain because they were received before the change.
#[tokio::test]
async fn a_request_that_is_sent_again_after_a_change_uses_the_new_domain() {
    let mut world = IsolationWorld::start().await;
    world.engine = Upstream::start(vec![
        Behaviour::Answer(200, "done"),
        Behaviour::Wait,
        Behaviour::Answer(200, "done"),
    ])
    .await;
    world.store.announce_engine("i-1", &world.engine, 1).await;
    let other = Upstream::start(vec![Behaviour::Answer(200, "done")]).await;
    world.configure(1, &[]).await;
    let gateway = start_gateway(&world, "g", &[]).await;
    let before = world.domain(&gateway, "a").await;
    let headers = [
        ("x-api-key", "key-b"),
        ("x-model", "m"),
        ("x-token-usage", "13700,4"),
        ("x-prompt-prefix", "first:8000,second:5300,own:400"),
    ];
    let waiting = gateway.send_as("waiting", "/review", &headers, "body");
    let change = async {
        let mut first = None;
        until("received", async || {
            first = world.engine.seen.try_recv().ok();
            first.is_some()
        })
        .await;
        assert_eq!(first.expect("a request").headers["x-cache-salt"], before);
        world.store.announce_engine("i-2", &other, 1).await;
        world.configure(2, &["a"]).await;
    };
    let (response, ()) = tokio::join!(waiting, change);
    assert_eq!(response.expect("a response").status, hyper::StatusCode::OK);
    let again = other.seen.try_recv().expect("the request is sent again");
    assert_eq!(again.headers["x-request-id"], "waiting");
    assert_ne!(again.headers["x-cache-salt"], before);
}
