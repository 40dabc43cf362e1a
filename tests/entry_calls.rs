//! What an entry tells sidecars about the attempts of a request: a request runner with the real
//! dialer, and sidecars that record their calls.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bulrushslip::decide::admission::Admission;
use bulrushslip::decide::config::{Configuration, Upstream, UpstreamKind};
use bulrushslip::decide::ids::{Incarnation, Rank, Repeatability, Ticket};
use bulrushslip::decide::outcome::RunStatus;
use bulrushslip::decide::placement::STANDARD;
use bulrushslip::decide::request_step::RequestPolicy;
use bulrushslip::decide::retry_budget::RetryPolicy;
use bulrushslip::decide::suspects::Fingerprint;
use bulrushslip::kernel::{Clock, Directory, Moment, NextStep, Service, TokioKernel};
use bulrushslip::services::caller_side::journal::journal_service;
use bulrushslip::services::caller_side::request_runner::{RequestRunner, RunnerOutput};
use bulrushslip::services::caller_side::tickets::tickets_service;
use bulrushslip::services::caller_side::upstream_choice::{UpstreamChooser, UpstreamScope};
use bulrushslip::services::caller_side::upstream_request::UpstreamRequest;
use bulrushslip::services::common::dialer::dialer_task;
use bulrushslip::services::common::mail::Mail;
use bulrushslip::wire::claim_rpc::{ClaimCall, ClaimReply};
use bulrushslip::wire::config_page::{ConfigPage, ConfigSinceCall};
use bulrushslip::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    SidecarRpc, StreamItem, SubmitCall, SubmitReply, SubmitVerdict, WireStreamEnd, WireTicket,
    WithdrawReply, WithdrawVerdict,
};
use bulrushslip::wire::suspect_rpc::WireSuspectUpdate;
use bulrushslip::wire::transport;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Incarnation of every sidecar.
const INCARNATION: u64 = 7;

/// Epoch of every engine.
const EPOCH: u64 = 3;

/// Fingerprint of every request.
const FINGERPRINT: u64 = 1;

/// Sequence number of the ticket whose answer is lost.
const LOST_TICKET: u64 = 1;

/// Time after which a slow sidecar replies to a read; the first limit of a read is 1 s.
const LATE_REPLY: Duration = Duration::from_millis(2_500);

/// Time limit for a call that the entry makes after the end of a request.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Call that a sidecar has received.
#[derive(Debug, PartialEq, Eq)]
enum RecordedCall {
    /// Number of the submitted ticket.
    Submit(u64),
    /// Number of the ticket and index that the read starts at.
    Read(u64, u64),
    /// Fingerprints and the crashes, by sidecar and epoch, that they were seen in.
    Suspect(Vec<(u64, Option<(u64, u64)>)>),
}

/// Sidecar whose engine crashes under one ticket and completes the others.
#[derive(Debug, Clone)]
struct RecordingSidecar {
    calls: mpsc::UnboundedSender<RecordedCall>,
    lost_ticket: Option<u64>,
    /// Epoch that the reply about the lost ticket states.
    loss_epoch: u64,
    /// Whether the next suspect update gets no reply.
    drops_update: Arc<AtomicBool>,
    read_delay: Duration,
}

fn head() -> ReplyHead {
    ReplyHead {
        incarnation: INCARNATION,
        epoch: EPOCH,
        ..ReplyHead::default()
    }
}

/// Returns the number of a ticket, which must say that its entry acknowledges ends.
fn sequence(ticket: WireTicket) -> u64 {
    let number = ticket.sequence.checked_sub(Ticket::ACKNOWLEDGED_SEQUENCES);
    number.expect("the ticket of an entry that acknowledges ends")
}

impl RecordingSidecar {
    fn record(&self, call: RecordedCall) {
        self.calls.send(call).expect("the test holds the receiver");
    }
}

impl SidecarRpc for RecordingSidecar {
    async fn quote(self, _: Context, _: QuoteCall) -> QuoteReply {
        QuoteReply {
            head: head(),
            open: true,
            wait_us: 0,
            missing_pieces: 0,
            piece_us: 0,
        }
    }

    async fn submit(self, _: Context, call: SubmitCall) -> SubmitReply {
        self.record(RecordedCall::Submit(sequence(call.ticket)));
        SubmitReply {
            head: head(),
            verdict: SubmitVerdict::Accepted,
        }
    }

