//! Instance topics of the store and consumer groups, tested with the stand-in store.

#[path = "common/process.rs"]
#[expect(dead_code, reason = "other tests use the other items")]
mod process;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::kernel::Moment;
use bulrushslip::platform::http_client::{call, request};
use bulrushslip::platform::instance_topics::{
    INSTANCE_TOPIC, InstanceTopics, WireInstance, WireInstanceState,
};
use bulrushslip::platform::store_client::StoreClient;
use bulrushslip::platform::store_records::encode_keyed;
use bulrushslip::standin::topic_groups::{ConsumerGroups, GroupJoin, TopicAssignment};
use http_body_util::Full;
use hyper::Method;
use process::ChildProcess;
use serde_json::{Value, json};

/// Timeout of every call, far above the usual duration.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Stand-in store that runs as a child process.
struct Store(ChildProcess);

impl Store {
    fn start() -> Self {
        let binary = env!("CARGO_BIN_EXE_bulrushslip-standin");
        let arguments = ["platform", "--listen", "127.0.0.1:0"];
        Self(ChildProcess::start(binary, &arguments, &["platform"]))
    }

    fn address(&self) -> SocketAddr {
        self.0.port("platform")
    }

    async fn json(&self, method: Method, path: &str, body: &str) -> Value {
        let request = request(method, self.address(), path).body(Full::from(body.to_owned()));
        let response = call(self.address(), request.expect("a request"), CALL_TIMEOUT).await;
        serde_json::from_slice(&response.expect("a response").body).expect("a JSON response")
    }
}

fn instance(name: &str) -> WireInstance {
    WireInstance {
        name: name.to_owned(),
        role: "sidecar".to_owned(),
        address: "127.0.0.1:9".parse().expect("an address"),
        operator: None,
        data_centre: "Bangor".to_owned(),
        state: WireInstanceState::Live,
        renewed_ms: 0,
    }
}

async fn listed(topics: &mut InstanceTopics) -> Vec<(String, WireInstanceState)> {
    let list = topics.list().await.expect("a response");
    let entries = list.into_iter().map(|entry| (entry.name, entry.state));
    entries.collect()
}

#[tokio::test]
async fn the_list_contains_registered_instances_and_marks_leaving_ones() {
    let platform = Store::start();
    let mut topics = InstanceTopics::new(platform.address());
    for name in ["s1", "s2"] {
        topics.renew(&instance(name)).await.expect("a confirmation");
    }
    topics.mark_leaving("s2").await.expect("a confirmation");
    let (s1, s2) = ("s1".to_owned(), "s2".to_owned());
    let marked = [
        (s1, WireInstanceState::Live),
        (s2, WireInstanceState::Leaving),
    ];
    assert_eq!(listed(&mut topics).await, marked);
    // A renewal keeps the mark; removing the process from the list deletes it.
    topics.renew(&instance("s2")).await.expect("a confirmation");
    assert_eq!(listed(&mut topics).await, marked);
    topics.remove("s2").await.expect("a confirmation");
    topics.renew(&instance("s2")).await.expect("a confirmation");
    assert_eq!(listed(&mut topics).await[1].1, WireInstanceState::Live);
}

#[tokio::test]
async fn expired_and_malformed_entries_are_not_listed() {
    let platform = Store::start();
    let mut store = StoreClient::new(platform.address());
    let expired = json!({ "name": "old", "role": "entry", "address": "127.0.0.1:9",
        "data_centre": "Bangor", "state": "live", "renewed_ms": 1_000 });
    for (key, value) in [("old", expired.to_string()), ("bad", "{".to_owned())] {
        let record = encode_keyed(key, value.as_bytes()).expect("a short key");
        let appended = store.append(INSTANCE_TOPIC, &record).await;
        appended.expect("a response");
    }
    let mut topics = InstanceTopics::new(platform.address());
    assert_eq!(listed(&mut topics).await, []);
}

#[tokio::test]
async fn a_leaving_mark_is_seen_at_once_and_after_old_records_were_deleted() {
    let platform = Store::start();
    let mut topics = InstanceTopics::new(platform.address());
    let mut from = None;
    let is_marked = topics.await_leaving("s1", &mut from, Duration::ZERO).await;
    assert!(!is_marked.expect("a response"));
    let mut writer = InstanceTopics::new(platform.address());
    let (is_marked, _) = tokio::join!(
        topics.await_leaving("s1", &mut from, Duration::from_secs(20)),
        writer.mark_leaving("s1"),
    );
    assert!(is_marked.expect("a response"));
    writer.mark_leaving("s2").await.expect("a confirmation");
    platform
        .json(
            Method::POST,
            "/log-trim?topic=keyed.leaving&part=0&before=2",
            "",
        )
        .await;
    let mut trimmed_offset = Some(bulrushslip::decide::ids::LogPosition::default());
    for _ in 0..2 {
        let is_marked = topics
            .await_leaving("s1", &mut trimmed_offset, Duration::ZERO)
            .await;
        assert_eq!(is_marked.expect("a response"), trimmed_offset.is_some());
    }
}

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn join(member: &str, expires_ms: u64) -> GroupJoin {
    GroupJoin {
        group: "g".to_owned(),
        member: member.to_owned(),
        topics: vec!["a".to_owned(), "b".to_owned()],
        expires_at: at(expires_ms),
    }
}

