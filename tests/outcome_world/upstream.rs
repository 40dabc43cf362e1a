//! Sidecar with the real service `ledger` and a simulated engine that counts its runs.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bulrushslip::decide::config::{Configuration, Customer, Upstream, UpstreamKey, UpstreamKind};
use bulrushslip::decide::ids::{EngineEpoch, Incarnation, LogOffset, Rank, Ticket};
use bulrushslip::decide::ledger::{LedgerBounds, TicketKey};
use bulrushslip::decide::outcome::{RefusalReason, StreamEnd};
use bulrushslip::decide::queue::{QueueDiscipline, QueuePolicy};
use bulrushslip::kernel::{MailboxKey, Moment, NextStep, Service, Signal, SteppedKernel, Turn};
use bulrushslip::services::common::mail::{EngineMail, EngineStatus, LedgerMail, Mail};
use bulrushslip::services::upstream_side::ledger::LedgerSettings;
use bulrushslip::services::upstream_side::ledger::ledger_service;
use bulrushslip::wire::rpc::{AttachVerdict, StreamItem};

/// Number of items of a complete answer.
pub const ANSWER_ITEMS: u64 = 4;

/// Time that the engine needs for one item.
const ITEM_TIME: Duration = Duration::from_millis(150);

/// Interval between two polls of the engine.
const POLL_TIME: Duration = Duration::from_millis(20);

/// Number of simulated upstreams.
pub const UPSTREAMS: usize = 3;

/// Simulated engine; it keeps running when its sidecar restarts.
#[derive(Default)]
pub struct Engine {
    /// Whether the engine responds.
    pub up: bool,
    /// Number of the engine's current run.
    pub epoch: u64,
    /// Whether the engine attaches to a ticket that it already runs instead of running it again.
    pub deduplicates: bool,
    /// How often each ticket ran, over all epochs.
    pub runs: HashMap<Ticket, u32>,
    started: HashMap<Ticket, Moment>,
}

impl Engine {
    /// Loses all state except the counts of runs.
    pub fn crash(&mut self) {
        self.up = false;
        self.epoch += 1;
        self.started.clear();
    }

    fn run(&mut self, now: Moment, ticket: Ticket) {
        if self.deduplicates && self.started.contains_key(&ticket) {
            return;
        }
        *self.runs.entry(ticket).or_default() += 1;
        self.started.insert(ticket, now);
    }

    fn produced(&self, now: Moment, ticket: Ticket) -> Option<u64> {
        let started = *self.started.get(&ticket)?;
        let items = now.since(started).as_micros() / ITEM_TIME.as_micros();
        u64::try_from(items)
            .ok()
            .map(|items| items.min(ANSWER_ITEMS))
    }
}

/// Replacement for the task `engine`, as far as the ledger uses it.
#[derive(Default)]
struct EngineTask {
    streams: Vec<(TicketKey, Ticket, u64)>,
}

impl EngineTask {
    fn handle(&mut self, turn: &mut Turn<'_, Mail>, engine: &mut Engine, mail: EngineMail) {
        match mail {
            EngineMail::Start(key, call) if !engine.up => {
                drop(call);
                let end = StreamEnd::NotRun(RefusalReason::EngineDown);
                turn.send("ledger", Mail::Ledger(LedgerMail::ResponseEnded(key, end)));
            }
            EngineMail::Start(key, call) => {
                let ticket = Ticket::from(call.ticket);
                engine.run(turn.now, ticket);
                self.streams.push((key, ticket, 0));
            }
            EngineMail::Cancel(key, _) => self.streams.retain(|(known, ..)| *known != key),
            EngineMail::Attach(key, ticket, _, reply_to) => {
                let verdict = if !engine.up {
                    AttachVerdict::EngineDown
                } else if engine.deduplicates && engine.started.contains_key(&ticket) {
                    self.streams.push((key, ticket, 0));
                    AttachVerdict::Attached
                } else {
                    AttachVerdict::NotFound
                };
                let mail = LedgerMail::LookupResult(key, verdict, reply_to);
                turn.send("ledger", Mail::Ledger(mail));
            }
        }
    }

    fn poll(&mut self, turn: &mut Turn<'_, Mail>, engine: &Engine) {
        for (key, ticket, next) in std::mem::take(&mut self.streams) {
            let Some(produced) = engine.produced(turn.now, ticket) else {
                let end = match next {
                    0 => StreamEnd::Uncertain,
                    _ => StreamEnd::EngineLost,
                };
                turn.send("ledger", Mail::Ledger(LedgerMail::ResponseEnded(key, end)));
                continue;
            };
            let items: Vec<StreamItem> =
                (next..produced).map(|index| item(ticket, index)).collect();
            if !items.is_empty() {
                turn.send("ledger", Mail::Ledger(LedgerMail::Items(key, items)));
            }
            if produced < ANSWER_ITEMS {
                self.streams.push((key, ticket, produced));
            } else {
                let end = LedgerMail::ResponseEnded(key, StreamEnd::Complete);
                turn.send("ledger", Mail::Ledger(end));
            }
        }
    }
}

