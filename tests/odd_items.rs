//! Items of a listing that are not those of a key with a value, in a list of one page or many.

mod gateway_world;
mod paged_store;

use bulrushslip::platform::store_client::{OPERATOR_TOPIC, StoreClient, UPSTREAM_TOPIC};
use gateway_world::{Behaviour, TestEnvironment, Upstream, route, until};
use hyper::StatusCode;
use paged_store::PagedStore;

/// Keys on a page, so that all are on the first one.
const ALL_KEYS: usize = 500;

/// Items that still name the key after which a page continues.
const WITH_KEY: [&[u8]; 9] = [
    br#"{"key":"odd"}"#,
    br#"{"key":"odd","value":null,"offset":0}"#,
    br#"{"key":"odd","value":7,"offset":0}"#,
    br#"{"key":"odd","value":"~","offset":0}"#,
    br#"{"key":"odd","value":"e30=","offset":"0"}"#,
    br#"{"key":"odd","value":"e30=","offset":-1}"#,
    br#"{"key":"odd","value":"e30=","offset":1e300}"#,
    br#"{"key":"odd","value":{},"offset":[]}"#,
    br#"{"key":"odd","value":"e30=","offset":0,"more":true,"items":null}"#,
];

/// Items that name no key.
const WITHOUT_KEY: [&[u8]; 12] = [
    b"null",
    b"7",
    b"true",
    br#""odd""#,
    b"[]",
    b"{}",
    br#"{"key":null,"value":"e30=","offset":0}"#,
    br#"{"key":7,"value":"e30=","offset":0}"#,
    br#"{"key":["odd"],"value":"e30=","offset":0}"#,
    br#"{"key":"odd","key":"odd","value":"e30=","offset":0}"#,
    br#"{"key":"odd\ud800","value":"e30=","offset":0}"#,
    br#"{"value":"e30=","offset":0}"#,
];

/// Returns the items, and some that are deeply nested or no valid text.
fn odd_items() -> Vec<Vec<u8>> {
    let nested = [b"[".repeat(10_000), b"]".repeat(10_000)].concat();
    let keys = [
        br#"{"key":"odd"#.as_slice(),
        b"\xff",
        br#"","value":"e30=","offset":0}"#,
    ];
    let shapes = WITH_KEY.iter().chain(&WITHOUT_KEY);
    let shapes = shapes.map(|item| item.to_vec());
    shapes.chain([nested, keys.concat()]).collect()
}

/// Writes an entry and shows an item for it.
fn show(store: &PagedStore, topic: &str, key: &str, item: &[u8]) {
    store.put(topic, key.as_bytes(), b"{}");
    store.show_as(topic, key.as_bytes(), item);
}

#[tokio::test]
async fn the_other_items_of_a_page_are_read() {
    for item in odd_items() {
        let store = PagedStore::start(ALL_KEYS).await;
        for key in ["a", "c"] {
            store.put(UPSTREAM_TOPIC, key.as_bytes(), b"{}");
        }
        show(&store, UPSTREAM_TOPIC, "b", &item);
        let mut client = StoreClient::new(store.address);
        let text = String::from_utf8_lossy(&item[..item.len().min(100)]).into_owned();
        let newest = client.newest(UPSTREAM_TOPIC).await;
        let newest = newest.unwrap_or_else(|error| panic!("{text}: {error}"));
        let keys = newest.records.iter().map(|record| record.key.as_str());
        let sound: Vec<&str> = keys.filter(|key| ["a", "c"].contains(key)).collect();
        assert_eq!(sound, ["a", "c"], "{text}");
    }
}

#[tokio::test]
async fn pages_are_continued_after_an_item_that_names_its_key() {
    for item in WITH_KEY {
        let store = PagedStore::start(1).await;
        for key in ["a", "z"] {
            store.put(UPSTREAM_TOPIC, key.as_bytes(), b"{}");
        }
        show(&store, UPSTREAM_TOPIC, "odd", item);
        let mut client = StoreClient::new(store.address);
        let text = String::from_utf8_lossy(item);
        let newest = client.newest(UPSTREAM_TOPIC).await;
        let newest = newest.unwrap_or_else(|error| panic!("{text}: {error}"));
        let keys = newest.records.iter().map(|record| record.key.as_str());
        let sound: Vec<&str> = keys.filter(|key| *key != "odd").collect();
        assert_eq!(sound, ["a", "z"], "{text}");
    }
}

/// Returns a store with a configuration and the entry of an upstream, whose topics also have odd
/// entries that are listed before and after them.
async fn odd_environment(page_keys: usize, items: &[Vec<u8>]) -> (PagedStore, TestEnvironment) {
    let store = PagedStore::start(page_keys).await;
    let environment = TestEnvironment::over(store.address);
    for (number, item) in items.iter().enumerate() {
        for topic in [OPERATOR_TOPIC, UPSTREAM_TOPIC] {
            for side in ["a", "z"] {
                show(&store, topic, &format!("{side}-{number}"), item);
            }
        }
    }
    let routes = [route("/once/", "non_idempotent", 1)];
    environment.configure(1, &routes).await;
    (store, environment)
}

#[tokio::test]
async fn a_gateway_that_starts_beside_odd_items_serves() {
    let (_store, environment) = odd_environment(ALL_KEYS, &odd_items()).await;
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    environment.announce("i-0", &upstream, "ready").await;
    let gateway = environment.gateway("g");
    gateway.ready().await;
    let response = gateway.send("/once/").await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
}

/// Guards against a listing that stops at its first page for good.
#[tokio::test]
async fn a_gateway_serves_although_a_listing_cannot_be_continued() {
    for item in WITHOUT_KEY {
        let (store, environment) = odd_environment(1, &[item.to_vec()]).await;
        let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
        environment.announce("i-0", &upstream, "ready").await;
        let gateway = environment.gateway("g");
        gateway.ready().await;
        let text = String::from_utf8_lossy(item);
        let response = gateway.send("/once/").await.expect("a response");
        assert_eq!(response.status, StatusCode::OK, "{text}");
        // Later changes are followed.
        let other = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
        environment.announce("i-1", &other, "ready").await;
        store.put(UPSTREAM_TOPIC, b"i-0", b"");
        until("a request at the upstream that came later", async || {
            drop(gateway.send("/once/").await);
            !other.received().is_empty()
        })
        .await;
    }
}

/// The store has deleted the records of the topic, so that only heartbeats tell of the upstreams which
/// cannot be listed.
#[tokio::test]
async fn an_upstream_that_cannot_be_listed_is_used_from_its_next_heartbeat_on() {
    let (store, environment) = odd_environment(1, &[]).await;
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    show(&store, UPSTREAM_TOPIC, "a", b"null");
    environment.announce("i-0", &upstream, "ready").await;
    store.forget_records(UPSTREAM_TOPIC);
    let gateway = environment.gateway("g");
    until("a response", async || {
        environment.announce("i-0", &upstream, "ready").await;
        let response = gateway.send("/once/").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await;
}

/// The names cannot be told from each other in a listing, and the store continues after another one
/// than the page has ended with.
#[tokio::test]
async fn a_gateway_serves_beside_names_that_are_not_utf_8() {
    let (store, environment) = odd_environment(1, &[]).await;
    for name in [&b"a\xff"[..], b"a\xfe", b"i-\x80", b"\xc3", b"z\xff"] {
        store.put(UPSTREAM_TOPIC, name, b"{}");
    }
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    environment.announce("i-0", &upstream, "ready").await;
    let gateway = environment.gateway("g");
    gateway.ready().await;
    let response = gateway.send("/once/").await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
}
