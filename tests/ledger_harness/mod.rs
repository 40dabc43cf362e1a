//! The service `ledger` of a sidecar on the stepped kernel, with an engine that only records.

#![expect(dead_code, reason = "each test file uses only a part of it")]

use std::sync::{Arc, mpsc};

use bulrushslip::decide::config::{Configuration, Upstream, UpstreamKind};
use bulrushslip::decide::ids::{EngineEpoch, Incarnation, LogOffset, Ticket};
use bulrushslip::decide::ledger::{LedgerBounds, TicketKey};
use bulrushslip::decide::queue::{QueueDiscipline, QueuePolicy};
use bulrushslip::decide::suspect_guard::SuspectUpdate;
use bulrushslip::kernel::{MailboxKey, NextStep, ReplyTo, Service, Signal, SteppedKernel, Turn};
use bulrushslip::services::common::mail::{EngineMail, EngineStatus, LedgerMail, Mail};
use bulrushslip::services::upstream_side::ledger::{LedgerSettings, ledger_service};
use bulrushslip::services::upstream_side::suspect_feed::SUSPECT_FEED;
use bulrushslip::wire::rpc::{
    ReadCall, ReadVerdict, StreamItem, SubmitCall, SubmitVerdict, WireRank,
};

/// Maximum bytes of all responses that the sidecar buffers.
pub const MAX_ANSWER_BYTES: usize = 1_000;

/// Maximum number of tickets in the ledger of the sidecar.
pub const MAX_TICKETS: usize = 4;

/// Requests that the upstream runs at the same time.
pub const SLOTS: u64 = 2;

/// Incarnation of the sidecar.
pub const INCARNATION: Incarnation = Incarnation(7);

/// Epoch of the engine.
pub const EPOCH: EngineEpoch = EngineEpoch(1);

/// Ledger service of a sidecar, and the messages that it sends to its engine task.
pub struct Sidecar {
    pub kernel: SteppedKernel<Mail>,
    pub ledger: MailboxKey,
    /// Tickets that the ledger has started at the engine.
    pub started: mpsc::Receiver<TicketKey>,
    /// Tickets that the ledger has cancelled at the engine.
    pub cancelled: mpsc::Receiver<Ticket>,
    /// Suspect updates that the ledger has issued for other sidecars.
    pub updates: mpsc::Receiver<Vec<SuspectUpdate>>,
}

impl Sidecar {
    pub fn start() -> Self {
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
        let (issue, updates) = mpsc::channel();
        kernel.add(Service::new(SUSPECT_FEED, move |_turn, signal| {
            if let Signal::Mail(Mail::SuspectFeed(issued)) = signal {
                issue.send(issued).expect("the test holds the receiver");
            }
            NextStep::Wait
        }));
        let mut sidecar = Self {
            kernel,
            ledger,
            started,
            cancelled,
            updates,
        };
        sidecar.post(LedgerMail::Configured(Arc::new(configuration())));
        let version = String::new();
        sidecar.post(LedgerMail::EngineStatus(EngineStatus::Up {
            epoch: EPOCH,
            version,
        }));
        sidecar
    }

    pub fn post(&mut self, mail: LedgerMail) {
        self.kernel
            .post(self.ledger, Signal::Mail(Mail::Ledger(mail)));
        let now = self.kernel.now();
        self.kernel.run_until(now);
    }

    pub fn ask<T: Send + 'static>(&mut self, message: impl FnOnce(ReplyTo<T>) -> LedgerMail) -> T {
        let (send, reply) = mpsc::channel();
        self.post(message(ReplyTo::new(move |value| {
            send.send(value).expect("the test holds the receiver");
        })));
        reply.try_recv().expect("a reply")
    }

    /// Submits a ticket, checks that it starts, and returns its key.
    pub fn submit(&mut self, sequence: u64, idempotent: bool) -> TicketKey {
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

    pub fn send_data(&mut self, key: TicketKey, bytes: usize) {
        self.post(LedgerMail::Items(
            key,
            vec![StreamItem::Data(vec![0; bytes])],
        ));
    }

    pub fn read(&mut self, sequence: u64) -> ReadVerdict {
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

    /// Begins a planned stop.
    pub fn stop(&mut self) {
        self.kernel.post(self.ledger, Signal::Stop);
        let now = self.kernel.now();
        self.kernel.run_until(now);
    }

    /// Returns whether the service has stopped, and with it the replies to reads.
    pub fn is_stopped(&mut self) -> bool {
        self.dump().is_none()
    }

    fn dump(&mut self) -> Option<serde_json::Value> {
        let (send, reply) = mpsc::channel();
        let reply_to =
            ReplyTo::new(move |state| send.send(state).expect("the test holds the receiver"));
        self.kernel.post(self.ledger, Signal::Dump(reply_to));
        let now = self.kernel.now();
        self.kernel.run_until(now);
        reply.try_recv().ok()
    }

    pub fn buffered_bytes(&mut self) -> usize {
        let state = self.dump().expect("a dump");
        usize::try_from(state["answer_bytes"].as_u64().expect("a count")).expect("a size")
    }
}

/// Returns a ticket of an entry that acknowledges ends.
pub fn ticket(sequence: u64) -> Ticket {
    Ticket {
        entry: Incarnation(1),
        sequence: Ticket::ACKNOWLEDGED_SEQUENCES + sequence,
    }
}

pub fn configuration() -> Configuration {
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
        slots: u32::try_from(SLOTS).expect("a small number"),
        retired: false,
    });
    configuration
}

pub fn submit_call(sequence: u64, idempotent: bool) -> SubmitCall {
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
