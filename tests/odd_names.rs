//! Entries of another writer whose names are not plain text, in a list of more than one page.

mod gateway_world;
mod paged_store;

use bulrushslip::platform::instance_topics::{
    INSTANCE_TOPIC, InstanceTopics, LEAVING_TOPIC, WireInstance, WireInstanceState,
};
use bulrushslip::platform::store_client::{StoreClient, UPSTREAM_TOPIC};
use futures::future::join_all;
use gateway_world::{Behaviour, Gateway, TestEnvironment, Upstream, route, until};
use hyper::StatusCode;
use paged_store::PagedStore;

/// Keys on a page of the store.
const PAGE_KEYS: usize = 1;

/// Names with characters that have a meaning in a URL, around those of two sound upstreams.
fn odd_names() -> Vec<String> {
    let names = [
        "i-0&",
        "i-0&after=z",
        "i-0+",
        "i-0#",
        "i-0%",
        "i-0%00",
        "i-0%2B",
        "i-0 ",
        " ",
        "i-0=",
        "i-0?",
        "i-0/",
        "..%2f",
        "i-0\"",
        "i-0'",
        "i-0\\",
        "i-0\u{1}",
        "i-0\r\nx: y",
        "\u{e9}",
        "i-0\u{1f600}",
        "~",
        "{}",
        "[",
        "|",
        "^",
        "`",
        "<>",
    ];
    let mut names = names.map(str::to_owned).to_vec();
    names.extend([String::new(), "a".repeat(250)]);
    names
}

async fn status_of(gateway: &Gateway, id: &str) -> StatusCode {
    let headers = [("x-api-key", "key")];
    let response = gateway.send_as(id, "/once/", &headers, "body").await;
    response.expect("a response").status
}

/// Guards against a list that cannot be read because the name of one entry ends its page.
#[tokio::test]
async fn gateways_that_start_beside_odd_names_serve_all_requests() {
    let store = PagedStore::start(PAGE_KEYS).await;
    let environment = TestEnvironment::over(store.address);
    environment
        .configure(1, &[route("/once/", "non_idempotent", 1)])
        .await;
    for name in odd_names() {
        store.put(UPSTREAM_TOPIC, name.as_bytes(), b"{}");
    }
    let mut upstreams = Vec::new();
    for id in ["i-0", "i-1"] {
        let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
        environment.announce(id, &upstream, "ready").await;
        upstreams.push(upstream);
    }
    let gateway = environment.gateway("g");
    gateway.ready().await;
    // As many requests as the two upstreams have slots.
    let ids: Vec<String> = (0..16).map(|number| format!("r{number}")).collect();
    let statuses = join_all(ids.iter().map(|id| status_of(&gateway, id))).await;
    assert!(
        statuses.iter().all(|status| *status == StatusCode::OK),
        "{statuses:?}"
    );
    for upstream in &upstreams {
        assert!(!upstream.received().is_empty(), "{}", upstream.address);
    }
}

/// Guards against requests that do not name their upstream, which another one at its address would run.
#[tokio::test]
async fn no_request_is_sent_under_a_name_that_no_header_can_hold() {
    let store = PagedStore::start(PAGE_KEYS).await;
    let environment = TestEnvironment::over(store.address);
    environment
        .configure(1, &[route("/once/", "non_idempotent", 1)])
        .await;
    let odd = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    for name in ["i-0\u{1}", "i-0\r\nx: y", "i-0\u{7f}"] {
        environment.announce(name, &odd, "ready").await;
    }
    let sound = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    environment.announce("i-0", &sound, "ready").await;
    let gateway = environment.gateway("g");
    gateway.ready().await;
    let ids: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
    let statuses = join_all(ids.iter().map(|id| status_of(&gateway, id))).await;
    assert_eq!(statuses, [StatusCode::OK; 8]);
    assert!(odd.received().is_empty());
    for request in sound.received() {
        assert_eq!(request.headers["x-expect-instance"], "i-0");
    }
}

#[tokio::test]
async fn every_page_after_an_odd_name_is_read() {
    let store = PagedStore::start(PAGE_KEYS).await;
    let ascii = (0..=127_u8).map(|code| format!("k{}", char::from(code)));
    let names: Vec<String> = ascii.chain(odd_names()).collect();
    for name in &names {
        store.put(UPSTREAM_TOPIC, name.as_bytes(), b"{}");
    }
    let mut client = StoreClient::new(store.address);
    let listing = client.newest(UPSTREAM_TOPIC).await.expect("all pages");
    let mut listed: Vec<String> = listing
        .records
        .into_iter()
        .map(|record| record.key)
        .collect();
    let mut expected = names;
    listed.sort();
    expected.sort();
    assert_eq!(listed, expected);
}

/// Pages are not a snapshot: one upstream leaves and another one comes at each of some moments of a listing,
/// before and after its page.
#[tokio::test]
async fn changes_between_the_pages_of_a_listing_are_not_missed() {
    const ODD_SIDE: usize = 40;
    for changed_after in [1, ODD_SIDE / 2, ODD_SIDE + 1, ODD_SIDE + 2, 2 * ODD_SIDE] {
        let store = PagedStore::start(PAGE_KEYS).await;
        let environment = TestEnvironment::over(store.address);
        environment
            .configure(1, &[route("/once/", "non_idempotent", 1)])
            .await;
        for number in 0..ODD_SIDE {
            for side in ["a&", "z+"] {
                let name = format!("{side}{number}");
                store.put(UPSTREAM_TOPIC, name.as_bytes(), b"{}");
            }
        }
        let leaving = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
        let coming = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
        environment.announce("i-0", &leaving, "ready").await;
        let gateway = environment.gateway("g");
        until("the pages before the change", async || {
            store.pages(UPSTREAM_TOPIC) >= changed_after
        })
        .await;
        store.put(UPSTREAM_TOPIC, b"i-0", b"");
        environment.announce("i-1", &coming, "ready").await;
        gateway.ready().await;
        // A removal that is not listed follows with the next read of the topic.
        until("requests only at the upstream that came", async || {
            drop(leaving.received());
            let ids: Vec<String> = (0..8).map(|number| format!("r{number}")).collect();
            let statuses = join_all(ids.iter().map(|id| status_of(&gateway, id))).await;
            let is_served = statuses.iter().all(|status| *status == StatusCode::OK);
            is_served && leaving.received().is_empty() && !coming.received().is_empty()
        })
        .await;
    }
}

/// Entries and sidecars find each other in a topic of their own.
#[tokio::test]
async fn instances_are_listed_beside_odd_names() {
    let store = PagedStore::start(PAGE_KEYS).await;
    for name in odd_names() {
        store.put(INSTANCE_TOPIC, name.as_bytes(), b"{}");
        store.put(LEAVING_TOPIC, name.as_bytes(), b"{}");
    }
    let mut topics = InstanceTopics::new(store.address);
    let instance = WireInstance {
        name: "j-0".to_owned(),
        role: "sidecar".to_owned(),
        address: store.address,
        operator: None,
        data_centre: "near".to_owned(),
        state: WireInstanceState::Live,
        renewed_ms: 0,
    };
    topics.renew(&instance).await.expect("an entry");
    topics.mark_leaving("j-0").await.expect("a mark");
    let listed = topics.list().await.expect("a list");
    let names: Vec<&str> = listed
        .iter()
        .map(|instance| instance.name.as_str())
        .collect();
    assert_eq!(names, ["j-0"]);
    assert_eq!(listed[0].state, WireInstanceState::Leaving);
}
