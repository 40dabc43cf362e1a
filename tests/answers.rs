//! Limits on the responses that a sidecar buffers: the ledger service on the stepped kernel.

use std::sync::{Arc, mpsc};

use bulrushslip::decide::config::{Configuration, Upstream, UpstreamKind};
use bulrushslip::decide::ids::{EngineEpoch, Incarnation, LogOffset, Ticket};
use bulrushslip::decide::ledger::{LedgerBounds, TicketKey};
use bulrushslip::decide::outcome::StreamEnd;
use bulrushslip::decide::queue::{QueueDiscipline, QueuePolicy};
use bulrushslip::kernel::{
    MailboxKey, Moment, NextStep, ReplyTo, Service, Signal, SteppedKernel, Turn,
};
use bulrushslip::services::common::mail::{EngineMail, EngineStatus, LedgerMail, Mail};
use bulrushslip::services::upstream_side::ledger::{LedgerSettings, ledger_service};
use bulrushslip::wire::rpc::{
    ReadCall, ReadVerdict, StreamItem, SubmitCall, SubmitVerdict, WireRank, WireStreamEnd,
};

/// Maximum bytes of all responses that the sidecar buffers.
const MAX_ANSWER_BYTES: usize = 1_000;

/// Maximum number of tickets in the ledger of the sidecar.
const MAX_TICKETS: usize = 4;

const INCARNATION: Incarnation = Incarnation(7);

/// Ledger service of a sidecar, and the messages that it sends to its engine task.
struct Sidecar {
    kernel: SteppedKernel<Mail>,
    ledger: MailboxKey,
    started: mpsc::Receiver<TicketKey>,
    cancelled: mpsc::Receiver<Ticket>,
}

impl Sidecar {
    fn start() -> Self {
        let mut kernel = SteppedKernel::new(1);
        let ledger = kernel.add(ledger_service(LedgerSettings {
            incarnation: INCARNATION,
            upstream: "gates-0".to_owned(),
            bounds: LedgerBounds {
                max_tickets: MAX_TICKETS,
                ..LedgerBounds::default()
            },
            max_response_bytes: MAX_ANSWER_BYTES,
            queue: QueuePolicy {
                discipline: QueueDiscipline::RankedFair,
                rank_capacity: 100,
                floor_percent: [20, 20],
            },
            max_prefills: u32::MAX,
        }));
        let (start, started) = mpsc::channel();
        let (cancel, cancelled) = mpsc::channel();
        let engine = move |_turn: &mut Turn<'_, Mail>, signal| {
            match signal {
                Signal::Mail(Mail::Engine(EngineMail::Start(key, _))) => {
                    start.send(key).expect("the test holds the receiver");
                }
                Signal::Mail(Mail::Engine(EngineMail::Cancel(_, ticket))) => {
                    cancel.send(ticket).expect("the test holds the receiver");
                }
                _ => {}
            }
            NextStep::Wait
        };
        kernel.add(Service::new("engine", engine));
        let mut sidecar = Self {
            kernel,
            ledger,
            started,
            cancelled,
        };
        sidecar.post(LedgerMail::Configured(Arc::new(configuration())));
        let version = String::new();
        sidecar.post(LedgerMail::EngineStatus(EngineStatus::Up {
            epoch: EngineEpoch(1),
            version,
        }));
        sidecar
    }

    fn post(&mut self, mail: LedgerMail) {
        self.kernel
            .post(self.ledger, Signal::Mail(Mail::Ledger(mail)));
        self.kernel.run_until(Moment::START);
    }

    fn ask<T: Send + 'static>(&mut self, message: impl FnOnce(ReplyTo<T>) -> LedgerMail) -> T {
        let (send, reply) = mpsc::channel();
        self.post(message(ReplyTo::new(move |value| {
            send.send(value).expect("the test holds the receiver");
        })));
        reply.try_recv().expect("a reply")
    }

    /// Submits a ticket, checks that it starts, and returns its key.
    fn submit(&mut self, sequence: u64, idempotent: bool) -> TicketKey {
        let call = submit_call(sequence, idempotent);
        let reply = self.ask(|reply_to| LedgerMail::Submit(call, reply_to));
        assert!(
            matches!(reply.verdict, SubmitVerdict::Accepted),
            "{reply:?}"
        );
        self.started
            .try_recv()
            .expect("the ticket starts, since a slot is free")
    }

    fn send_data(&mut self, key: TicketKey, bytes: usize) {
        self.post(LedgerMail::Items(
            key,
            vec![StreamItem::Data(vec![0; bytes])],
        ));
    }

    fn read(&mut self, sequence: u64) -> ReadVerdict {
        let ticket = ticket(sequence).into();
        let call = ReadCall {
            ticket,
            incarnation: INCARNATION.0,
            from_index: 0,
            wait_us: 0,
        };
        self.ask(|reply_to| LedgerMail::Read(call, reply_to))
            .verdict
    }

    fn buffered_bytes(&mut self) -> usize {
        let (send, reply) = mpsc::channel();
        let reply_to =
            ReplyTo::new(move |state| send.send(state).expect("the test holds the receiver"));
        self.kernel.post(self.ledger, Signal::Dump(reply_to));
        self.kernel.run_until(Moment::START);
        let state = reply.try_recv().expect("a dump");
        usize::try_from(state["answer_bytes"].as_u64().expect("a count")).expect("a size")
    }
}

