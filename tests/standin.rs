//! Stand-ins as separate processes: engine, plain service and platform.

mod standin_harness;

use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::platform::http_client::{self, HttpError};
use bulrushslip::platform::log_client::{
    AppendOutcome, LogClient, LogPage, LogRecord, ReadOutcome, ReadWindow,
};
use bulrushslip::platform::store_client::{StoreAppend, StoreClient, StoreRead};
use bulrushslip::standin::token_text::{text_seed, token};
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use standin_harness::{LIMIT, Standin, StreamClose};
use tokio::time::timeout;

/// Time for which a connection must stay silent to count as silent.
const SILENCE_TIME: Duration = Duration::from_millis(100);

fn chat(content: &str) -> Value {
    json!({ "model": "m", "messages": [{ "role": "user", "content": content }] })
}

/// Returns the text of a range of output tokens for a chat with one user message.
fn output_text(content: &str, tokens: std::ops::Range<u64>) -> String {
    let seed = text_seed(&format!("user: {content}\n"));
    tokens.map(|index| token(seed, index)).collect()
}

#[tokio::test]
async fn a_resumed_stream_is_complete_and_the_request_runs_once() {
    let engine = Standin::start("engine", "--tokens 30 --decode-us 2000");
    let mut first = engine.run("r1", "", &chat("gate 7")).await;
    let mut received = String::new();
    for number in 0..3 {
        let (found, data) = first.next().await.expect("an event");
        assert_eq!(found, number);
        let chunk: Value = serde_json::from_str(&data).expect("a chunk");
        assert_eq!(chunk["object"], "chat.completion.chunk");
        received += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .expect("text");
    }
    drop(first);
    let from_20 = engine.resume("r1", 20).await;
    let (rest, close) = engine.resume("r1", 3).await.rest(3).await;
    assert_eq!(close, StreamClose::Done);
    let from_20 = from_20.rest(20).await;
    assert_eq!(from_20, (output_text("gate 7", 20..30), StreamClose::Done));
    assert_eq!(received + &rest, output_text("gate 7", 0..30));
    let again = engine.run("r1", "", &chat("gate 7")).await.rest(0).await;
    assert_eq!(again, (output_text("gate 7", 0..30), StreamClose::Done));
    let runs = engine.json("GET", "/admin/runs", "").await;
    assert_eq!(runs, json!({ "runs": { "r1": 1 }, "order": ["r1"] }));
    let unknown = engine.call("DELETE", "/requests/r2", "").await;
    assert_eq!(unknown.expect("a response").status, StatusCode::NOT_FOUND);
}

#[tokio::test]
async fn a_crash_aborts_streams_and_empties_the_cache_and_a_new_request_continues_the_output() {
    let engine = Standin::start("engine", "--tokens 400 --decode-us 5000 --restart-ms 50");
    let mut stream = engine.run("r1", "a,b", &chat("audit")).await;
    let old_epoch = stream.header("x-engine-epoch").to_owned();
    stream.next().await.expect("an event");
    engine.json("POST", "/admin/crash", "").await;
    assert_eq!(stream.rest(1).await.1, StreamClose::Aborted);
    let keys = engine.wait_up().await;
    assert_ne!(keys["epoch"].to_string(), old_epoch);
    assert_eq!(keys["keys"], json!([]));
    let path = "/requests/r1/stream?from=1";
    let forgotten = engine.call("GET", path, "").await.expect("a response");
    assert_eq!(forgotten.status, StatusCode::NOT_FOUND);
    let mut body = chat("audit");
    let delivered = json!({ "role": "assistant", "content": output_text("audit", 0..395) });
    body["messages"]
        .as_array_mut()
        .expect("a list")
        .push(delivered);
    let continued = engine.run("r2", "", &body).await.rest(0).await;
    assert_eq!(
        continued,
        (output_text("audit", 395..400), StreamClose::Done)
    );
}

#[tokio::test]
async fn a_request_that_crashes_the_engine_counts_as_one_start() {
    let engine = Standin::start("engine", "--decode-us 50000 --restart-ms 20");
    let crashed = engine.run("bad", "", &chat("crash-engine")).await;
    assert_eq!(crashed.rest(0).await.1, StreamClose::Aborted);
    engine.wait_up().await;
    let stats = engine.json("GET", "/admin/stats", "").await;
    assert_eq!(
        (&stats["crashes"], &stats["started"]),
        (&json!(1), &json!(1))
    );
    let runs = engine.json("GET", "/admin/runs", "").await;
    assert_eq!(runs["runs"], json!({ "bad": 1 }));
}

