//! Metrics that an entry process sends over UDP.

mod common;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::time::Duration;

use common::{API_KEY, Fleet, FleetOptions, MODEL, post};
use serde_json::json;

/// Timeout for the next datagram.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Adds the counters of one datagram to `counts`, keyed by metric name and last tag.
fn add_counts(counts: &mut BTreeMap<String, u64>, datagram: &str) {
    for line in datagram.lines() {
        let parts: Vec<&str> = line.split('|').collect();
        let (name, value) = parts[0].split_once(':').expect("a name and a value");
        let tag = parts.iter().find_map(|part| part.strip_prefix('#'));
        let tag = tag.and_then(|tags| tags.rsplit(',').next()).unwrap_or("");
        *counts.entry(format!("{name} {tag}")).or_default() += value.parse().unwrap_or(1);
    }
}

#[tokio::test]
async fn an_entry_counts_requests_by_rank_and_status() {
    let receiver = UdpSocket::bind("127.0.0.1:0").expect("a port");
    receiver
        .set_read_timeout(Some(RECEIVE_TIMEOUT))
        .expect("a read timeout");
    let address = receiver.local_addr().expect("an address").to_string();
    let options = FleetOptions {
        // `FleetOptions` needs arguments with a static lifetime.
        entry: vec!["--metrics", address.leak()],
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let bearer = format!("Bearer {API_KEY}");
    for rank in ["urgent", "routine", "routine"] {
        let headers = [("authorization", bearer.as_str()), ("x-rank", rank)];
        let messages = json!([{"role": "user", "content": "state"}]);
        let body = json!({"model": MODEL, "messages": messages, "max_tokens": 2});
        let response = post(
            fleet.entry(0),
            "/v1/chat/completions",
            &headers,
            body.to_string(),
        )
        .await;
        assert_eq!(response.status, 200, "{}", response.text);
    }
    let expected = [
        ("bulrushslip.endings status:complete", 3),
        ("bulrushslip.requests rank:routine", 2),
        ("bulrushslip.requests rank:urgent", 1),
        ("bulrushslip.submissions rank:routine", 2),
    ];
    let mut counts = BTreeMap::new();
    let mut datagram = [0; 2048];
    let is_missing = |counts: &BTreeMap<String, u64>| {
        let is_below = |(name, count): &(&str, u64)| counts.get(*name).is_none_or(|c| c < count);
        expected.iter().any(is_below)
    };
    while is_missing(&counts) {
        let length = receiver.recv(&mut datagram).expect("a datagram in time");
        add_counts(&mut counts, &String::from_utf8_lossy(&datagram[..length]));
    }
    for (name, count) in expected {
        assert_eq!(counts[name], count, "{counts:?}");
    }
    assert!(
        counts.contains_key("bulrushslip.first_token rank:routine"),
        "{counts:?}"
    );
}
