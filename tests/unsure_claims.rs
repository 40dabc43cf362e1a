//! Claims on orders whose append the store carries out late, or answers late or twice.

mod gateway_world;
mod order_watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bulrushslip::platform::store_client::{ORDER_TOPIC, UPSTREAM_TOPIC};
use gateway_world::{Gateway, TestEnvironment, until};
use order_watch::{OrderWatch, broken_rules};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const MIN_HOLDER_INTERVAL: Duration = Duration::from_secs(3);

/// Number of times that the holder is killed.
const ROUNDS: usize = 4;

/// What befalls each other claim on its way to the store.
#[derive(Debug, Clone, Copy)]
enum ClaimFault {
    /// It is appended after this time, and its connection closes at once.
    AppendedLate(Duration),
    /// It is appended at once and answered after this time.
    AnsweredLate(Duration),
    /// It is appended once and answered twice.
    AnsweredTwice,
}

/// Starts a relay to the store.
async fn relay(store: SocketAddr, fault: ClaimFault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let claims = Arc::new(AtomicUsize::new(0));
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(store).await.expect("a store");
            let claims = Arc::clone(&claims);
            tokio::spawn(async move { drop(pass(near, far, fault, &claims).await) });
        }
    });
    address
}

/// Passes calls and responses on, one at a time.
async fn pass(
    mut near: TcpStream,
    mut far: TcpStream,
    fault: ClaimFault,
    claims: &AtomicUsize,
) -> std::io::Result<()> {
    let claim_start = format!("POST /log-append?topic={ORDER_TOPIC}&");
    let (mut call, mut response) = (vec![0; 65_536], vec![0; 65_536]);
    let mut is_hit = false;
    loop {
        tokio::select! {
            count = near.read(&mut call) => {
                let part = &call[..count?];
                if part.is_empty() {
                    return Ok(());
                }
                let is_claim = part.starts_with(claim_start.as_bytes());
                is_hit = is_claim
                    && claims.fetch_add(1, Ordering::Relaxed) % 2 == 1;
                if let (true, ClaimFault::AppendedLate(delay)) = (is_hit, fault) {
                    drop(near);
                    sleep(delay).await;
                    far.write_all(part).await?;
                    // The connection stays open until the store has answered.
                    return far.read(&mut response).await.map(drop);
                }
                far.write_all(part).await?;
            }
            count = far.read(&mut response) => {
                let part = &response[..count?];
                if part.is_empty() {
                    return Ok(());
                }
                if let (true, ClaimFault::AnsweredLate(delay)) = (is_hit, fault) {
                    sleep(delay).await;
                }
                near.write_all(part).await?;
                if is_hit && matches!(fault, ClaimFault::AnsweredTwice) {
                    near.write_all(part).await?;
                }
            }
        }
    }
}

/// Plays orders of two instances, of which the holder is killed and restarts.
async fn assert_one_holder(fault: ClaimFault) {
    let environment = TestEnvironment::start();
    let engines = OrderWatch::start(2).await;
    environment.configure_engines(1, &[]).await;
    for (index, address) in engines.addresses.iter().enumerate() {
        let entry = json!({"service": "s", "address": address, "zone": "near",
            "slots": 8, "version": "v1", "cold-left-ms": 0, "sequence": 0, "state": "ready", "born": 1, "models": [{"name": "m", "version": 1}]});
        let id = format!("i-{index}");
        environment
            .put(UPSTREAM_TOPIC, &id, &entry.to_string())
            .await;
    }
    let store = relay(environment.store(), fault).await;
    environment.name_version(2).await;
    let start = |name| Gateway::start(name, store, &[]);
    let names = ["g", "gg"];
    let mut gateways = names.map(start);
    until("an order", async || !engines.orders().is_empty()).await;
    for _ in 0..ROUNDS {
        let orders = engines.orders();
        let last = orders.last().expect("an order");
        let holder = usize::from(last.holder != names[0]);
        let next = names[1 - holder];
        let known = engines.count(next);
        gateways[holder].process.kill();
        until("orders of the next", async || {
            engines.count(next) > known + 2
        })
        .await;
        gateways[holder] = start(names[holder]);
    }
    let orders = engines.orders();
    let broken = broken_rules(&orders, MIN_HOLDER_INTERVAL);
    assert!(broken.is_empty(), "{broken:#?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_appended_seconds_late_is_not_taken_as_granted() {
    assert_one_holder(ClaimFault::AppendedLate(Duration::from_millis(1_800))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_answered_late_is_not_taken_as_granted() {
    assert_one_holder(ClaimFault::AnsweredLate(Duration::from_millis(900))).await;
    assert_one_holder(ClaimFault::AnsweredLate(Duration::from_millis(1_100))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_answer_to_a_claim_is_not_taken_for_that_to_the_next() {
    assert_one_holder(ClaimFault::AnsweredTwice).await;
}
