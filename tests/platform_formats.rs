//! Decoding and encoding of the platform's documents, records and headers.

use bulrushslip::decide::fleet::MemberState;
use bulrushslip::decide::hashing::name_hash;
use bulrushslip::decide::ids::{LogOffset, LogPosition, StoreEra};
use bulrushslip::decide::request_limit::{LimitNotice, LimitRate};
use bulrushslip::decide::route_table::{DataCentreId, RouteKind, ServiceId};
use bulrushslip::platform::config_document::decode_configuration;
use bulrushslip::platform::engine_calls::{OrderReply, WeightsOrder, order_request};
use bulrushslip::platform::request_headers::{
    answers_request, forwardable_headers, is_authentic_response, prompt_shape,
};
use bulrushslip::platform::settings_file::{InstanceSettings, SettingsError};
use bulrushslip::platform::store_records::{StorePage, StoreRecord, decode_keyed};
use bulrushslip::platform::upstream_entry::{decode_entry, entry_meaning};
use bulrushslip::platform::upstream_notice::{SERVER_LIMIT, read_notice};
use http_body_util::BodyExt;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, StatusCode};

const SETTINGS: &str = "node-name=front-1
zone=bangor
ip=127.0.0.1
listen.front=127.0.0.1:8782
listen.ready=127.0.0.1:8789
internal-ports=7340,7355
seeds=127.0.0.2:8783,broken,127.0.0.3:8783
platform.address=127.0.0.1:8784
bounds.grace-s=8
bounds.lease-ms=3000
bounds.version-ms=8000
bounds.stable-window-ms=3000
bounds.retry-budget-ratio=0.2
bounds.budget-extra-retries=56
a.field.of.later=1
";

#[test]
fn settings_are_parsed_and_unknown_fields_ignored() {
    let settings = InstanceSettings::parse(SETTINGS).expect("settings");
    assert_eq!(settings.name, "front-1");
    assert_eq!(settings.peer_address.to_string(), "127.0.0.1:7340");
    let seeds: Vec<String> = settings
        .seed_peers
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(seeds, ["127.0.0.2:7340", "127.0.0.3:7340"]);
    assert_eq!(settings.holder_turn.as_millis(), 3_000);
}

#[test]
fn errors_name_the_setting_that_is_missing_or_invalid() {
    let required = SETTINGS
        .lines()
        .filter(|line| !line.starts_with("seeds") && !line.starts_with("a."));
    for line in required {
        let name = line.split('=').next().expect("a name");
        let without = SETTINGS.replace(line, "");
        let error = InstanceSettings::parse(&without).expect_err(name);
        assert!(
            matches!(error, SettingsError::Missing(field) if field == name),
            "{error}"
        );
        assert_eq!(error.to_string().lines().count(), 1);
    }
    // Deployments without the drain contract state no drain limit.
    let stated = format!("{SETTINGS}\nbounds.drain-ms=3500\n");
    for (text, limit_ms) in [(SETTINGS, 2_000), (&stated, 3_500)] {
        let settings = InstanceSettings::parse(text).expect("valid settings");
        assert_eq!(settings.drain_limit.as_millis(), limit_ms);
    }
    let wrong = SETTINGS.replace("bounds.grace-s=8", "bounds.grace-s=soon");
    let error = InstanceSettings::parse(&wrong).expect_err("a word instead of a number");
    assert_eq!(
        error.to_string(),
        "the setting bounds.grace-s cannot be \"soon\""
    );
}

#[test]
fn configuration_documents_are_decoded() {
    let text = r#"{"version":7,"routes":[
        {"name":"a","host":"h.example","path-prefix":"/p/","kind":"streaming","timeout-ms":10000,
         "target-latency-ms":1500,"priority":2,"max-attempts":2,"sticky":true,"resumable":true,
         "traffic-split":[{"service":"llm","weight":90},{"service":"plain","weight":10}]},
        {"name":"b","host":"h.example","path-prefix":"/q/","kind":"of-later","timeout-ms":1,
         "target-latency-ms":1,"max-attempts":0,"service":"plain"}],
        "services":[{"name":"llm","max-connections":240,"engine":{"kv-capacity-tokens":1000,
         "token-kv-bytes":327680,"link-mbps":280000.0}},
         {"name":"keep","kv-store-addr":"127.0.0.1:9","zone":"bangor"}],
        "limits":{"max-header-bytes":1,"max-body-bytes":2,"header-timeout-ms":3,"idle-timeout-ms":4},
        "tenants":[{"name":"t","api-keys":["k"],"priority":1,"isolated":true}]}"#;
    let decoded = decode_configuration(text.as_bytes()).expect("a configuration");
    assert_eq!(decoded.version, 7);
    assert_eq!(decoded.routes[0].kind, RouteKind::ResumableStream);
    assert_eq!(decoded.routes[0].targets.len(), 2);
    // A request of an unknown kind is never retried, and the limit of attempts is at least 1.
    assert_eq!(decoded.routes[1].kind, RouteKind::NonIdempotent);
    assert_eq!(decoded.routes[1].max_attempts, 1);
    let engine = decoded.services[0].engine.expect("an engine");
    assert!((engine.token_move_us - 9.362).abs() < 0.001);
    assert_eq!(decoded.kv_stores[0].data_centre, DataCentreId::of("bangor"));
    assert!(decoded.customers.expect("customers")[0].is_isolated);
    decode_configuration(b"{}").expect_err("missing fields");
}