/// Returns the item that an engine produces for a ticket at an index.
pub fn item(ticket: Ticket, index: u64) -> StreamItem {
    StreamItem::Data(format!("{ticket}:{index}").into_bytes())
}

fn engine_task(engine: Arc<Mutex<Engine>>) -> Service<Mail> {
    let mut task = EngineTask::default();
    Service::new("engine", move |turn, signal| {
        let mut engine = engine.lock().expect("the lock is not poisoned");
        match signal {
            Signal::Mail(Mail::Engine(mail)) => task.handle(turn, &mut engine, mail),
            Signal::Due => task.poll(turn, &engine),
            _ => {}
        }
        if task.streams.is_empty() {
            return NextStep::Wait;
        }
        NextStep::WaitUntil(turn.now.after(POLL_TIME))
    })
}

/// Simulated upstream: an engine, and a sidecar while its process runs.
pub struct UpstreamModel {
    /// Engine of the upstream.
    pub engine: Arc<Mutex<Engine>>,
    /// Process of the sidecar; `None` while it does not run.
    pub sidecar: Option<SidecarProcess>,
}

/// One run of a sidecar process.
pub struct SidecarProcess {
    /// Incarnation of the sidecar.
    pub incarnation: Incarnation,
    /// Kernel that runs the services of the sidecar.
    pub kernel: SteppedKernel<Mail>,
    /// Mailbox of the service `ledger`.
    pub ledger: MailboxKey,
    /// Time until which the process is paused.
    pub paused_until: Moment,
    /// Time at which the process ends after a planned stop.
    pub ends: Moment,
}

impl UpstreamModel {
    /// Creates an upstream with a running engine and no sidecar.
    pub fn new(deduplicates: bool) -> Self {
        let engine = Engine {
            up: true,
            epoch: 1,
            deduplicates,
            ..Engine::default()
        };
        Self {
            engine: Arc::new(Mutex::new(engine)),
            sidecar: None,
        }
    }

    /// Starts a sidecar with an empty ledger; replaces a running one.
    pub fn start_sidecar(&mut self, seed: u64, index: usize) {
        let incarnation = Incarnation(seed | 1);
        let mut kernel = SteppedKernel::new(seed);
        let ledger = kernel.add(ledger_service(LedgerSettings {
            max_prefills: u32::MAX,
            incarnation,
            upstream: format!("upstream-{index}"),
            bounds: LedgerBounds::default(),
            max_response_bytes: usize::MAX,
            queue: QueuePolicy {
                discipline: QueueDiscipline::RankedFair,
                rank_capacity: 4,
                floor_percent: [25, 20],
            },
        }));
        kernel.add(engine_task(Arc::clone(&self.engine)));
        let (configuration, _) = configuration();
        let mail = LedgerMail::Configured(Arc::new(configuration));
        kernel.post(ledger, Signal::Mail(Mail::Ledger(mail)));
        self.sidecar = Some(SidecarProcess {
            incarnation,
            kernel,
            ledger,
            paused_until: Moment::START,
            ends: Moment::NEVER,
        });
    }

    /// Ends the process, whose ledger has stopped, at the latest at this time.
    pub fn end_by(&mut self, ends: Moment) {
        if let Some(sidecar) = &mut self.sidecar {
            sidecar.ends = sidecar.ends.min(ends);
        }
    }

    /// Runs the sidecar until `now`, unless it is paused or its process has ended.
    pub fn run_until(&mut self, now: Moment) {
        let engine = self.engine.lock().expect("the lock is not poisoned");
        let state = if engine.up {
            EngineStatus::Up {
                epoch: EngineEpoch(engine.epoch),
                version: String::new(),
            }
        } else {
            EngineStatus::Down
        };
        drop(engine);
        if self
            .sidecar
            .as_ref()
            .is_some_and(|sidecar| sidecar.ends.is_due(now))
        {
            self.sidecar = None;
        }
        let Some(sidecar) = self.sidecar.as_mut() else {
            return;
        };
        if sidecar.paused_until.is_due(now) {
            let mail = Mail::Ledger(LedgerMail::EngineStatus(state));
            sidecar.kernel.post(sidecar.ledger, Signal::Mail(mail));
            sidecar.kernel.run_until(now);
        }
    }
}

/// Returns the configuration of the simulated fleet and the keys of its upstreams.
pub fn configuration() -> (Configuration, Vec<UpstreamKey>) {
    let mut configuration = Configuration {
        next_offset: LogOffset(1),
        ..Configuration::default()
    };
    configuration.customers.insert(Customer {
        name: "wales".to_owned(),
        bearer_hashes: Vec::new(),
        ranks: vec![Rank::Routine],
        weight: 1,
        max_in_flight: 100,
        placement_pieces: 1,
        versions: std::collections::BTreeMap::new(),
    });
    let keys = (0..UPSTREAMS).map(|index| {
        configuration.upstreams.insert(Upstream {
            name: format!("upstream-{index}"),
            data_centre: "bangor".to_owned(),
            sidecar: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            kind: UpstreamKind::Plain {
                service: "gates".to_owned(),
            },
            slots: 2,
            retired: false,
        })
    });
    let keys = keys.collect();
    (configuration, keys)
}
