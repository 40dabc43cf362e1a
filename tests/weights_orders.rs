//! Orders for new weights, and what the reports of their upstream make of them.

mod gateway_world;
mod paged_store;

use std::time::{Duration, Instant};

use bulrushslip::decide::order_progress::{OrderProgress, ReportedWeights};
use bulrushslip::platform::store_client::ORDER_TOPIC;
use bytes::Bytes;
use gateway_world::{Behaviour, Gateway, SeenRequest, TestEnvironment, Upstream, until};
use paged_store::PagedStore;

/// Time for which an upstream that carries an order out is waited for.
const MAX_LOAD_TIME: Duration = Duration::from_secs(4);

/// Age of the reports of the upstreams.
const REPORT_LAG: Duration = Duration::from_millis(200);

const IDLE: &str = r#"{"models":[{"name":"m","version":1}],"busy":false,"sequence":0}"#;
const BUSY: &str = r#"{"models":[{"name":"m","version":1}],"busy":true,"sequence":1}"#;
const LAGGING: &str = r#"{"models":[{"name":"m","version":1}],"busy":false,"sequence":4}"#;
const LOADED: &str = r#"{"models":[{"name":"m","version":2}],"busy":false,"sequence":1}"#;

const fn report(text: &'static str) -> Behaviour {
    Behaviour::Answer(200, text)
}

/// Fleet of one upstream on version 1 that responds as told, while version 2 is named.
struct Fleet {
    _environment: TestEnvironment,
    _gateway: Gateway,
    upstream: Upstream,
    requests: Vec<SeenRequest>,
}

impl Fleet {
    async fn start(behaviours: Vec<Behaviour>) -> Self {
        let environment = TestEnvironment::start();
        let upstream = Upstream::start(behaviours).await;
        environment.configure_engines(1, &[]).await;
        environment.announce_engine("old", &upstream, 1).await;
        environment.name_version(2).await;
        let gateway = Gateway::start_with("g", environment.store(), &[], "");
        Self {
            _environment: environment,
            _gateway: gateway,
            upstream,
            requests: Vec::new(),
        }
    }

    /// Waits until the upstream has received this many calls of paths that begin with `path` and returns when that was seen.
    async fn receive(&mut self, path: &str, count: usize) -> Instant {
        until("a call of the upstream", async || {
            self.requests.extend(self.upstream.received());
            let requests = self.requests.iter();
            requests.filter(|seen| seen.path.starts_with(path)).count() >= count
        })
        .await;
        Instant::now()
    }

    fn paths(&self) -> Vec<&str> {
        self.requests
            .iter()
            .map(|seen| seen.path.as_str())
            .collect()
    }
}

fn reported(version: u64, is_busy: bool, accepted_orders: u64) -> ReportedWeights {
    ReportedWeights {
        version: Some(version),
        is_busy,
        accepted_orders,
    }
}

#[test]
fn a_report_tells_whether_an_order_is_carried_out() {
    assert_eq!(reported(2, false, 1).progress(2), OrderProgress::Loaded);
    assert_eq!(reported(3, false, 1).progress(2), OrderProgress::Loaded);
    assert_eq!(reported(2, true, 1).progress(2), OrderProgress::Loading);
    assert_eq!(reported(1, true, 1).progress(2), OrderProgress::Loading);
    assert_eq!(reported(1, false, 1).progress(2), OrderProgress::Idle);
    let unknown = ReportedWeights {
        version: None,
        ..reported(0, false, 0)
    };
    assert_eq!(unknown.progress(2), OrderProgress::Idle);
}

/// Reports lag behind by some hundred milliseconds; one from before the order was once taken for its end.
#[test]
fn a_report_that_may_be_older_than_an_accepted_order_does_not_end_it() {
    let (early, late) = (Duration::from_millis(600), Duration::from_millis(1_100));
    let progress = |before, accepted_orders, since_accepted| {
        reported(1, false, accepted_orders).progress_since(before, since_accepted, 2)
    };
    let (first, fourth) = (reported(1, false, 0), reported(1, false, 3));
    assert_eq!(progress(first, 0, early), OrderProgress::Loading);
    assert_eq!(progress(fourth, 3, late), OrderProgress::Loading);
    assert_eq!(progress(first, 0, late), OrderProgress::Idle, "a restart");
    assert_eq!(progress(fourth, 0, early), OrderProgress::Idle, "a restart");
    assert_eq!(progress(fourth, 4, early), OrderProgress::Idle);
    let loaded = reported(2, false, 4);
    let end = loaded.progress_since(fourth, early, 2);
    assert_eq!(end, OrderProgress::Loaded);
}

