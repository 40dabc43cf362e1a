//! Bounds of the answers that a sidecar keeps, on the stepped kernel with the real ledger service.

use std::sync::{Arc, mpsc};

use bulrushslip::decide::config::{Configuration, Upstream, UpstreamKind};
use bulrushslip::decide::ids::{EngineEpoch, Incarnation, LogOffset, Ticket};
use bulrushslip::decide::ledger::{LedgerBounds, TicketKey};
use bulrushslip::decide::outcome::StreamEnd;
use bulrushslip::decide::queue::{QueueDiscipline, QueuePolicy};
use bulrushslip::kernel::{
    MailboxKey, Moment, NextStep, ReplyTo, Service, Signal, SteppedKernel, Turn,
};
use bulrushslip::services::common::mail::{EngineMail, EngineState, LedgerMail, Mail};
use bulrushslip::services::upstream_side::ledger::{LedgerSettings, ledger_service};
use bulrushslip::wire::rpc::{
    ReadCall, ReadVerdict, StreamItem, SubmitCall, SubmitVerdict, WireEnd, WireRank,
};

/// Bytes of all answers that the sidecar keeps.
const MAX_ANSWER_BYTES: usize = 1_000;

/// Tickets that the sidecar remembers.
const MAX_TICKETS: usize = 4;

const INCARNATION: Incarnation = Incarnation(7);

/// A sidecar's ledger, and what it told its engine.
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
            starting_limit: u32::MAX,
        }));
        let (start, started) = mpsc::channel();
        let (cancel, cancelled) = mpsc::channel();
        let engine = move |_turn: &mut Turn<'_, Mail>, signal| {
            match signal {
                Signal::Mail(Mail::Engine(EngineMail::Start(key, _))) => {
                    start.send(key).expect("the test listens");
                }
                Signal::Mail(Mail::Engine(EngineMail::Cancel(_, ticket))) => {
                    cancel.send(ticket).expect("the test listens");
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
        sidecar.tell(LedgerMail::Configured(Arc::new(configuration())));
        let version = String::new();
        sidecar.tell(LedgerMail::EngineState(EngineState::Up {
            epoch: EngineEpoch(1),
            version,
        }));
        sidecar
    }

    fn tell(&mut self, mail: LedgerMail) {
        self.kernel
            .post(self.ledger, Signal::Mail(Mail::Ledger(mail)));
        self.kernel.run_until(Moment::START);
    }

    fn ask<T: Send + 'static>(&mut self, question: impl FnOnce(ReplyTo<T>) -> LedgerMail) -> T {
        let (send, reply) = mpsc::channel();
        self.tell(question(ReplyTo::new(move |value| {
            send.send(value).expect("the test listens");
        })));
        reply.try_recv().expect("a reply")
    }

    /// Starts a ticket and returns its key.
    fn run(&mut self, sequence: u64, idempotent: bool) -> TicketKey {
        let call = submit_call(sequence, idempotent);
        let reply = self.ask(|reply_to| LedgerMail::Submit(call, reply_to));
        assert!(
            matches!(reply.verdict, SubmitVerdict::Accepted),
            "{reply:?}"
        );
        self.started
            .try_recv()
            .expect("a free slot starts the ticket")
    }

    fn produce(&mut self, key: TicketKey, bytes: usize) {
        self.tell(LedgerMail::Items(
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

    fn kept_bytes(&mut self) -> usize {
        let (send, reply) = mpsc::channel();
        let reply_to = ReplyTo::new(move |state| send.send(state).expect("the test listens"));
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
        // A customer that is not declared may have one request in flight.
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
fn ended_answers_give_way_to_newer_ones_oldest_first() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=3 {
        let key = sidecar.run(sequence, false);
        sidecar.produce(key, 400);
        sidecar.tell(LedgerMail::Ended(key, StreamEnd::Complete));
    }
    assert!(sidecar.kept_bytes() <= MAX_ANSWER_BYTES);
    assert!(matches!(sidecar.read(1), ReadVerdict::UnknownTicket));
    for kept in [2, 3] {
        let ReadVerdict::Items { items, end } = sidecar.read(kept) else {
            panic!("{kept} is gone")
        };
        assert_eq!(items.len(), 1);
        assert!(matches!(end, Some(WireEnd::Complete)));
    }
}

#[test]
fn an_answer_without_room_is_cut_and_only_repeatable_work_is_cancelled() {
    for idempotent in [true, false] {
        let mut sidecar = Sidecar::start();
        let key = sidecar.run(1, idempotent);
        sidecar.produce(key, 900);
        sidecar.produce(key, 900);
        sidecar.produce(key, 900);
        let ReadVerdict::Items { end, .. } = sidecar.read(1) else {
            panic!("the ticket is gone")
        };
        assert!(matches!(end, Some(WireEnd::EngineLost)), "{end:?}");
        assert_eq!(sidecar.cancelled.try_recv().is_ok(), idempotent);
        // What an upstream goes on to send is not kept, and others are served.
        assert!(sidecar.kept_bytes() <= 2 * MAX_ANSWER_BYTES);
        sidecar.run(2, idempotent);
    }
}

#[test]
fn answers_of_tickets_forgotten_at_the_bound_are_dropped() {
    let mut sidecar = Sidecar::start();
    for sequence in 1..=40 {
        let key = sidecar.run(sequence, false);
        sidecar.produce(key, 10);
        sidecar.tell(LedgerMail::Ended(key, StreamEnd::Complete));
    }
    assert!(
        sidecar.kept_bytes() <= 10 * MAX_TICKETS,
        "{}",
        sidecar.kept_bytes()
    );
}
