//! Log events: the catalogue, the rendering of lines and the generated page.

#[path = "common/pages.rs"]
mod pages;

use bulrushslip::decide::ids::{Incarnation, Ticket};
use bulrushslip::events::{CATALOGUE, LOG_UNREADABLE, json_line, markdown, text_line};
use bulrushslip::kernel::Moment;
use bulrushslip::services::caller_side::journal::{ReportStep, RequestReport};

#[test]
fn numbers_ascend_and_names_are_unique() {
    for pair in CATALOGUE.windows(2) {
        assert!(pair[0].number < pair[1].number, "{}", pair[1].name);
    }
    let mut names: Vec<&str> = CATALOGUE.iter().map(|kind| kind.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), CATALOGUE.len());
}

#[test]
fn values_cannot_imitate_fields_or_lines() {
    let reason = "a=b \"c\"\nevent=101";
    let line = text_line(&LOG_UNREADABLE, &[("reason", &reason), ("tries", &3)]);
    assert_eq!(
        line,
        "event=202 name=log_unreadable reason=\"a=b \\\"c\\\"\\nevent=101\" tries=3"
    );
    let line = json_line(&LOG_UNREADABLE, &[("reason", &reason)]);
    let object: serde_json::Value = serde_json::from_str(&line).expect("a JSON object");
    assert_eq!(object["reason"], reason);
    assert_eq!(
        (&object["event"], &object["level"]),
        (&202.into(), &"WARN".into())
    );
}

#[test]
fn the_steps_of_a_request_are_listed_with_their_times() {
    let step = |at_ms: u64, ticket, event: &str| ReportStep {
        at: Moment::from_micros(at_ms * 1_000),
        upstream: "engine-0".to_owned(),
        ticket,
        event: event.to_owned(),
        repeats: 0,
    };
    let ticket = Ticket {
        entry: Incarnation(0xab),
        sequence: 7,
    };
    let mut report = RequestReport {
        id: 1,
        customer: "agency".to_owned(),
        rank: "urgent",
        target: "service gates".to_owned(),
        admitted_at: Moment::from_micros(5_000),
        steps: Vec::new(),
        dropped_steps: 0,
        reported: None,
    };
    report.add(step(6, None, "Chosen"));
    // A call that is repeated every few milliseconds does not crowd out what follows it.
    for at_ms in 1_005..1_105 {
        report.add(step(at_ms, Some(ticket), "Lost"));
    }
    for _ in 0..33 {
        report.add(step(1_105, None, "Chosen"));
        report.add(step(1_105, Some(ticket), "Accepted"));
    }
    let pair = "1100 ms engine-0 - Chosen; 1100 ms engine-0 00000000000000ab-7 Accepted; ";
    let folded =
        "1 ms engine-0 - Chosen; 1000 ms engine-0 00000000000000ab-7 Lost and 99 times more; ";
    assert_eq!(
        report.steps_text(),
        format!("{folded}{}36 more", pair.repeat(15))
    );
}

#[test]
fn the_events_page_matches_the_catalogue() {
    let page = format!(
        "# Events\n\n\
         Every log line is a numbered event. Entries and sidecars write it to standard error, as\n\
         `key=value` fields or, with `--log-format json`, as a JSON object; gateways write JSON\n\
         objects to standard output. Numbers and names never change. The first digit gives the\n\
         area: 1 process, 2 configuration, 3 requests, 4 upstreams and orders, 5 operators. This\n\
         page is generated from `src/events/catalogue.rs`.\n\n{}",
        markdown()
    );
    pages::check_page("docs/EVENTS.md", &page);
}
