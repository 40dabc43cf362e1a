//! Requests that were placed and are sent late, on the real service `dispatch` and a real
//! connection to the upstream.

mod dispatch_harness;
mod gateway_world;

use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, Rank};
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::decide::memory_budget::{MemoryBudget, MemoryClaim};
use bulrushslip::decide::route_table::{AdmittedRoute, CallerLimits, RouteKind, ServiceId};
use bulrushslip::decide::software::SoftwareChoice;
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::gateway::dispatch::{self, dispatch_service};
use bulrushslip::gateway::mail::{DispatchMail, GatewayMail, PlacementRequest, TopicRecords};
use bulrushslip::gateway::memory_guard::MemoryGuard;
use bulrushslip::gateway::patience::Patience;
use bulrushslip::gateway::placement_guard::place;
use bulrushslip::gateway::request::CallerRequest;
use bulrushslip::gateway::upstream_call::{CallOutcome, call};
use bulrushslip::kernel::{Clock, Directory, RunningKernel, TokioKernel};
use bulrushslip::wire::peer_rpc::WireTopic;
use bytes::Bytes;
use dispatch_harness::dispatch_settings;
use gateway_world::{Behaviour, LIMIT, Upstream, until};
use hyper::Request;

/// Starts the service `dispatch` of one instance.
fn launch() -> RunningKernel<GatewayMail> {
    let mut kernel = TokioKernel::new();
    let mut settings = dispatch_settings(1);
    settings.identity.drain_limit = Duration::from_mins(1);
    kernel.add(dispatch_service(settings));
    kernel.launch(Clock::start())
}

/// Passes the entry of the upstream to `dispatch` as if it had been read from the store.
fn announce(directory: &Directory<GatewayMail>, upstream: &Upstream, offset: u64, state: &str) {
    let entry = format!(
        r#"{{"service":"s","address":"{}","zone":"near","slots":8,"version":"v1","cold-left-ms":0,"sequence":0,"state":"{state}","born":1}}"#,
        upstream.address
    );
    let records = TopicRecords {
        topic: WireTopic::Upstream,
        records: vec![KeyedRecord {
            key: "i-0".to_owned(),
            value: Some(entry.into()),
            position: LogOffset(offset).into(),
        }],
        next: LogOffset(offset + 1).into(),
        confirmed_at: directory.now(),
    };
    dispatch::tell(directory, DispatchMail::Records(records));
}

fn caller_request(directory: &Directory<GatewayMail>) -> CallerRequest {
    let now = directory.now();
    let claim = MemoryClaim {
        customer: "",
        rank: Rank::Urgent,
        bytes: 1,
    };
    let reservation = MemoryBudget::new(1_000).reserve(claim);
    let reservation = reservation.expect("an empty budget has room");
    let head = Request::builder().uri("/a").header("x-request-id", "r");
    let (head, ()) = head.body(()).expect("a request").into_parts();
    CallerRequest {
        id: "r".to_owned(),
        head,
        body: Bytes::new(),
        route: AdmittedRoute {
            version: 1,
            service: ServiceId::of("s"),
            kind: RouteKind::Idempotent,
            timeout_ms: 4_000,
            target_latency_ms: 500,
            max_attempts: 2,
            engine_rank: 0,
            is_urgent: true,
            has_prompts: false,
            customer: None,
            limits: CallerLimits {
                head_bytes: 4_096,
                body_bytes: 1_000,
            },
        },
        prompt: None,
        stated_tokens: None,
        last_event: None,
        stream: None,
        is_take_up: false,
        has_begun: false,
        software: SoftwareChoice::Any,
        received: now,
        deadline: now.after(LIMIT),
        fingerprint: Fingerprint(1),
        memory: MemoryGuard::new(directory.clone(), reservation),
    }
}

fn placement_request(request: &CallerRequest) -> PlacementRequest {
    PlacementRequest {
        request_id: request.id.clone(),
        service: request.route.service,
        prompt: None,
        customer: String::new(),
        stated_tokens: None,
        body_bytes: 0,
        excluded: Vec::new(),
        software: SoftwareChoice::Any,
        is_retry: false,
        received: request.received,
        rank: Rank::Urgent,
        start_by: request.deadline,
        deadline: request.deadline,
        prefill_deadline: request.deadline,
        fingerprint: request.fingerprint,
    }
}

/// Guards against a request that reaches an upstream long after its leave is known here, because
/// it was placed before and connecting took long.
#[tokio::test]
async fn a_late_send_does_not_reach_an_upstream_that_has_left() {
    let upstream = Upstream::start(vec![Behaviour::Answer(200, "made")]).await;
    let kernel = launch();
    let directory = &kernel.directory;
    announce(directory, &upstream, 0, "ready");
    for (offset, state) in [(1, "ready"), (2, "draining")] {
        let request = caller_request(directory);
        let ask = placement_request(&request);
        let mut placement = place(directory, ask).await.expect("a placement");
        let valid_until = placement.at.valid_until;
        announce(directory, &upstream, offset, state);
        until("late", async || valid_until.is_due(directory.now())).await;
        let patience = Patience {
            until: request.deadline,
            deadline: request.deadline,
            retry: placement_request(&request),
        };
        let outcome = call(directory, &request, &mut placement.at, None, &patience).await;
        let is_sent = matches!(outcome, CallOutcome::Response(_));
        assert_eq!(is_sent, state == "ready", "{state}: {outcome:?}");
        assert!(is_sent || matches!(outcome, CallOutcome::Unsent));
        assert_eq!(upstream.received().len(), usize::from(is_sent), "{state}");
    }
}
