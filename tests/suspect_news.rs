//! What instances tell each other of requests that crash upstreams.

mod dispatch_harness;

use std::time::Duration;

use bulrushslip::decide::ids::{EngineEpoch, Incarnation};
use bulrushslip::decide::suspects::{
    CrashId, Fingerprint, MergeOutcome, SuspectPolicy, SuspectTable, SuspectVerdict,
};
use bulrushslip::gateway::mail::DispatchMail;
use bulrushslip::kernel::Moment;
use bulrushslip::wire::suspect_news::WireSuspectNews;
use dispatch_harness::{DispatchDriver, dispatch_settings};

const REQUEST: Fingerprint = Fingerprint(7);

/// Time after the start of a play, before which crashes lie.
fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(60_000 + ms))
}

fn crash(upstream: u64) -> CrashId {
    CrashId {
        sidecar: Incarnation(upstream),
        epoch: EngineEpoch(1),
    }
}

fn news(upstream: u64, refused_ms: Option<u64>) -> WireSuspectNews {
    WireSuspectNews {
        fingerprint: REQUEST.0,
        upstream,
        born: 1,
        ago_ms: refused_ms.map_or(0, |_| 2_000 * upstream),
        refused_ms,
    }
}

/// Guards against instances that start after a request was refused and let it crash upstreams again.
#[test]
fn a_refused_request_is_told_as_long_as_it_is_refused() {
    let mut driver = DispatchDriver::new(dispatch_settings(1));
    let told = vec![news(1, Some(60_000)), news(2, Some(60_000))];
    driver.send(at(1_000), DispatchMail::SuspectNews(told));
    let mut left = Vec::new();
    for ms in [1_000, 30_000, 60_999, 61_000] {
        let news = driver.ask(at(ms), DispatchMail::BuildSuspectNews);
        left.push(news.iter().map(|news| news.refused_ms).collect::<Vec<_>>());
    }
    let both = |ms| vec![Some(ms), Some(ms)];
    assert_eq!(left, [both(60_000), both(31_000), both(1), Vec::new()]);
}

/// Guards against instances that refresh each other's knowledge so that a request is refused for ever.
#[test]
fn a_refused_request_is_forgotten_by_all_at_the_same_time() {
    let mut drivers = [1, 2].map(|id| DispatchDriver::new(dispatch_settings(id)));
    let told = vec![news(1, Some(5_000)), news(2, Some(5_000))];
    drivers[0].send(at(0), DispatchMail::SuspectNews(told));
    for ms in (0..20_000).step_by(250) {
        for (from, to) in [(0, 1), (1, 0)] {
            let news = drivers[from].ask(at(ms), DispatchMail::BuildSuspectNews);
            assert_eq!(
                news.is_empty(),
                ms >= 5_000,
                "instance {from} after {ms} ms"
            );
            drivers[to].send(at(ms), DispatchMail::SuspectNews(news));
        }
    }
}

/// Guards against a sound request that one instance goes on to refuse though others have had it answered.
#[test]
fn a_request_that_was_answered_is_cleared_at_all_instances() {
    let mut driver = DispatchDriver::new(dispatch_settings(1));
    let told = vec![news(1, Some(60_000)), news(2, Some(60_000))];
    driver.send(at(0), DispatchMail::SuspectNews(told.clone()));
    driver.send(at(100), DispatchMail::SuspectNews(vec![news(1, None)]));
    let passed_on = driver.ask(at(200), DispatchMail::BuildSuspectNews);
    assert_eq!(
        passed_on,
        [news(1, None)],
        "no longer refused, and the others hear why"
    );
    assert!(
        driver
            .ask(at(2_000), DispatchMail::BuildSuspectNews)
            .is_empty()
    );
    driver.send(at(2_100), DispatchMail::SuspectNews(told));
    let corrected = driver.ask(at(2_200), DispatchMail::BuildSuspectNews);
    assert_eq!(
        corrected,
        [news(1, None)],
        "who still refuses it is told again"
    );
}

fn table() -> SuspectTable {
    SuspectTable::new(SuspectPolicy {
        same_crash_ms: 1_000,
        ..SuspectPolicy::default()
    })
}

#[test]
fn merged_crashes_count_once_and_not_after_an_answer() {
    let mut table = table();
    let minute = Duration::from_mins(1);
    let mut merge = |upstream: u64, ms: u64| {
        let told = (crash(upstream), at(1_000 * upstream));
        let outcome = table.merge(at(ms), REQUEST, told, minute);
        (outcome, table.verdict(at(ms), REQUEST))
    };
    let (added, known) = (MergeOutcome::Added, MergeOutcome::Known);
    assert_eq!(merge(1, 5_000), (added, SuspectVerdict::Solo));
    assert_eq!(merge(1, 5_001), (known, SuspectVerdict::Solo));
    assert_eq!(merge(2, 5_002), (added, SuspectVerdict::Poisonous));
    table.clear(at(6_000), REQUEST, &[crash(1), crash(2)]);
    let told = (crash(2), at(2_000));
    let outcome = table.merge(at(6_001), REQUEST, told, minute);
    assert_eq!(outcome, MergeOutcome::Cleared);
    assert_eq!(table.verdict(at(6_001), REQUEST), SuspectVerdict::Free);
    assert_eq!(table.poisonous(at(6_001)).count(), 0);
}

/// Guards against refusing a request that was lost at one upstream and sent on to another, when both fail at
/// the same moment.
#[test]
fn upstreams_that_crash_at_the_same_moment_count_as_one_crash() {
    let mut table = table();
    assert!(table.report(at(0), REQUEST, crash(1)));
    assert!(table.report(at(100), REQUEST, crash(2)));
    assert_eq!(table.verdict(at(999), REQUEST), SuspectVerdict::Solo);
    assert!(table.report(at(1_000), REQUEST, crash(3)));
    assert_eq!(table.verdict(at(1_000), REQUEST), SuspectVerdict::Poisonous);
    let is_news = table.report(at(5_000), REQUEST, crash(4));
    assert!(!is_news, "refused already");
}

/// Guards against equal requests that arrive together and crash servers with each batch.
#[test]
fn a_third_crash_at_the_same_moment_is_no_coincidence() {
    let mut table = table();
    for upstream in 1..=3 {
        assert_ne!(table.verdict(at(0), REQUEST), SuspectVerdict::Poisonous);
        assert!(table.report(at(0), REQUEST, crash(upstream)));
    }
    assert_eq!(table.verdict(at(0), REQUEST), SuspectVerdict::Poisonous);
}
