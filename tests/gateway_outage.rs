//! End-to-end test of the gateway process while the store is out: requests go on.

#[path = "soak_world/proxy.rs"]
#[expect(dead_code, reason = "the soak uses the rest")]
mod proxy;

mod gateway_world;

use std::time::{Duration, Instant};

use gateway_world::{Behaviour, Gateway, TestEnvironment, Upstream, route};
use hyper::StatusCode;
use proxy::{LinkFault, LinkProxy};

/// Drain limit of a gateway whose settings state none.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// Guards against an outage that stops service: requests wait while the list of upstreams is too
/// old for the drain limit, but not once a read has failed, however the store fails.
#[tokio::test]
async fn requests_are_answered_however_the_store_fails() {
    let world = TestEnvironment::start();
    world
        .configure(1, &[route("/safe/", "idempotent", 2)])
        .await;
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    world.announce("i-0", &upstream, "ready").await;
    let faults = [
        ("a", LinkFault::Silent),
        ("ab", LinkFault::AnswersLost),
        ("abc", LinkFault::RequestsLost),
        ("abcd", LinkFault::Reset),
        ("abcde", LinkFault::TurnedAway),
    ];
    let outages = faults.map(|(name, fault)| serve_through(&world, name, fault));
    futures::future::join_all(outages).await;
}

/// Starts a gateway and sends it requests while its link to the store has the fault.
async fn serve_through(world: &TestEnvironment, name: &str, fault: LinkFault) {
    let link = LinkProxy::start(world.store()).await;
    let gateway = Gateway::start(name, link.address, &[]);
    gateway.ready().await;
    link.set(fault);
    let failed_at = Instant::now();
    while failed_at.elapsed() < DRAIN_LIMIT * 2 {
        let response = gateway.send("/safe/").await.expect("a response");
        let elapsed = failed_at.elapsed();
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{fault:?} after {elapsed:?}"
        );
    }
}