fn ticket(sequence: u64) -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence,
    }
}

fn configuration() -> Configuration {
    let mut configuration = Configuration {
        next_offset: LogOffset(1),
        ..Configuration::default()
    };
    configuration.upstreams.insert(Upstream {
        name: "gates-0".to_owned(),
        data_centre: "bangor".to_owned(),
        sidecar: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        kind: UpstreamKind::Plain {
            service: "gates".to_owned(),
        },
        slots: 64,
        retired: false,
    });
    configuration
}

fn submit_call(sequence: u64, idempotent: bool) -> SubmitCall {
    SubmitCall {
        ticket: ticket(sequence).into(),
        incarnation: INCARNATION.0,
        // A customer that is not declared may have only one request in flight.
        customer: format!("customer-{sequence}"),
        rank: WireRank(0),
        idempotent,
        version: String::new(),
        fingerprint: sequence,
        prefix_keys: Vec::new(),
        start_budget_us: 1_000_000,
        wait_limit_us: u64::MAX,
        output_tokens: 1,
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}

#[test]
fn responses_of_ended_tickets_are_evicted_oldest_first() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=3 {
        let key = sidecar.submit(sequence, false);
        sidecar.send_data(key, 400);
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    }
    assert!(sidecar.buffered_bytes() <= MAX_ANSWER_BYTES);
    assert!(matches!(sidecar.read(1), ReadVerdict::UnknownTicket));
    for kept in [2, 3] {
        let ReadVerdict::Items { items, end } = sidecar.read(kept) else {
            panic!("ticket {kept} was evicted")
        };
        assert_eq!(items.len(), 1);
        assert!(matches!(end, Some(WireStreamEnd::Complete)));
    }
}

#[test]
fn a_response_over_the_limit_is_truncated_and_only_idempotent_work_is_cancelled() {
    for idempotent in [true, false] {
        let mut sidecar = Sidecar::start();
        let key = sidecar.submit(1, idempotent);
        sidecar.send_data(key, 900);
        sidecar.send_data(key, 900);
        sidecar.send_data(key, 900);
        let ReadVerdict::Items { end, .. } = sidecar.read(1) else {
            panic!("the ticket was evicted")
        };
        assert!(matches!(end, Some(WireStreamEnd::EngineLost)), "{end:?}");
        assert_eq!(sidecar.cancelled.try_recv().is_ok(), idempotent);
        // Further data of the upstream is discarded, and other requests are served.
        assert!(sidecar.buffered_bytes() <= 2 * MAX_ANSWER_BYTES);
        sidecar.submit(2, idempotent);
    }
}

#[test]
fn responses_of_tickets_evicted_at_the_limit_are_dropped() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=40 {
        let key = sidecar.submit(sequence, false);
        sidecar.send_data(key, 10);
        sidecar.post(LedgerMail::ResponseEnded(key, StreamEnd::Complete));
    }
    assert!(
        sidecar.buffered_bytes() <= 10 * MAX_TICKETS,
        "{}",
        sidecar.buffered_bytes()
    );
}
