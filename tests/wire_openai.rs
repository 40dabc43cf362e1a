//! The callers' API: prompts, continuations, folding of chunks, and server-sent events.

mod property;

use bulrushslip::decide::outcome::{RefusalReason, RunStatus};
use bulrushslip::wire::openai::{
    ApiKind, CallerFault, CallerRequest, ChunkFold, ContinuationBody, ErrorBody, FoldStep,
    RequestError, refusal_status,
};
use bulrushslip::wire::sse::{SseDecoder, SseEvent, SseStep, encode};
use serde_json::{Value, json};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

fn chat(body: &Value) -> CallerRequest {
    CallerRequest::parse(ApiKind::Chat, body.to_string().as_bytes()).expect("a valid request")
}

fn fold_of(request: &CallerRequest) -> ChunkFold {
    ChunkFold::new(request, "chatcmpl-1".to_owned(), 5)
}

fn delta(delta: &Value) -> Vec<u8> {
    json!({"id": "engine", "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": delta, "finish_reason": null}]})
    .to_string()
    .into_bytes()
}

fn forwarded(step: FoldStep) -> Value {
    let FoldStep::Forward(payload) = step else {
        panic!("not forwarded: {step:?}");
    };
    serde_json::from_slice(&payload).expect("a chunk")
}

#[test]
fn bad_bodies_name_the_field() {
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
        let error = parse(&body.to_string()).expect_err("a bad field");
        assert_eq!(ErrorBody::from(&error).param.as_deref(), Some(field));
        assert_eq!(CallerFault::from(&error).status().status, 400);
    }
}

#[test]
fn prompts_share_prefixes_and_never_collide() {
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
    assert!(shared >= long.len(), "only {shared} bytes are shared");
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
fn upstream_bodies_stream_and_continuations_shrink_limits() {
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
fn a_continued_stream_reads_as_one_answer() {
    let request = chat(&json!({"model": "m", "stream": true,
        "stream_options": {"include_usage": true},
        "messages": [{"role": "user", "content": "q"}]}));
    let mut fold = fold_of(&request);
    forwarded(fold.accept(&delta(&json!({"role": "assistant", "content": ""}))));
    let first = forwarded(fold.accept(&delta(&json!({"content": "one "}))));
    assert_eq!(fold.delivered().expect("continuable").text, "one ");
    fold.begin_attempt();
    let role = fold.accept(&delta(&json!({"role": "assistant", "content": ""})));
    assert_eq!(role, FoldStep::Withhold);
    let second = forwarded(fold.accept(&delta(&json!({"content": "two"}))));
    assert_eq!(
        (&first["id"], &first["created"]),
        (&second["id"], &second["created"])
    );
    let end = json!({"choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}]});
    forwarded(fold.accept(end.to_string().as_bytes()));
    let usage = json!({"choices": [], "usage":
        {"prompt_tokens": 8, "completion_tokens": 1, "total_tokens": 9}});
    let usage = forwarded(fold.accept(usage.to_string().as_bytes()));
    assert_eq!(usage["usage"]["completion_tokens"], json!(2));
    assert_eq!(usage["usage"]["prompt_tokens"], json!(7));
    assert_eq!(fold.accept(b"[DONE]"), FoldStep::Done);
    assert!(fold.is_finished());
    let whole = fold.response();
    let message = &whole["choices"][0]["message"];
    assert_eq!(message, &json!({"role": "assistant", "content": "one two"}));
    assert_eq!(whole["object"], json!("chat.completion"));
}

#[test]
fn tool_calls_and_choices_merge_by_index() {
    let request = chat(&json!({"model": "m", "n": 2, "messages": [{"role": "user"}]}));
    let mut fold = fold_of(&request);
    let call = |name: Value, arguments: &str| {
        json!({"tool_calls": [{"index": 1, "id": name, "type": "function",
            "function": {"name": name, "arguments": arguments}}]})
    };
    fold.accept(&delta(&call(json!("clone"), "{\"unit\"")));
    fold.accept(&delta(&call(Value::Null, ":4}")));
    fold.accept(br#"{"choices":[{"index":1,"delta":{"content":"b"},"finish_reason":"stop"}]}"#);
    assert_eq!(fold.delivered(), None);
    let whole = fold.response();
    let merged = &whole["choices"][0]["message"]["tool_calls"][1];
    assert_eq!(
        merged,
        &json!({"id": "clone", "type": "function",
            "function": {"name": "clone", "arguments": "{\"unit\":4}"}})
    );
    assert_eq!(whole["choices"][1]["message"]["content"], json!("b"));
    assert!(!fold.is_finished());
    assert!(matches!(fold.accept(b"oops"), FoldStep::Failed(_)));
    assert!(matches!(
        fold.accept(br#"{"error":{}}"#),
        FoldStep::Failed(_)
    ));
}

#[test]
fn only_requests_that_did_not_run_advise_a_retry() {
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
fn events_do_not_depend_on_how_bytes_are_cut() {
    property::check::<(Vec<(Option<u8>, Vec<u8>)>, Vec<u8>)>(CASES, |(events, cuts)| {
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
        let mut cuts = cuts.iter();
        while !rest.is_empty() {
            let cut = cuts.next().map_or(rest.len(), |cut| usize::from(*cut) + 1);
            let (part, after) = rest.split_at(cut.min(rest.len()));
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
fn an_event_beyond_the_bound_is_refused() {
    let mut decoder = SseDecoder::new(100);
    decoder.push(b": keep-alive\ndata: ");
    assert_eq!(decoder.next_event(), SseStep::NeedMore);
    decoder.push(&[b'x'; 200]);
    assert_eq!(decoder.next_event(), SseStep::TooLarge);
}
