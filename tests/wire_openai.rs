//! OpenAI-compatible API: prompts, continuations, merging of chunks, and server-sent events.

mod property;

use bulrushslip::decide::outcome::{RefusalReason, RunStatus};
use bulrushslip::wire::openai::{
    ApiKind, CallerError, CallerRequest, ChunkAction, ContinuationBody, ErrorBody, RequestError,
    ResponseAccumulator, refusal_status,
};
use bulrushslip::wire::sse::{SseDecoder, SseEvent, SseStep, encode};
use serde_json::{Value, json};

/// Number of generated inputs per property.
const CASES: u64 = 2_000;

fn chat(body: &Value) -> CallerRequest {
    CallerRequest::parse(ApiKind::Chat, body.to_string().as_bytes()).expect("a valid request")
}

fn accumulator_for(request: &CallerRequest) -> ResponseAccumulator {
    ResponseAccumulator::new(request, "chatcmpl-1".to_owned(), 5)
}

fn delta(delta: &Value) -> Vec<u8> {
    json!({"id": "engine", "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": delta, "finish_reason": null}]})
    .to_string()
    .into_bytes()
}

fn forwarded(step: ChunkAction) -> Value {
    let ChunkAction::Forward(payload) = step else {
        panic!("not forwarded: {step:?}");
    };
    serde_json::from_slice(&payload).expect("a chunk")
}

#[test]
fn errors_name_the_invalid_field() {
    let parse = |body: &str| CallerRequest::parse(ApiKind::Chat, body.as_bytes());
    assert!(matches!(parse("{"), Err(RequestError::Malformed(_))));
    for (body, field) in [
        (json!({"messages": [{"role": "user"}]}), "model"),
        (json!({"model": "m", "messages": []}), "messages"),
        (
            json!({"model": "m", "messages": [{"content": "x"}]}),
            "messages",
        ),
        (
            json!({"model": "m", "messages": [{"role": "u"}], "stream": 1}),
            "stream",
        ),
        (
            json!({"model": "m", "messages": [{"role": "u"}], "n": 0}),
            "n",
        ),
        (
            json!({"model": "m", "messages": [{"role": "u"}], "max_tokens": 0}),
            "max_tokens",
        ),
    ] {
        let error = parse(&body.to_string()).expect_err("an invalid field");
        assert_eq!(ErrorBody::from(&error).param.as_deref(), Some(field));
        assert_eq!(CallerError::from(&error).status().status, 400);
    }
}

#[test]
fn canonical_prompts_keep_common_prefixes_and_never_collide() {
    let prompt = |text: &str, more: Value| {
        let mut body = json!({"model": "m", "messages": [{"role": "user", "content": text}]});
        body.as_object_mut()
            .expect("an object")
            .extend(more.as_object().expect("an object").clone());
        chat(&body).prompt
    };
    let long = "preamble ".repeat(100);
    let one = prompt(&format!("{long}one"), json!({}));
    let two = prompt(&format!("{long}two"), json!({"temperature": 1}));
    let shared = one.iter().zip(&two).take_while(|(a, b)| a == b).count();
    assert!(
        shared >= long.len(),
        "the common prefix has only {shared} bytes"
    );
    assert_ne!(
        prompt("x", json!({})),
        prompt("x", json!({"tools": [{"type": "f"}]}))
    );
    assert_ne!(
        prompt("a\",\"b", json!({})),
        prompt("a", json!({"tools": ["b"]}))
    );
    assert_ne!(
        chat(&json!({"model": "m", "messages": [{"role": "a", "content": "b\nc"}]})).prompt,
        chat(
            &json!({"model": "m", "messages": [{"role": "a", "content": "b"},
            {"role": "c", "content": ""}]})
        )
        .prompt
    );
}

#[test]
fn upstream_bodies_stream_and_continuations_reduce_limits() {
    let request = chat(&json!({"model": "m", "max_tokens": 10, "seed": 4,
        "messages": [{"role": "user", "content": "q"}]}));
    let body: Value = serde_json::from_slice(&request.upstream_body()).expect("JSON");
    assert_eq!((&body["stream"], &body["seed"]), (&json!(true), &json!(4)));
    assert_eq!(body["stream_options"]["include_usage"], json!(true));
    let ContinuationBody::Body(next) = request.continuation("half", 4) else {
        panic!("not continued");
    };
    let next: Value = serde_json::from_slice(&next).expect("JSON");
    assert_eq!(next["max_tokens"], json!(6));
    assert_eq!(
        next["messages"][1],
        json!({"role": "assistant", "content": "half"})
    );
    assert_eq!(request.continuation("all", 10), ContinuationBody::AtLimit);
    let text = json!({"model": "m", "prompt": "once", "n": 2}).to_string();
    let text = CallerRequest::parse(ApiKind::Text, text.as_bytes()).expect("a valid request");
    assert_eq!(text.continuation("x", 1), ContinuationBody::Unsupported);
}