    async fn read(self, _: Context, call: ReadCall) -> ReadReply {
        let sequence = sequence(call.ticket);
        self.record(RecordedCall::Read(sequence, call.from_index));
        tokio::time::sleep(self.read_delay).await;
        let is_lost = self.lost_ticket == Some(sequence);
        let (end, items) = if is_lost {
            (WireStreamEnd::EngineLost, Vec::new())
        } else {
            let head = StreamItem::Head {
                status: 200,
                headers: Vec::new(),
            };
            let items = vec![head, StreamItem::Data(b"answer".to_vec())];
            (WireStreamEnd::Complete, items)
        };
        let epoch = if is_lost { self.loss_epoch } else { EPOCH };
        ReadReply {
            head: ReplyHead { epoch, ..head() },
            from_index: call.from_index,
            verdict: ReadVerdict::Items {
                items,
                end: Some(end),
            },
        }
    }

    async fn withdraw(self, _: Context, _: WireTicket, _: u64) -> WithdrawReply {
        WithdrawReply {
            head: head(),
            verdict: WithdrawVerdict::Done,
        }
    }

    async fn suspect(self, _: Context, updates: Vec<WireSuspectUpdate>) {
        let suspects = updates.iter().map(|update| {
            let crash = update.seen_in;
            let crash = crash.map(|crash| (crash.sidecar, crash.epoch));
            (update.fingerprint, crash)
        });
        self.record(RecordedCall::Suspect(suspects.collect()));
        if self.drops_update.swap(false, Ordering::Relaxed) {
            std::future::pending::<()>().await;
        }
    }

    async fn claim(self, _: Context, _: ClaimCall) -> ClaimReply {
        ClaimReply::Unavailable
    }

    async fn attach(self, _: Context, _: WireTicket, _: bool) -> AttachReply {
        AttachReply {
            head: head(),
            verdict: AttachVerdict::NotFound,
        }
    }

    async fn config_since(self, _: Context, _: ConfigSinceCall) -> ConfigPage {
        ConfigPage::default()
    }
}

/// Serves a sidecar and returns its address.
async fn start_sidecar(sidecar: RecordingSidecar) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let channel = BaseChannel::with_defaults(transport::framed(stream));
            let calls = sidecar.clone().serve();
            tokio::spawn(transport::run_calls(channel.execute(calls)));
        }
    });
    address
}

/// Starts the components of an entry that a request runner calls.
fn start_entry() -> Directory<Mail> {
    let mut kernel = TokioKernel::new();
    kernel.add(Service::new("config", |_turn, _signal| NextStep::Wait));
    kernel.add_task(dialer_task());
    kernel.add(journal_service());
    let policy = RetryPolicy::default();
    kernel.add(tickets_service(Incarnation(1), policy));
    kernel.launch(Clock::start()).directory
}

fn upstream(number: usize, sidecar: SocketAddr) -> Upstream {
    Upstream {
        name: format!("gates-{number}"),
        data_centre: "bangor".to_owned(),
        sidecar,
        kind: UpstreamKind::Plain {
            service: "gates".to_owned(),
        },
        slots: 8,
        retired: false,
    }
}

fn runner(configuration: Configuration, repeatability: Repeatability) -> RequestRunner {
    let directory = start_entry();
    let admission = Admission {
        customer: "agency".to_owned(),
        rank: Rank::Urgent,
        repeatability,
        version: String::new(),
        piece_bytes: 0,
        placement_pieces: 0,
        start_timeout_ms: 60_000,
    };
    let chooser = UpstreamChooser {
        directory: directory.clone(),
        policy: STANDARD,
        scope: UpstreamScope::Service("gates".to_owned()),
        keys: Vec::new(),
        random: 0,
        choices: VecDeque::new(),
    };
    let request = UpstreamRequest {
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        output_tokens: 0,
        fingerprint: Fingerprint(FINGERPRINT),
    };
    let policy = RequestPolicy {
        repeatability,
        continuable: false,
        start_by: Moment::NEVER,
        max_submissions: 3,
    };
    let configuration = Arc::new(configuration);
    RequestRunner::new(
        directory,
        configuration,
        admission,
        chooser,
        request,
        policy,
    )
}

