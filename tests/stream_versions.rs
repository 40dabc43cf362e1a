//! Streams that break while upstreams of two software versions serve go on at the version that began them,
//! or not at all.

mod cut_link;
mod gateway_world;
mod raw_request;
mod versioned_upstream;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bulrushslip::platform::http_client::{self, HttpError, OpenResponse};
use bulrushslip::platform::store_client::UPSTREAM_TOPIC;
use bytes::Bytes;
use cut_link::CutLink;
use gateway_world::{Gateway, LIMIT, TestEnvironment, route, until};
use http_body_util::{BodyExt, Full};
use hyper::Method;
use serde_json::json;
use tokio::time::{sleep, timeout};
use versioned_upstream::{EVENTS, FIRST_EVENTS, StreamPolicy, VersionedUpstream};

/// Number of streams that are taken up in a test.
const STREAMS: usize = 12;

/// Number of times that a caller tries to take a stream up.
const MAX_TAKE_UPS: usize = 3;

/// Age of upstreams that have served since long before the test.
const LONG: Duration = Duration::from_mins(10);

/// Number of requests that the tests of this process have sent.
static REQUESTS: AtomicU64 = AtomicU64::new(0);

fn new_id() -> String {
    let number = REQUESTS.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Stream that broke after some events.
#[derive(Debug, Clone)]
struct BegunStream {
    /// Identifier of the attempt that brought the first event.
    id: String,
    /// Software version that began the stream.
    version: String,
}

/// What became of a stream that was taken up.
#[derive(Debug, Clone, PartialEq, Eq)]
enum TakeUp {
    /// It went on to its end, with events of this version.
    Complete(String),
    /// It was refused.
    Refused,
    /// It brought events of these versions and no end, or another error.
    Failed(String),
}

/// Store with a route to upstreams of several software versions.
struct VersionWorld {
    store: TestEnvironment,
    upstreams: Vec<(String, VersionedUpstream)>,
}

impl VersionWorld {
    async fn start(versions: &[&'static str]) -> Self {
        let store = TestEnvironment::start();
        store
            .configure(1, &[route("/resumable/", "streaming", 2)])
            .await;
        let mut world = Self {
            store,
            upstreams: Vec::new(),
        };
        for version in versions {
            world.join(version, LONG, StreamPolicy::Serve).await;
        }
        world
    }

    /// Starts and announces an upstream that has run for the given time.
    async fn join(&mut self, version: &'static str, age: Duration, policy: StreamPolicy) {
        let id = format!("i-{}", self.upstreams.len());
        let upstream = VersionedUpstream::start(version, policy).await;
        self.announce(&id, upstream.address, version, age).await;
        self.upstreams.push((id, upstream));
    }

    async fn announce(&self, id: &str, address: SocketAddr, version: &str, age: Duration) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = now.expect("a time after 1970").saturating_sub(age);
        let entry = json!({"service": "s", "address": address, "zone": "near", "version": version,
            "slots": 32, "cold-left-ms": 0, "state": "ready", "born": u64::try_from(born.as_millis()).expect("a small number"),
            "models": [], "sequence": 1});
        self.store.put(UPSTREAM_TOPIC, id, &entry.to_string()).await;
    }

    /// Removes the entries of the first `count` upstreams.
    async fn remove(&self, count: usize) {
        for (id, _) in &self.upstreams[..count] {
            self.store.put(UPSTREAM_TOPIC, id, "").await;
        }
    }

    /// Starts a gateway and waits until it is in touch with all given ones.
    async fn gateway(&self, name: &str, peers: &[&Gateway]) -> Gateway {
        self.gateway_over(self.store.store(), name, peers).await
    }

    async fn gateway_over(&self, store: SocketAddr, name: &str, peers: &[&Gateway]) -> Gateway {
        let seeds: Vec<SocketAddr> = peers
            .iter()
            .map(|peer| peer.process.port("peers"))
            .collect();
        let gateway = Gateway::start(name, store, &seeds);
        gateway.ready().await;
        for member in peers.iter().copied().chain([&gateway]) {
            until("in touch", async || {
                count_peers(member).await >= peers.len()
            })
            .await;
        }
        gateway
    }
}

/// Returns the number of other instances that a gateway is in touch with.
async fn count_peers(gateway: &Gateway) -> usize {
    let address = gateway.process.port("metrics");
    let request = http_client::request(Method::GET, address, "/metrics").body(Full::default());
    let response = http_client::call(address, request.expect("a request"), LIMIT).await;
    let response = response.expect("a response");
    let text = String::from_utf8_lossy(&response.body);
    let mut lines = text.lines();
    let count = lines.find_map(|line| line.strip_prefix("bulrushslip_peers "));
    count.expect("a gauge").parse().expect("a number")
}

async fn open(
    callers: SocketAddr,
    path: &str,
    id: &str,
    headers: &[(&str, &str)],
) -> Result<OpenResponse, HttpError> {
    let mut builder = http_client::request(Method::POST, callers, path)
        .header("x-request-id", id)
        .header("x-api-key", "key")
        .header("x-deadline-ms", "5000");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder.body(Full::new(Bytes::new())).expect("a request");
    http_client::open(callers, request, LIMIT).await
}

/// Reads events until `count` have arrived, and returns the version of each.
async fn read_events(response: &mut OpenResponse, count: usize) -> Vec<String> {
    let mut text = String::new();
    while text.matches("\n\n").count() < count {
        match timeout(LIMIT, response.response.frame()).await {
            Ok(Some(Ok(frame))) => {
                let data = frame.into_data().unwrap_or_default();
                text.push_str(&String::from_utf8_lossy(&data));
            }
            _ended => break,
        }
    }
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    events.map(str::to_owned).collect()
}

/// Begins a stream and reads its first events; the stream pauses until the response is dropped. Returns
/// `None` if it is refused.
async fn try_begin(gateway: &Gateway) -> Option<(BegunStream, OpenResponse)> {
    let id = new_id();
    let callers = gateway.process.port("callers");
    let mut response = open(callers, "/resumable/pause", &id, &[])
        .await
        .expect("a response");
    if response.response.status() == 503 {
        return None;
    }
    assert_eq!(response.response.status(), 200);
    let events = read_events(&mut response, 2).await;
    assert_eq!(events.len() as u64, FIRST_EVENTS, "{events:?}");
    let version = events[0].clone();
    Some((BegunStream { id, version }, response))
}

/// Begins a stream as a caller does that tries again when it is refused.
async fn begin_paused(gateway: &Gateway) -> (BegunStream, OpenResponse) {
    let mut begun = None;
    until("begun", async || {
        begun = try_begin(gateway).await;
        begun.is_some()
    })
    .await;
    begun.expect("a stream")
}

/// Begins streams until enough of them are of each given version, and closes their connections. Until
/// then they stay open, so that all upstreams get some.
async fn begin_at_versions(gateway: &Gateway, versions: &[&str], count: usize) -> Vec<BegunStream> {
    let mut begun = Vec::new();
    let mut open = Vec::new();
    let has_enough = |begun: &[BegunStream]| {
        versions.iter().all(|version| {
            let of_version = begun.iter().filter(|stream| stream.version == *version);
            of_version.count() >= count
        })
    };
    until("begun at the versions", async || {
        let (stream, response) = begin_paused(gateway).await;
        begun.push(stream);
        open.push(response);
        has_enough(&begun)
    })
    .await;
    drop(open);
    let of_version = |version: &&str| {
        let version = (*version).to_owned();
        let streams = begun.iter().filter(move |stream| stream.version == version);
        streams.take(count).cloned().collect::<Vec<_>>()
    };
    versions.iter().flat_map(of_version).collect()
}

/// Requests streams at the same time that break off at their first upstream, and returns for each the
/// version of its events and whether the response ended as complete.
async fn respond_broken(gateway: &Gateway) -> Vec<(Vec<String>, bool)> {
    let callers = gateway.process.port("callers");
    let requests = (0..STREAMS).map(|_| async move {
        let response = open(callers, "/resumable/break", &new_id(), &[]).await;
        let mut response = response.expect("a response");
        let mut versions = Vec::new();
        loop {
            match timeout(LIMIT, response.response.frame())
                .await
                .expect("an end")
            {
                None => return (versions, true),
                Some(Err(_broken)) => return (versions, false),
                Some(Ok(frame)) => {
                    let data = frame.into_data().unwrap_or_default();
                    let text = String::from_utf8_lossy(&data).into_owned();
                    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
                    versions.extend(events.map(str::to_owned));
                }
            }
        }
    });
    futures::future::join_all(requests).await
}

/// Takes a stream up after its first events.
async fn take_up(callers: SocketAddr, stream: &BegunStream) -> TakeUp {
    take_up_at(callers, "/resumable/pause", stream).await
}

async fn take_up_at(callers: SocketAddr, path: &str, stream: &BegunStream) -> TakeUp {
    let headers = [("last-event-id", "2"), ("resumes", stream.id.as_str())];
    let response = open(callers, path, &new_id(), &headers).await;
    let mut response = match response {
        Ok(response) => response,
        Err(error) => return TakeUp::Failed(error.to_string()),
    };
    let status = response.response.status().as_u16();
    if status == 503 {
        return TakeUp::Refused;
    }
    let rest = usize::try_from(EVENTS - FIRST_EVENTS).expect("a small number");
    let mut versions = read_events(&mut response, rest).await;
    let is_whole = status == 200 && versions.len() == rest;
    versions.dedup();
    match versions.as_slice() {
        [version] if is_whole => TakeUp::Complete(version.clone()),
        _ => TakeUp::Failed(format!("{status} {versions:?}")),
    }
}

/// Takes a stream up as a caller does that tries again when it is refused.
async fn take_up_again(callers: SocketAddr, stream: &BegunStream) -> TakeUp {
    for _ in 1..MAX_TAKE_UPS {
        let outcome = take_up(callers, stream).await;
        if outcome != TakeUp::Refused {
            return outcome;
        }
        sleep(Duration::from_secs(1)).await;
    }
    take_up(callers, stream).await
}

/// Takes all streams up once at a gateway, at the same time, asserts that none holds events of two versions and none failed,
/// and returns the number of those that went on.
async fn count_taken_up(gateway: &Gateway, streams: &[BegunStream]) -> usize {
    let callers = gateway.process.port("callers");
    let take_ups = streams.iter().map(|stream| async move {
        let outcome = take_up(callers, stream).await;
        (stream.version.clone(), outcome)
    });
    let outcomes = futures::future::join_all(take_ups).await;
    count_complete(&outcomes)
}

fn count_complete(outcomes: &[(String, TakeUp)]) -> usize {
    let is_sound = |(begun, outcome): &&(String, TakeUp)| match outcome {
        TakeUp::Complete(version) => version == begun,
        TakeUp::Refused => true,
        TakeUp::Failed(_) => false,
    };
    let unsound: Vec<_> = outcomes.iter().filter(|pair| !is_sound(pair)).collect();
    assert!(
        unsound.is_empty(),
        "{} of {} streams joined or failed, as (version begun, rest): {unsound:?}",
        unsound.len(),
        outcomes.len()
    );
    let complete = |(_, outcome): &&(String, TakeUp)| matches!(outcome, TakeUp::Complete(_));
    outcomes.iter().filter(complete).count()
}

async fn assert_all_refused(gateway: &Gateway, streams: &[BegunStream]) {
    let complete = count_taken_up(gateway, streams).await;
    assert_eq!(complete, 0, "no upstream of the version is in service");
}

/// Asserts that all streams go on at a gateway, for callers that try again when refused.
async fn assert_all_go_on(gateway: &Gateway, streams: &[BegunStream]) {
    let callers = gateway.process.port("callers");
    let tries = streams.iter().map(|stream| async move {
        let outcome = take_up_again(callers, stream).await;
        (stream.version.clone(), outcome)
    });
    let outcomes = futures::future::join_all(tries).await;
    assert_eq!(count_complete(&outcomes), streams.len(), "{outcomes:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_is_resumed_only_at_its_software_version() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let gateway = world.gateway("g", &[]).await;
    begin_at_versions(&gateway, &["v1", "v2"], 1).await;
    let responses = respond_broken(&gateway).await;
    let whole = |(versions, _): &&(Vec<String>, bool)| versions.len() as u64 == EVENTS;
    let is_joined =
        |(versions, _): &&(Vec<String>, bool)| versions.windows(2).any(|pair| pair[0] != pair[1]);
    let joined = responses.iter().filter(is_joined).count();
    let whole = responses.iter().filter(whole).count();
    assert_eq!(joined, 0, "of {STREAMS} streams, {whole} of them whole");
    assert!(
        whole * 2 >= STREAMS,
        "{whole} of {STREAMS} streams are whole"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_stream_ends_incomplete_if_no_other_upstream_has_its_version() {
    let mut world = VersionWorld::start(&[]).await;
    world.join("v1", LONG, StreamPolicy::ContinueNone).await;
    let gateway = world.gateway("g", &[]).await;
    world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    begin_at_versions(&gateway, &["v1", "v2"], 1).await;
    // The gateway has ended the streams that their callers have left.
    sleep(Duration::from_millis(500)).await;
    let responses = respond_broken(&gateway).await;
    let begun =
        |(versions, _): &&(Vec<String>, bool)| versions.first().is_some_and(|first| first == "v1");
    let begun: Vec<_> = responses.iter().filter(begun).collect();
    assert!(!begun.is_empty(), "{responses:?}");
    for (versions, is_complete) in begun {
        assert!(
            versions.iter().all(|version| version == "v1"),
            "{versions:?}"
        );
        assert!(!is_complete, "complete after {versions:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn at_least_half_of_the_streams_taken_up_go_on_at_instances_in_touch() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    for (begun_at, taken_up_at) in [(&first, &first), (&first, &second), (&second, &first)] {
        let streams = begin_at_versions(begun_at, &["v1", "v2"], STREAMS).await;
        // News of a new stream reach the other instances within a second.
        sleep(Duration::from_secs(1)).await;
        for streams in streams.chunks(STREAMS) {
            let complete = count_taken_up(taken_up_at, streams).await;
            assert!(complete * 2 >= STREAMS, "{complete} of {streams:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_once_at_another_instance_is_not_joined() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    for _ in 0..STREAMS {
        let streams = begin_at_versions(&first, &["v1", "v2"], 1).await;
        count_taken_up(&second, &streams).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_a_version_that_has_just_joined_is_not_joined_at_another_instance() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    for _ in 0..4 {
        world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    }
    for _ in 0..STREAMS {
        let stream = begin_at_versions(&first, &["v2"], 1).await;
        count_taken_up(&second, &stream).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_after_its_instance_was_killed_is_not_joined() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let mut first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1", "v2"], STREAMS / 2).await;
    first.process.kill();
    count_taken_up(&second, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_twice_goes_on_at_the_version_that_began_it() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1", "v2"], STREAMS / 2).await;
    sleep(Duration::from_secs(1)).await;
    let mut complete = 0;
    for gateway in [&second, &first, &second] {
        complete = count_taken_up(gateway, &streams).await;
    }
    assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_after_all_instances_were_killed_is_not_joined() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let mut first = world.gateway("g", &[]).await;
    let mut second = world.gateway("gg", &[&first]).await;
    let mut streams = begin_at_versions(&first, &["v1", "v2"], STREAMS / 2).await;
    streams.extend(begin_at_versions(&second, &["v1", "v2"], STREAMS / 2).await);
    first.process.kill();
    second.process.kill();
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    for gateway in [&first, &second] {
        count_taken_up(gateway, &streams).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_after_its_version_has_left_is_refused() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    world.remove(2).await;
    for gateway in [&first, &second] {
        until("the old version has left", async || {
            let begun = (0..8).map(|_| begin_paused(gateway));
            let begun = futures::future::join_all(begun).await;
            begun.iter().all(|(stream, _)| stream.version == "v2")
        })
        .await;
        assert_all_refused(gateway, &streams).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_a_version_that_left_before_all_instances_were_killed_is_refused() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let mut first = world.gateway("g", &[]).await;
    let mut second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    for _ in 0..2 {
        world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    }
    begin_at_versions(&second, &["v2"], 1).await;
    world.remove(2).await;
    first.process.kill();
    second.process.kill();
    let first = world.gateway("g", &[]).await;
    assert_all_refused(&first, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_of_an_old_version_that_left_while_all_instances_were_down_is_refused() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let mut first = world.gateway("g", &[]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    first.process.kill();
    world.remove(2).await;
    let first = world.gateway("g", &[]).await;
    assert_all_refused(&first, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_an_upstream_that_restarted_with_a_new_version_is_not_joined() {
    let world = VersionWorld::start(&["v1", "v1"]).await;
    let gateway = world.gateway("g", &[]).await;
    let streams = begin_at_versions(&gateway, &["v1"], STREAMS).await;
    let next = VersionedUpstream::start("v2", StreamPolicy::Serve).await;
    world
        .announce("i-0", next.address, "v2", Duration::ZERO)
        .await;
    begin_at_versions(&gateway, &["v2"], 1).await;
    count_taken_up(&gateway, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_an_instance_that_stood_still_during_a_release_is_not_joined() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    begin_at_versions(&second, &["v1"], 2).await;
    second.process.freeze();
    for _ in 0..4 {
        world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    }
    let streams = begin_at_versions(&first, &["v2"], STREAMS).await;
    let callers = second.process.port("callers");
    let take_ups: Vec<_> = streams
        .iter()
        .cloned()
        .map(|stream| {
            tokio::spawn(async move {
                let outcome = take_up(callers, &stream).await;
                (stream.version, outcome)
            })
        })
        .collect();
    // The requests are in the kernel's buffers when the instance goes on.
    sleep(Duration::from_millis(200)).await;
    second.process.thaw();
    let outcomes = futures::future::join_all(take_ups).await;
    let outcomes: Vec<_> = outcomes
        .into_iter()
        .map(|task| task.expect("an outcome"))
        .collect();
    count_complete(&outcomes);
    count_taken_up(&second, &streams).await;
}

/// Number of take-ups of a test at an instance that is cut off, a second apart.
const CUT_TAKE_UPS: usize = 15;

/// Asserts that streams of a new version are not joined at an instance that has lost its only peer, and the
/// store too if `has_store` is not set, before that version joined.
async fn assert_not_joined_when_cut_off(has_store: bool) {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let link = CutLink::start(world.store.store()).await;
    let mut peer = world.gateway("g", &[]).await;
    let cut_off = world.gateway_over(link.address, "gg", &[&peer]).await;
    begin_at_versions(&cut_off, &["v1"], 2).await;
    let other = world.gateway("ggg", &[]).await;
    peer.process.kill();
    if !has_store {
        link.cut();
    }
    join_and_take_up(&mut world, &other, &cut_off, &link).await;
}

/// Lets a new version join, and takes its streams up at an instance during a cut of its link and after it.
async fn join_and_take_up(
    world: &mut VersionWorld,
    other: &Gateway,
    cut_off: &Gateway,
    link: &CutLink,
) {
    for _ in 0..4 {
        world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    }
    let streams = begin_at_versions(other, &["v2"], STREAMS).await;
    for _ in 0..CUT_TAKE_UPS {
        count_taken_up(cut_off, &streams).await;
        sleep(Duration::from_secs(1)).await;
    }
    link.restore();
    count_taken_up(cut_off, &streams).await;
    sleep(Duration::from_secs(2)).await;
    count_taken_up(cut_off, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_instances_that_are_cut_off_together_is_not_joined() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let link = CutLink::start(world.store.store()).await;
    let mut peer = world.gateway("g", &[]).await;
    let cut_off = world.gateway_over(link.address, "gg", &[&peer]).await;
    let second = world
        .gateway_over(link.address, "ggg", &[&peer, &cut_off])
        .await;
    begin_at_versions(&cut_off, &["v1"], 2).await;
    let other = world.gateway("gggg", &[]).await;
    peer.process.kill();
    link.cut();
    join_and_take_up(&mut world, &other, &cut_off, &link).await;
    drop(second);
}

/// Guards against streams of two versions at instances that the store turns away and that have never known
/// the others, with those that start beside them meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_instances_that_know_only_each_other_is_not_joined() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let link = CutLink::start(world.store.store()).await;
    let other = world.gateway("g", &[]).await;
    let cut_off = world.gateway_over(link.address, "gg", &[]).await;
    let second = world.gateway_over(link.address, "ggg", &[&cut_off]).await;
    begin_at_versions(&cut_off, &["v1"], 2).await;
    link.cut();
    let third = Gateway::start("gggg", link.address, &[cut_off.process.port("peers")]);
    for _ in 0..4 {
        world.join("v2", Duration::ZERO, StreamPolicy::Serve).await;
    }
    let streams = begin_at_versions(&other, &["v2"], STREAMS).await;
    for _ in 0..6 {
        for gateway in [&cut_off, &second, &third] {
            count_taken_up(gateway, &streams).await;
        }
        sleep(Duration::from_secs(1)).await;
    }
}

/// Guards against streams of two versions at the only instance in its list that the store turns away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_an_instance_that_has_never_had_peers_is_not_joined() {
    let mut world = VersionWorld::start(&["v1", "v1"]).await;
    let link = CutLink::start(world.store.store()).await;
    let other = world.gateway("g", &[]).await;
    let alone = world.gateway_over(link.address, "gg", &[]).await;
    begin_at_versions(&alone, &["v1"], 2).await;
    link.cut();
    join_and_take_up(&mut world, &other, &alone, &link).await;
}

/// Guards against refusing streams of instances in touch while the store serves nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_instances_in_touch_while_the_store_is_away() {
    let world = VersionWorld::start(&["v1", "v1"]).await;
    let link = CutLink::start(world.store.store()).await;
    let first = world.gateway_over(link.address, "g", &[]).await;
    let second = world.gateway_over(link.address, "gg", &[&first]).await;
    let early = begin_at_versions(&first, &["v1"], STREAMS).await;
    link.cut();
    sleep(Duration::from_secs(3)).await;
    let late = begin_at_versions(&first, &["v1"], STREAMS).await;
    assert_eq!(count_taken_up(&second, &early).await, STREAMS);
    assert_eq!(count_taken_up(&second, &late).await, STREAMS);
}

/// Guards against refusing streams at an instance that joins too late to be told of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_go_on_at_an_instance_that_starts_while_the_store_is_away() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let link = CutLink::start(world.store.store()).await;
    let first = world.gateway_over(link.address, "g", &[]).await;
    link.cut();
    let streams = begin_at_versions(&first, &["v1", "v2"], STREAMS / 2).await;
    sleep(Duration::from_secs(1)).await;
    let second = world.gateway_over(link.address, "gg", &[&first]).await;
    assert_all_go_on(&second, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_an_instance_without_peers_during_a_release_is_not_joined() {
    assert_not_joined_when_cut_off(true).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_taken_up_at_an_instance_that_is_cut_off_during_a_release_is_not_joined() {
    assert_not_joined_when_cut_off(false).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_breaks_again_after_it_was_taken_up_keeps_its_version() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1", "v2"], STREAMS / 2).await;
    sleep(Duration::from_secs(1)).await;
    let callers = second.process.port("callers");
    let take_ups = streams.iter().map(|stream| async move {
        let outcome = take_up_at(callers, "/resumable/again", stream).await;
        (stream.version.clone(), outcome)
    });
    let outcomes = futures::future::join_all(take_ups).await;
    let complete = count_complete(&outcomes);
    assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_is_of_the_version_of_its_events_and_not_of_an_upstream_that_sent_none() {
    for policy in [StreamPolicy::BeginNone, StreamPolicy::AnswerNone] {
        let mut world = VersionWorld::start(&["v2", "v2"]).await;
        world.join("v1", LONG, policy).await;
        let first = world.gateway("g", &[]).await;
        let second = world.gateway("gg", &[&first]).await;
        let begun = (0..STREAMS).map(|_| begin_paused(&first));
        let begun = futures::future::join_all(begun).await;
        let streams: Vec<_> = begun.into_iter().map(|(stream, _)| stream).collect();
        sleep(Duration::from_secs(1)).await;
        for gateway in [&first, &second] {
            let complete = count_taken_up(gateway, &streams).await;
            assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_no_instance_knows_is_refused_while_two_versions_serve() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| BegunStream {
            id: new_id(),
            version: "unknown".to_owned(),
        })
        .collect();
    assert_all_refused(&second, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_the_only_version_go_on_at_all_instances_in_touch() {
    let world = VersionWorld::start(&["v1", "v1", "v1"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    assert_all_go_on(&first, &streams).await;
    assert_all_go_on(&second, &streams).await;
    let third = world.gateway("ggg", &[&first, &second]).await;
    assert_all_go_on(&third, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_the_only_version_go_on_after_all_instances_were_killed() {
    let world = VersionWorld::start(&["v1", "v1", "v1"]).await;
    let mut first = world.gateway("g", &[]).await;
    let mut second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    first.process.kill();
    second.process.kill();
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    assert_all_go_on(&first, &streams).await;
    assert_all_go_on(&second, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_the_only_version_go_on_at_an_instance_that_stood_still() {
    let world = VersionWorld::start(&["v1", "v1", "v1"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    second.process.freeze();
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    sleep(Duration::from_secs(2)).await;
    second.process.thaw();
    assert_all_go_on(&second, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_the_only_version_go_on_at_an_instance_without_peers() {
    let world = VersionWorld::start(&["v1", "v1", "v1"]).await;
    let first = world.gateway("g", &[]).await;
    let alone = world.gateway("gg", &[]).await;
    let streams = begin_at_versions(&first, &["v1"], STREAMS).await;
    assert_all_go_on(&alone, &streams).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_of_the_version_that_stays_go_on_at_instances_in_touch() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let first = world.gateway("g", &[]).await;
    let second = world.gateway("gg", &[&first]).await;
    let streams = begin_at_versions(&first, &["v2"], STREAMS).await;
    world.remove(2).await;
    // News of a new stream and of the entries reach the other instances within a second.
    sleep(Duration::from_secs(1)).await;
    for gateway in [&first, &second] {
        let complete = count_taken_up(gateway, &streams).await;
        assert!(complete * 2 >= STREAMS, "{complete} of {STREAMS}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn new_streams_begin_at_an_instance_that_is_ready_while_two_versions_serve() {
    let world = VersionWorld::start(&["v1", "v1", "v2", "v2"]).await;
    let mut first = world.gateway("g", &[]).await;
    first.process.kill();
    let first = world.gateway("g", &[]).await;
    let begun = futures::future::join_all((0..STREAMS).map(|_| try_begin(&first))).await;
    let count = begun.iter().flatten().count();
    assert!(
        count * 2 >= STREAMS,
        "{count} of {STREAMS} new streams begin"
    );
}
