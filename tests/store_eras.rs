//! Orders to upstreams while the store comes back from an older copy.

mod gateway_world;
mod order_watch;

use std::time::Duration;

use bulrushslip::platform::http_client::{call, request};
use bulrushslip::platform::store_client::UPSTREAM_TOPIC;
use gateway_world::{Gateway, LIMIT, TestEnvironment, until};
use http_body_util::Full;
use hyper::Method;
use order_watch::{OrderWatch, broken_rules};
use serde_json::json;

/// Minimum time between orders of two holders, as in the settings of the gateways.
const MIN_HOLDER_INTERVAL: Duration = Duration::from_secs(3);

/// Number of orders of a holder after which its next fence is well beyond the first.
const SOME_ORDERS: usize = 3;

/// Longest time between two claims of an instance whose orders are refused.
const CLAIM_INTERVAL: Duration = Duration::from_millis(700);

/// Store with a copy from before any order, engines that refuse all orders, and a new version.
struct Drill {
    environment: TestEnvironment,
    engines: OrderWatch,
}

impl Drill {
    async fn start() -> Self {
        let drill = Self {
            environment: TestEnvironment::start(),
            engines: OrderWatch::start(1).await,
        };
        drill.environment.configure_engines(1, &[]).await;
        drill.announce().await;
        drill.control("copy").await;
        drill.environment.name_version(2).await;
        drill
    }

    async fn control(&self, fault: &str) {
        let store = self.environment.store();
        let request = request(Method::POST, store, &format!("/admin/{fault}"));
        let request = request.body(Full::default()).expect("a request");
        call(store, request, LIMIT).await.expect("a response");
    }

    async fn announce(&self) {
        let entry = json!({"service": "s", "address": self.engines.addresses[0], "zone": "near",
            "slots": 8, "version": "v1", "cold-left-ms": 0, "sequence": 0, "state": "ready", "born": 1, "models": [{"name": "m", "version": 1}]});
        let entry = entry.to_string();
        self.environment.put(UPSTREAM_TOPIC, "i-0", &entry).await;
    }

    fn gateway(&self, name: &str) -> Gateway {
        self.environment.gateway(name)
    }

    /// Lets the store come back from the copy, and writes again what operators and upstreams wrote.
    async fn restore(&self) {
        self.control("restore?ms=0").await;
        // What is written again gets its answers.
        self.control("lose-answers?next=0").await;
        self.environment.name_version(2).await;
        self.announce().await;
    }

    /// Lets the instances that go on give some more orders.
    async fn go_on(&self) {
        let known = self.engines.orders().len();
        until("further orders", async || {
            self.engines.orders().len() >= known + SOME_ORDERS
        })
        .await;
    }

    async fn ordered(&self, holder: &str, count: usize) {
        until("orders", async || self.engines.count(holder) >= count).await;
    }

    fn assert_one_holder(&self) {
        let orders = self.engines.orders();
        let broken = broken_rules(&orders, MIN_HOLDER_INTERVAL);
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_takes_over_after_a_drill_of_the_store_gives_no_fence_again() {
    let drill = Drill::start().await;
    let mut first = drill.gateway("g");
    drill.ordered("g", SOME_ORDERS).await;
    let _second = drill.gateway("gg");
    first.process.kill();
    drill.restore().await;
    drill.ordered("gg", SOME_ORDERS).await;
    drill.assert_one_holder();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_starts_after_a_drill_of_the_store_waits_for_lost_claims_to_expire() {
    let drill = Drill::start().await;
    let first = drill.gateway("g");
    drill.ordered("g", SOME_ORDERS).await;
    drill.restore().await;
    drop(first);
    let _second = drill.gateway("gg");
    drill.ordered("gg", SOME_ORDERS).await;
    drill.assert_one_holder();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_outlives_a_drill_of_the_store_gives_no_lower_fence() {
    let drill = Drill::start().await;
    let _gateway = drill.gateway("g");
    drill.ordered("g", SOME_ORDERS).await;
    drill.restore().await;
    drill
        .ordered("g", drill.engines.count("g") + SOME_ORDERS)
        .await;
    drill.assert_one_holder();
}

#[tokio::test(flavor = "multi_thread")]
async fn two_drills_of_the_store_within_a_second_let_no_fence_be_given_again() {
    let drill = Drill::start().await;
    let mut first = drill.gateway("g");
    drill.ordered("g", SOME_ORDERS).await;
    let _second = drill.gateway("gg");
    drill.restore().await;
    first.process.kill();
    drill.restore().await;
    drill.ordered("gg", SOME_ORDERS).await;
    drill.assert_one_holder();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_without_an_answer_right_before_a_drill_is_not_used_after_it() {
    let drill = Drill::start().await;
    let _gateways = [drill.gateway("g"), drill.gateway("gg")];
    drill.go_on().await;
    for _ in 0..3 {
        drill.control("lose-answers?next=1").await;
        tokio::time::sleep(CLAIM_INTERVAL).await;
        drill.restore().await;
        drill.go_on().await;
    }
    drill.assert_one_holder();
}

/// The copy has claims of the instance that is killed, and lacks newer ones.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_with_some_claims_of_an_instance_lets_the_next_one_wait_for_those_that_are_lost() {
    let drill = Drill::start().await;
    let mut first = drill.gateway("g");
    drill.ordered("g", SOME_ORDERS).await;
    drill.control("copy").await;
    let _second = drill.gateway("gg");
    drill.go_on().await;
    first.process.kill();
    drill.restore().await;
    drill.ordered("gg", SOME_ORDERS).await;
    drill.assert_one_holder();
}