#[test]
fn a_continued_stream_gives_one_response() {
    let request = chat(&json!({"model": "m", "stream": true,
        "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": "q"}]}));
    let mut accumulator = accumulator_for(&request);
    forwarded(accumulator.accept(&delta(&json!({"role": "assistant", "content": ""}))));
    let first = forwarded(accumulator.accept(&delta(&json!({"content": "one "}))));
    assert_eq!(accumulator.delivered().expect("continuable").text, "one ");
    accumulator.begin_attempt();
    let role = accumulator.accept(&delta(&json!({"role": "assistant", "content": ""})));
    assert_eq!(role, ChunkAction::Withhold);
    let second = forwarded(accumulator.accept(&delta(&json!({"content": "two"}))));
    assert_eq!(
        (&first["id"], &first["created"]),
        (&second["id"], &second["created"])
    );
    let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
    forwarded(accumulator.accept(end.to_string().as_bytes()));
    let usage = json!({"choices": [], "usage":
        {"prompt_tokens": 8, "completion_tokens": 1, "total_tokens": 9}});
    let usage = forwarded(accumulator.accept(usage.to_string().as_bytes()));
    assert_eq!(usage["usage"]["completion_tokens"], json!(2));
    assert_eq!(usage["usage"]["prompt_tokens"], json!(7));
    assert_eq!(accumulator.accept(b"[DONE]"), ChunkAction::Done);
    assert!(accumulator.is_finished());
    let response = accumulator.response();
    let message = &response["choices"][0]["message"];
    assert_eq!(message, &json!({"role": "assistant", "content": "one two"}));
    assert_eq!(response["object"], json!("chat.completion"));
}

#[test]
fn tool_calls_and_choices_merge_by_index() {
    let request = chat(&json!({"model": "m", "n": 2, "messages": [{"role": "user"}]}));
    let mut accumulator = accumulator_for(&request);
    let call = |name: Value, arguments: &str| {
        json!({"tool_calls": [{"index": 1, "id": name, "type": "function",
            "function": {"name": name, "arguments": arguments}}]})
    };
    accumulator.accept(&delta(&call(json!("clone"), "{\"unit\"")));
    accumulator.accept(&delta(&call(Value::Null, ":4}")));
    accumulator
        .accept(br#"{"choices":[{"index":1,"delta":{"content":"b"},"finish_reason":"stop"}]}"#);
    assert_eq!(accumulator.delivered(), None);
    let response = accumulator.response();
    let merged = &response["choices"][0]["message"]["tool_calls"][1];
    assert_eq!(
        merged,
        &json!({"id": "clone", "type": "function",
            "function": {"name": "clone", "arguments": "{\"unit\":4}"}})
    );
    assert_eq!(response["choices"][1]["message"]["content"], json!("b"));
    assert!(!accumulator.is_finished());
    assert!(matches!(
        accumulator.accept(b"oops"),
        ChunkAction::Failed(_)
    ));
    assert!(matches!(
        accumulator.accept(br#"{"error":{}}"#),
        ChunkAction::Failed(_)
    ));
}

#[test]
fn only_requests_that_did_not_run_may_be_retried() {
    for (reason, code) in RefusalReason::TABLE {
        let refused = refusal_status(RunStatus::NotRun, reason);
        assert_eq!(refused.code, code);
        assert!(refused.status >= 422 && refused.should_retry() != (refused.status == 422));
        for run in [RunStatus::Unknown, RunStatus::Incomplete] {
            assert!(!refusal_status(run, reason).should_retry());
        }
    }
}

#[test]
fn decoded_events_do_not_depend_on_read_boundaries() {
    property::check::<(Vec<(Option<u8>, Vec<u8>)>, Vec<u8>)>(CASES, |(events, read_lengths)| {
        let sent: Vec<SseEvent> = events
            .iter()
            .map(|(id, data)| SseEvent {
                id: id.map(|id| id.to_string()),
                // A carriage return before a line feed is part of the line end.
                data: data.iter().copied().filter(|b| *b != b'\r').collect(),
            })
            .collect();
        let bytes: Vec<u8> = sent.iter().flat_map(encode).collect();
        let mut decoder = SseDecoder::new(1 << 20);
        let mut received = Vec::new();
        let mut rest = bytes.as_slice();
        let mut read_lengths = read_lengths.iter();
        while !rest.is_empty() {
            let length = read_lengths
                .next()
                .map_or(rest.len(), |length| usize::from(*length) + 1);
            let (part, after) = rest.split_at(length.min(rest.len()));
            decoder.push(part);
            rest = after;
            while let SseStep::Event(event) = decoder.next_event() {
                received.push(event);
            }
        }
        assert_eq!(received, sent);
        assert!(!decoder.is_mid_event());
    });
}

#[test]
fn an_event_above_the_size_limit_is_rejected() {
    let mut decoder = SseDecoder::new(100);
    decoder.push(b": keep-alive\ndata: ");
    assert_eq!(decoder.next_event(), SseStep::NeedMore);
    decoder.push(&[b'x'; 200]);
    assert_eq!(decoder.next_event(), SseStep::TooLarge);
}