#[tokio::test]
async fn the_cache_matches_leading_pieces_and_its_feed_loses_events() {
    let flags = "--tokens 1 --prefill-us 0 --decode-us 0 --cache-pieces 40";
    let engine = Standin::start("engine", &format!("{flags} --event-loss-percent 50"));
    let keys: Vec<String> = (1..=50).map(|key| format!("{key:x}")).collect();
    let mut found = Vec::new();
    for (id, last) in [("r1", 30), ("r2", 40), ("r3", 50), ("r4", 50)] {
        let stream = engine.run(id, &keys[..last].join(","), &chat("x")).await;
        found.push(stream.header("x-cached-pieces").to_owned());
        stream.rest(0).await;
    }
    assert_eq!(found, ["0", "30", "40", "40"]);
    let unrelated = engine.run("r5", "ff", &chat("x")).await;
    assert_eq!(unrelated.header("x-cached-pieces"), "0");
    unrelated.rest(0).await;
    let feed = engine
        .json("GET", "/cache/events?from=1&wait_ms=0", "")
        .await;
    // 40 pieces were stored, then the piece of the unrelated prompt evicted the last of them.
    assert_eq!(feed["next"], 43);
    let events = feed["events"].as_array().expect("a list");
    assert!(
        !events.is_empty() && events.len() < 42,
        "some events are lost, but not all"
    );
    let cached = engine.json("GET", "/cache/keys", "").await;
    assert_eq!(cached["next"], 43);
    assert_eq!(cached["keys"].as_array().map(Vec::len), Some(40));
    let load = engine.json("GET", "/load", "").await;
    assert_eq!(
        (&load["cached_pieces"], &load["capacity_pieces"]),
        (&json!(40), &json!(40))
    );
}

#[tokio::test]
async fn urgent_requests_leave_the_queue_first() {
    let engine = Standin::start("engine", "--slots 1 --tokens 1000000 --decode-us 1000000");
    let running = engine.run("running", "", &chat("x")).await;
    let open = |id, priority| {
        let headers = [("x-request-id", id), ("x-priority", priority)];
        let request = engine.request(Method::POST, "/v1/completions", &headers, "{}");
        tokio::spawn(http_client::open(engine.address, request, LIMIT))
    };
    let mut poll = tokio::time::interval(Duration::from_millis(2));
    let mut waiting = Vec::new();
    for (id, priority) in [("routine", "1"), ("urgent", "0")] {
        waiting.push(open(id, priority));
        while engine.json("GET", "/load", "").await["waiting"] != waiting.len() {
            poll.tick().await;
        }
    }
    for id in ["running", "urgent", "routine"] {
        let cancelled = engine.json("DELETE", &format!("/requests/{id}"), "").await;
        assert_eq!(cancelled["started"], true, "{id} had started");
    }
    let runs = engine.json("GET", "/admin/runs", "").await;
    assert_eq!(runs["order"], json!(["running", "urgent", "routine"]));
    drop(running);
}

#[tokio::test]
async fn load_orders_change_the_version_and_old_fences_are_refused() {
    let engine = Standin::start("engine", "--checks-fence --load-ms 0 --tokens 1");
    let order = |fence| json!({ "model": "m", "version": "v2", "fence": fence }).to_string();
    assert_eq!(
        engine.json("POST", "/orders/load", &order(5)).await["version"],
        "v2"
    );
    let refused = engine.json("POST", "/orders/load", &order(4)).await;
    assert_eq!(refused["error"]["code"], "old_fence");
    let run = |id, version| {
        let headers = [("x-request-id", id), ("x-weights-version", version)];
        let request = engine.request(Method::POST, "/v1/completions", &headers, "{}");
        http_client::call(engine.address, request, LIMIT)
    };
    assert_eq!(
        run("old", "v1").await.expect("a response").status,
        StatusCode::CONFLICT
    );
    assert_eq!(
        run("new", "v2").await.expect("a response").status,
        StatusCode::OK
    );
    assert_eq!(
        engine.json("GET", "/admin/runs", "").await["order"],
        json!(["new"])
    );
}

#[tokio::test]
async fn silenced_streams_stay_open_and_new_connections_work_until_a_freeze() {
    let engine = Standin::start("engine", "--tokens 100000 --decode-us 5000");
    let mut silent = engine.run("r1", "", &chat("x")).await;
    silent.next().await.expect("an event");
    engine.json("POST", "/admin/silence", "").await;
    let mut resumed = engine.resume("r1", 0).await;
    for number in 0..40 {
        assert_eq!(resumed.next().await.expect("an event").0, number);
    }
    // Events sent before the fault are still read; a stream in operation has one every 5 ms.
    let mut buffered_events = 0;
    while let Ok(event) = timeout(SILENCE_TIME, silent.next()).await {
        event.expect("a silenced connection stays open");
        buffered_events += 1;
        assert!(
            buffered_events < 1_000,
            "the silenced stream still delivers events"
        );
    }
    engine.json("POST", "/admin/freeze?ms=60000", "").await;
    let request = engine.request(Method::GET, "/load", &[], "");
    let frozen = http_client::call(engine.address, request, SILENCE_TIME).await;
    assert!(matches!(frozen, Err(HttpError::Timeout)));
    engine.json("GET", "/admin/stats", "").await;
    engine.json("POST", "/admin/freeze?ms=0", "").await;
    engine.json("GET", "/load", "").await;
}