#[test]
fn entries_state_the_version_of_the_software_as_text_or_number() {
    let decode = |version: &str| {
        let text = format!(
            r#"{{"service":"s","address":"127.0.0.1:1","zone":"z","slots":3,"state":"ready",
            "cold-left-ms":0,"sequence":1{version}}}"#
        );
        let entry = decode_entry("i-1", text.as_bytes());
        (
            entry.map(|entry| entry.software),
            entry_meaning(text.as_bytes()),
        )
    };
    decode("").0.expect_err("no version");
    let (first, first_meaning) = decode(r#","version":"v1""#);
    let (second, second_meaning) = decode(r#","version":"v1.1""#);
    assert_ne!(first, second);
    assert_ne!(first_meaning, second_meaning);
    assert_eq!(decode(r#","version":"7""#).0, decode(r#","version":7"#).0);
    decode(r#","version":[1]"#)
        .0
        .expect_err("neither text nor number");
}

#[test]
fn malformed_upstream_entries_are_rejected() {
    let good = r#"{"service":"s","address":"127.0.0.1:1","zone":"z","slots":3,"state":"draining",
        "models":[{"name":"m","version":4}],"born":17,"version":"v1","cold-left-ms":0,"sequence":9}"#;
    let entry = decode_entry("i-1", good.as_bytes()).expect("an entry");
    assert_eq!(entry.state, MemberState::Draining);
    assert_eq!(
        (entry.service, entry.started_unix_ms),
        (ServiceId::of("s"), 17)
    );
    assert_eq!(entry.weights.expect("weights").version, 4);
    let bad = [
        good.replace("draining", "asleep"),
        good.replace("127.0.0.1:1", "nowhere"),
        good.replace("\"slots\":3", "\"slots\":0"),
        good.replace("\"slots\":3", "\"slots\":\"3\""),
        good.replace("\"service\":\"s\",", ""),
        good.replace("\"zone\":\"z\",", ""),
        good.replace("\"version\":\"v1\",", ""),
        good.replace("\"cold-left-ms\":0,", ""),
        good.replace(",\"sequence\":9", ""),
        good.replace("\"cold-left-ms\":0", "\"cold-left-ms\":\"0\""),
        good.replace("\"sequence\":9", "\"sequence\":\"9\""),
        "\u{0}\u{1}".to_owned(),
    ];
    for text in bad {
        assert!(decode_entry("i-1", text.as_bytes()).is_err(), "{text}");
    }
    for id in ["i-1\n", "i-1\u{0}", "i-1\u{7f}"] {
        assert!(decode_entry(id, good.as_bytes()).is_err(), "{id:?}");
    }
}

#[test]
fn store_pages_number_their_records_and_truncated_pages_are_rejected() {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&9_u64.to_be_bytes());
    bytes.extend_from_slice(&7_u64.to_be_bytes());
    for body in [&b"\x01a1"[..], b"\x01a"] {
        bytes.extend_from_slice(&u32::try_from(body.len()).expect("short").to_be_bytes());
        bytes.extend_from_slice(body);
    }
    let page = StorePage::decode(LogOffset(5), bytes.clone().into()).expect("a page");
    assert_eq!(page.end, LogOffset(9));
    let in_era = |offset| LogPosition {
        era: StoreEra(3),
        offset: LogOffset(offset),
    };
    let keyed: Vec<_> = page
        .records
        .iter()
        .filter_map(|record| decode_keyed(StoreEra(3), record))
        .collect();
    assert_eq!(
        (keyed[0].position, keyed[1].position),
        (in_era(7), in_era(8))
    );
    assert_eq!(keyed[0].value.as_deref(), Some(&b"1"[..]));
    assert_eq!(keyed[1].value, None);
    for length in [0, 15, 17, bytes.len() - 1] {
        let part = bytes[..length].to_vec();
        assert_eq!(
            StorePage::decode(LogOffset(5), part.into()),
            None,
            "{length} bytes"
        );
    }
    let truncated = StoreRecord {
        offset: LogOffset(0),
        body: b"\x05ab"[..].into(),
    };
    assert_eq!(decode_keyed(StoreEra(0), &truncated), None);
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(*name, value.parse().expect("a value"));
    }
    headers
}

#[test]
fn reserved_and_hop_by_hop_headers_are_not_forwarded() {
    let received = headers(&[
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "3"),
        ("x-api-key", "k"),
        ("x-tenant", "forged"),
        ("x-cache-salt", "forged"),
        ("x-hold", "1"),
        ("x-pin-ms", "1"),
        ("x-kv-backup", "127.0.0.1:1"),
        ("kv-from", "127.0.0.1:1/2"),
        ("x-expect-instance", "forged"),
        ("x-request-id", "r"),
        ("x-token-usage", "3,4"),
        ("x-other", "1"),
    ]);
    let sent = forwardable_headers(&received);
    let mut names: Vec<&str> = sent.keys().map(hyper::header::HeaderName::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["x-other", "x-request-id", "x-token-usage"]);
}