/// Runs a request to its end and returns what the caller is told.
async fn run_to_end(mut runner: RequestRunner) -> RunStatus {
    loop {
        match runner.next().await {
            RunnerOutput::Item(_) => {}
            RunnerOutput::Finished(status, _) => return status,
            RunnerOutput::NeedsContinuation => panic!("the answer is lost after its first item"),
        }
    }
}

/// Runs a request whose first answer is lost in a crash and returns the calls to the sidecars.
async fn run_request(loss_epoch: u64, drops_update: bool) -> mpsc::UnboundedReceiver<RecordedCall> {
    let (calls, recorded) = mpsc::unbounded_channel();
    let sidecar = RecordingSidecar {
        calls,
        lost_ticket: Some(LOST_TICKET),
        loss_epoch,
        drops_update: Arc::new(AtomicBool::new(drops_update)),
        read_delay: Duration::ZERO,
    };
    let mut configuration = Configuration::default();
    for number in 0..2 {
        let address = start_sidecar(sidecar.clone()).await;
        configuration.upstreams.insert(upstream(number, address));
    }
    let runner = runner(configuration, Repeatability::Idempotent);
    assert_eq!(run_to_end(runner).await, RunStatus::Complete);
    recorded
}

/// Returns the update that tells a sidecar of the crash under the first attempt.
fn crash_update() -> RecordedCall {
    RecordedCall::Suspect(vec![(FINGERPRINT, Some((INCARNATION, EPOCH)))])
}

/// Returns the submissions and updates before the submission of the second ticket.
fn calls_before_retry(recorded: &mut mpsc::UnboundedReceiver<RecordedCall>) -> Vec<RecordedCall> {
    let mut calls = Vec::new();
    loop {
        match recorded.try_recv().expect("a retry") {
            RecordedCall::Submit(2) => return calls,
            RecordedCall::Read(..) => {}
            call => calls.push(call),
        }
    }
}

/// Waits for a call.
async fn wait_for(recorded: &mut mpsc::UnboundedReceiver<RecordedCall>, expected: &RecordedCall) {
    let found = async { while recorded.recv().await.expect("a call") != *expected {} };
    let found = timeout(CALL_LIMIT, found).await;
    assert!(found.is_ok(), "no {expected:?}");
}

#[tokio::test]
async fn a_sidecar_that_replies_late_is_read_to_the_end() {
    let (calls, _recorded) = mpsc::unbounded_channel();
    let sidecar = RecordingSidecar {
        calls,
        lost_ticket: None,
        loss_epoch: EPOCH,
        drops_update: Arc::default(),
        read_delay: LATE_REPLY,
    };
    let mut configuration = Configuration::default();
    let address = start_sidecar(sidecar).await;
    configuration.upstreams.insert(upstream(0, address));
    let runner = runner(configuration, Repeatability::NonIdempotent);
    assert_eq!(run_to_end(runner).await, RunStatus::Complete);
}

#[tokio::test]
async fn a_retry_names_the_crash_that_ended_the_previous_attempt() {
    let mut recorded = run_request(EPOCH, false).await;
    let expected = [RecordedCall::Submit(1), crash_update()];
    assert_eq!(calls_before_retry(&mut recorded), expected);
}

#[tokio::test]
async fn a_retry_names_no_crash_if_the_loss_states_another_engine() {
    for loss_epoch in [0, EPOCH + 1] {
        let mut recorded = run_request(loss_epoch, false).await;
        let expected = [RecordedCall::Submit(1)];
        assert_eq!(calls_before_retry(&mut recorded), expected);
    }
}

#[tokio::test]
async fn a_retry_is_not_submitted_before_the_sidecar_has_answered_the_update() {
    let mut recorded = run_request(EPOCH, true).await;
    let expected = [RecordedCall::Submit(1), crash_update(), crash_update()];
    assert_eq!(calls_before_retry(&mut recorded), expected);
}

#[tokio::test]
async fn the_end_of_each_response_is_acknowledged() {
    let mut recorded = run_request(EPOCH, false).await;
    // The lost answer has no item, so its end has index 0; the complete one has two.
    wait_for(&mut recorded, &RecordedCall::Read(1, 1)).await;
    wait_for(&mut recorded, &RecordedCall::Read(2, 3)).await;
}