#[tokio::test]
async fn a_plain_service_counts_every_run_and_injects_failures() {
    let plain = Standin::start("plain", "--name certificates");
    plain.json("POST", "/admin/fail?next=1", "").await;
    let run = || {
        let request = plain.request(Method::POST, "/file", &[("x-request-id", "r1")], "record");
        http_client::call(plain.address, request, LIMIT)
    };
    let failed = run().await.expect("a response").status;
    assert_eq!(failed, StatusCode::INTERNAL_SERVER_ERROR);
    let body = run().await.expect("a response").body;
    let response: Value = serde_json::from_slice(&body).expect("a JSON body");
    assert_eq!(
        (&response["service"], &response["count"]),
        (&json!("certificates"), &json!(2))
    );
    assert_eq!(response["echo"]["body"], "record");
    assert_eq!(plain.json("GET", "/admin/runs", "").await["runs"]["r1"], 2);
}

#[tokio::test]
async fn the_log_numbers_records_wakes_readers_and_injects_faults() {
    let platform = Standin::start("platform", "--retention-records 3");
    let append = |body: &str| {
        let body = body.to_owned();
        let log = LogClient::new(platform.address, "s");
        async move { log.append(body).await }
    };
    let read = |from, wait| {
        let log = LogClient::new(platform.address, "s");
        let window = ReadWindow {
            from: LogOffset(from),
            limit: 1,
            wait,
        };
        async move { log.read(window).await }
    };
    let page = |first, next, offset, body: &str| {
        ReadOutcome::Page(LogPage {
            era: StoreEra(0),
            first: LogOffset(first),
            next: LogOffset(next),
            records: vec![LogRecord {
                offset: LogOffset(offset),
                body: body.to_owned(),
            }],
        })
    };
    let (first, offset) = tokio::join!(read(0, Duration::from_secs(10)), append("one"));
    assert_eq!(offset, AppendOutcome::Appended(LogPosition::default()));
    assert_eq!(first, page(0, 1, 0, "one"));
    platform
        .json("POST", "/admin/lose-answers?next=1", "")
        .await;
    let lost = append("two").await;
    assert!(matches!(lost, AppendOutcome::Unknown(_)), "{lost:?}");
    assert_eq!(read(1, Duration::ZERO).await, page(0, 2, 1, "two"));
    platform.json("POST", "/admin/outage?ms=60000", "").await;
    let refused = append("no").await;
    assert!(matches!(refused, AppendOutcome::Refused(_)), "{refused:?}");
    let unread = read(0, Duration::ZERO).await;
    assert!(matches!(unread, ReadOutcome::Unavailable(_)), "{unread:?}");
    platform.json("POST", "/admin/outage?ms=0", "").await;
    for body in ["three", "four", "five"] {
        append(body).await;
    }
    assert_eq!(read(0, Duration::ZERO).await, page(2, 5, 2, "three"));
    platform
        .json("POST", "/log-trim?topic=s&part=0&before=4", "")
        .await;
    assert_eq!(read(0, Duration::ZERO).await, page(4, 5, 4, "five"));
}

#[tokio::test]
async fn the_log_appends_at_an_expected_offset_and_retains_the_newest_record_of_each_key() {
    let platform = Standin::start("platform", "--retention-records 2");
    let mut store = StoreClient::new(platform.address);
    let keyed = |key: &str, value: &str| {
        let length = u8::try_from(key.len()).expect("a short key");
        [&[length][..], key.as_bytes(), value.as_bytes()].concat()
    };
    for (at, key, value) in [(0, "a", "1"), (1, "b", "2"), (2, "a", "3"), (3, "b", "")] {
        let record = keyed(key, value);
        let appended = store.append_at("keyed.t", LogOffset(at), &record);
        let appended = appended.await.expect("a response");
        assert!(matches!(appended, StoreAppend::Appended(offset) if offset.0 == at));
    }
    let record = keyed("a", "4");
    let moved = store.append_at("keyed.t", LogOffset(3), &record);
    assert!(matches!(moved.await, Ok(StoreAppend::OffsetMismatch)));
    let newest = store.newest("keyed.t").await.expect("a response");
    let record = KeyedRecord {
        key: "a".to_owned(),
        value: Some("3".into()),
        position: LogOffset(2).into(),
    };
    assert_eq!(
        (newest.records, newest.end),
        (vec![record], LogOffset(4).into())
    );
    let deleted = store.read("keyed.t", LogOffset(0), Duration::ZERO).await;
    assert!(matches!(deleted, Ok(StoreRead::Deleted { first }) if first.0 == 2));
}

#[tokio::test]
async fn the_platform_serves_weights_and_stores_values() {
    let platform = Standin::start("platform", "--load-ms 0");
    platform.json("GET", "/weights/m/v2", "").await;
    platform.json("PUT", "/kv/piece", "bytes").await;
    assert_eq!(
        platform
            .call("GET", "/kv/piece", "")
            .await
            .expect("a response")
            .body,
        "bytes"
    );
    let head = platform
        .call("HEAD", "/kv/other", "")
        .await
        .expect("a response");
    assert_eq!(head.status, StatusCode::NOT_FOUND);
}