#[test]
fn a_report_shows_an_order_that_was_accepted_without_a_response() {
    let before = reported(1, false, 3);
    assert!(!reported(1, false, 3).has_accepted_since(before));
    assert!(reported(1, true, 3).has_accepted_since(before));
    assert!(reported(2, false, 4).has_accepted_since(before));
}

/// An order whose upstream restarted once kept its place and its upstream for four seconds.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_no_longer_carries_an_order_out_is_ordered_again_at_once() {
    let accepted = Behaviour::Answer(202, "");
    let mut fleet = Fleet::start(vec![report(IDLE), accepted, report(IDLE)]).await;
    let first = fleet.receive("/order", 1).await;
    let second = fleet.receive("/order", 2).await;
    let pause = second - first;
    assert!(pause < MAX_LOAD_TIME, "ordered again after {pause:?}");
}

/// Reports lag behind the response to an order; the order was once taken for dropped and sent again.
#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_order_is_not_sent_again_because_reports_lag_behind_it() {
    let accepted = Behaviour::Answer(202, "");
    let lagging = vec![report(LAGGING), accepted, report(LAGGING), report(LAGGING)];
    let behaviours = [lagging, vec![report(BUSY), report(LOADED)]].concat();
    let mut fleet = Fleet::start(behaviours).await;
    fleet.receive("", 5).await;
    let paths = ["/report", "/order", "/report", "/report", "/report"];
    assert_eq!(fleet.paths()[..5], paths);
}

/// A report right after a broken connection may be older than the order, which once counted as not accepted
/// although the upstream had begun to load.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_connection_breaks_is_not_looked_for_in_a_report_from_before_it() {
    let behaviours = vec![
        report(IDLE),
        Behaviour::Truncate,
        report(BUSY),
        report(LOADED),
    ];
    let mut fleet = Fleet::start(behaviours).await;
    fleet.receive("", 3).await;
    assert_eq!(fleet.paths()[..3], ["/report", "/order", "/report"]);
    let pause = fleet.requests[2].at - fleet.requests[1].at;
    assert!(pause >= REPORT_LAG, "looked for after {pause:?}");
}

/// The report after an order without a response shows that it was accepted, so that it is not repeated.
#[tokio::test(flavor = "multi_thread")]
async fn an_order_that_was_accepted_without_a_response_is_not_sent_again() {
    let lost = vec![report(LAGGING), Behaviour::Truncate, report(BUSY)];
    let behaviours = [lost, vec![report(LAGGING), report(LOADED)]].concat();
    let mut fleet = Fleet::start(behaviours).await;
    fleet.receive("", 5).await;
    let paths = ["/report", "/order", "/report", "/report", "/report"];
    assert_eq!(fleet.paths()[..5], paths);
}

/// An order without a response may be carried out late; the next one was once sent although the upstream
/// was loading, and refused.
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_carries_out_an_earlier_order_gets_no_other_one() {
    let behaviours = vec![report(BUSY), report(BUSY), report(BUSY), report(LOADED)];
    let mut fleet = Fleet::start(behaviours).await;
    fleet.receive("/report", 4).await;
    assert!(fleet.paths().iter().all(|path| *path == "/report"));
}

/// The claims after the first page of the log were once taken for read, so that two instances could hold one
/// upstream.
#[tokio::test(flavor = "multi_thread")]
async fn all_claims_are_read_before_one_is_appended() {
    let store = PagedStore::start(1).await;
    let environment = TestEnvironment::over(store.address);
    // As large as a record of the store can be.
    let odd = Bytes::from(vec![b'{'; 256 * 1024]);
    let count = 20;
    for _ in 0..count {
        store.append(ORDER_TOPIC, odd.clone());
    }
    let upstream = Upstream::start(vec![report(IDLE), Behaviour::Answer(202, "")]).await;
    environment.configure_engines(1, &[]).await;
    environment.announce_engine("old", &upstream, 1).await;
    environment.name_version(2).await;
    let _gateway = environment.gateway("g");
    until("an order", async || {
        upstream.received().iter().any(|seen| seen.path == "/order")
    })
    .await;
    let reads = store.reads(ORDER_TOPIC);
    let pages: Vec<usize> = (0..count).step_by(4).collect();
    assert_eq!(reads, pages);
}
