//! Which upstreams an instance searches the pace of, and what it tells and takes over from others.

mod dispatch_harness;

use std::time::Duration;

use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::load_features::LoadFeatures;
use bulrushslip::gateway::mail::{DispatchMail, TopicRecords};
use bulrushslip::kernel::Moment;
use bulrushslip::wire::pace_news::{WirePace, WirePaceSearch};
use bulrushslip::wire::peer_rpc::WireTopic;
use dispatch_harness::{DispatchDriver, dispatch_settings};

fn at(ms: u64) -> Moment {
    Moment::START.after(Duration::from_millis(ms))
}

fn instance(paces_upstreams: bool) -> DispatchDriver {
    let mut settings = dispatch_settings(9);
    settings.features = LoadFeatures { paces_upstreams };
    DispatchDriver::new(settings)
}

/// Passes the entry of an upstream to the instance.
fn list(driver: &mut DispatchDriver, now: Moment, id: &str, offset: u64) {
    let value = r#"{"service":"a","address":"127.0.0.1:2","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,"state":"ready",
        "born":1,"models":[]}"#;
    let record = KeyedRecord {
        key: id.to_owned(),
        value: Some(value.into()),
        position: LogOffset(offset).into(),
    };
    let records = TopicRecords {
        topic: WireTopic::Upstream,
        records: vec![record],
        next: LogOffset(offset + 1).into(),
        confirmed_at: now,
    };
    driver.send(now, DispatchMail::Records(records));
}

fn news(driver: &mut DispatchDriver, now: Moment) -> Vec<WirePace> {
    driver.ask(now, DispatchMail::BuildPaceNews)
}

/// Guards against an instance that takes all upstreams for newly started when it has started itself.
#[test]
fn only_entries_that_come_later_are_those_of_upstreams_that_have_started() {
    for (is_on, searched) in [(false, 0), (true, 1)] {
        let mut driver = instance(is_on);
        list(&mut driver, at(100), "i-1", 1);
        list(&mut driver, at(1_000), "i-2", 2);
        assert_eq!(news(&mut driver, at(1_000)), []);
        list(&mut driver, at(6_000), "i-3", 3);
        assert_eq!(news(&mut driver, at(6_000)).len(), searched);
    }
}

#[test]
fn a_search_ends_once_another_instance_has_had_answers_since_its_beginning() {
    let mut driver = instance(true);
    list(&mut driver, at(100), "i-1", 1);
    list(&mut driver, at(6_000), "i-2", 2);
    let searched = news(&mut driver, at(6_100))[0];
    let found = |answered_ago_ms| WirePace {
        answered_ago_ms,
        search: None,
        ..searched
    };
    let other_run = WirePace {
        born: searched.born + 1,
        ..found(50)
    };
    for stale in [found(500), other_run] {
        driver.send(at(6_200), DispatchMail::PaceNews(vec![stale]));
        assert!(news(&mut driver, at(6_200))[0].search.is_some());
    }
    driver.send(at(6_200), DispatchMail::PaceNews(vec![found(50)]));
    assert!(news(&mut driver, at(6_200))[0].search.is_none());
}

#[test]
fn an_instance_that_restarts_takes_over_a_running_search() {
    let mut driver = instance(true);
    list(&mut driver, at(100), "i-1", 1);
    let mut other = instance(true);
    list(&mut other, at(100), "i-0", 1);
    list(&mut other, at(6_000), "i-1", 2);
    let mut told = news(&mut other, at(6_000));
    let search = WirePaceSearch {
        began_ago_ms: 900,
        requests: 3,
        tokens: 4_000,
    };
    told[0].search = Some(search);
    driver.send(at(200), DispatchMail::PaceNews(told));
    let known = news(&mut driver, at(200))[0].search.expect("a search");
    assert_eq!((known.requests, known.tokens), (3, 4_000));
}