#[test]
fn authentic_responses_are_signed_unencoded_and_for_the_same_request() {
    let id = "r1".parse().expect("a value");
    let authentic = [("x-server-seal", "s"), ("x-request-id", "r1")];
    assert!(is_authentic_response(&headers(&authentic)));
    assert!(answers_request(&headers(&authentic), Some(&id), false));
    assert!(!is_authentic_response(&headers(&authentic[1..])));
    let other_request = [("x-server-seal", "s"), ("x-request-id", "r2")];
    for is_first in [true, false] {
        assert!(!answers_request(
            &headers(&other_request),
            Some(&id),
            is_first
        ));
        assert!(!answers_request(&headers(&other_request), None, is_first));
        assert_eq!(
            answers_request(&headers(&[]), Some(&id), is_first),
            is_first
        );
    }
    let encoded = [("x-server-seal", "s"), ("content-encoding", "gzip")];
    assert!(!is_authentic_response(&headers(&encoded)));
}

#[test]
fn the_last_segment_of_a_prompt_is_not_part_of_the_shared_prefix() {
    let shape = prompt_shape(&headers(&[
        ("x-model", "m"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ]))
    .expect("a prompt");
    assert_eq!(shape.model, name_hash("m"));
    assert_eq!((shape.prompt_tokens, shape.answer_tokens), (1_460, 80));
    assert_eq!((shape.shared().len(), shape.shared_tokens()), (2, 1_210));
    assert_eq!(prompt_shape(&HeaderMap::new()), None);
}

#[tokio::test]
async fn an_order_contains_the_expected_number_of_accepted_orders() {
    let order = WeightsOrder {
        upstream: "i-1",
        model: "m",
        version: 2,
        holder: "front-1",
        fence: 41,
        expected_orders: 3,
    };
    let request = order_request(&order).expect("a request");
    assert_eq!(request.headers()["x-expect-instance"], "i-1");
    let body = request
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
    assert_eq!(body["expect"], 3);
    assert_eq!(
        (&body["mode"], &body["fence"]),
        (&"wait".into(), &41.into())
    );
    assert_eq!(OrderReply::from(StatusCode::CONFLICT), OrderReply::Conflict);
}

/// Guards against limits of upstreams that no upstream can mean.
#[test]
fn limits_are_decimal_numbers_and_others_are_reported_as_invalid() {
    let read = |value: Option<&'static str>| {
        let mut headers = HeaderMap::new();
        if let Some(value) = value {
            headers.insert(SERVER_LIMIT, HeaderValue::from_static(value));
        }
        let reading = read_notice(StatusCode::OK, &headers);
        (reading.notice.limit, reading.has_invalid)
    };
    let limited = |milli| (LimitNotice::Limited(LimitRate(milli)), false);
    assert_eq!(read(None), (LimitNotice::Unlimited, false));
    assert_eq!(read(Some("4.25")), limited(4_250));
    assert_eq!(read(Some("0")), limited(0));
    assert_eq!(read(Some("1e300")), limited(1_000_000_000_000));
    for invalid in ["", "-1", "NaN", "inf", "4/s", "four"] {
        assert_eq!(
            read(Some(invalid)),
            (LimitNotice::Unstated, true),
            "{invalid}"
        );
    }
}