fn assignment(topic: &str, member: &str, offset: u64) -> TopicAssignment {
    TopicAssignment {
        topic: topic.to_owned(),
        member: member.to_owned(),
        offset,
    }
}

#[test]
fn groups_assign_topics_evenly_and_reassign_them_when_a_member_expires() {
    let mut groups = ConsumerGroups::default();
    let first = groups.join(at(0), join("one", 100));
    assert_eq!(
        first,
        (
            1,
            vec![assignment("a", "one", 0), assignment("b", "one", 0)]
        )
    );
    let second = groups.join(at(10), join("two", 1_000));
    assert_eq!(second, (2, vec![assignment("b", "two", 0)]));
    assert!(groups.commit("g", 2, assignment("b", "two", 7)));
    assert!(
        !groups.commit("g", 2, assignment("b", "one", 9)),
        "the member does not own the topic"
    );
    assert!(
        !groups.commit("g", 1, assignment("b", "two", 9)),
        "the member did not own the topic in generation 1"
    );
    let owners = groups.owners(at(200), "g");
    assert_eq!(
        owners,
        [assignment("a", "two", 0), assignment("b", "two", 7)]
    );
    groups.leave("g", "two");
    assert_eq!(groups.owners(at(200), "g"), []);
}

#[tokio::test]
async fn group_calls_use_the_wire_format_of_the_platform() {
    let platform = Store::start();
    let body = json!({ "group": "g", "member": "m", "topics": ["t"], "ttl-ms": 60_000,
        "generation": 0 });
    let joined = platform
        .json(Method::POST, "/log-join", &body.to_string())
        .await;
    assert_eq!(joined, json!({ "generation": 1, "parts": [["t", 0, 0]] }));
    let commit = json!({ "group": "g", "member": "m", "generation": 1, "topic": "t", "part": 0,
        "offset": 5 });
    platform
        .json(Method::POST, "/log-commit", &commit.to_string())
        .await;
    let owners = platform.json(Method::GET, "/log-owners?group=g", "").await;
    assert_eq!(owners, json!({ "owners": [["t", 0, "m", 5]] }));
}

#[tokio::test]
async fn a_leaving_mark_that_is_written_after_a_drill_of_the_store_is_seen() {
    let platform = Store::start();
    let mut writer = InstanceTopics::new(platform.address());
    writer.mark_leaving("s0").await.expect("a confirmation");
    platform.json(Method::POST, "/admin/copy", "").await;
    for name in ["s2", "s3", "s4"] {
        writer.mark_leaving(name).await.expect("a confirmation");
    }
    let mut topics = InstanceTopics::new(platform.address());
    let mut from = None;
    let is_marked = topics.await_leaving("s1", &mut from, Duration::ZERO).await;
    assert!(!is_marked.expect("a response"));
    platform.json(Method::POST, "/admin/restore?ms=0", "").await;
    for name in ["s1", "s2", "s3", "s4"] {
        writer.mark_leaving(name).await.expect("a confirmation");
    }
    let mut is_marked = false;
    for _ in 0..2 {
        let read = topics.await_leaving("s1", &mut from, Duration::ZERO).await;
        is_marked |= read.expect("a response");
    }
    assert!(is_marked);
}

#[tokio::test]
async fn a_leaving_mark_that_was_removed_before_a_drill_does_not_stop_the_next_process() {
    let platform = Store::start();
    let mut writer = InstanceTopics::new(platform.address());
    writer.mark_leaving("s1").await.expect("a confirmation");
    platform.json(Method::POST, "/admin/copy", "").await;
    writer.remove("s1").await.expect("a confirmation");
    let mut topics = InstanceTopics::new(platform.address());
    let mut from = None;
    let is_marked = topics.await_leaving("s1", &mut from, Duration::ZERO).await;
    assert!(!is_marked.expect("a response"));
    platform.json(Method::POST, "/admin/restore?ms=0", "").await;
    let mut is_marked = false;
    for _ in 0..3 {
        let read = topics.await_leaving("s1", &mut from, Duration::ZERO).await;
        is_marked |= read.expect("a response");
    }
    assert!(!is_marked);
}
