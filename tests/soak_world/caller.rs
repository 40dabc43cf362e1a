//! Callers of the soak: they keep their connections, check every answer, and some leave early.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bulrushslip::platform::http_connection::{OpenConnection, dial};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::sync::watch;
use tokio::time::timeout;

use super::burst::dial_narrow;
use super::dice::Dice;
use super::ledger::{Got, Kind, Sent, SharedLedger};
use super::payload::{self, answer_text, request_body};
use super::prompt::{TOKEN_USAGE, prompt_prefix};
use super::upstream::{EVENTS, LONG_EVENTS, LONG_HEADER, event_text};
use super::weights::MODEL;
use super::{RECOVERY_LIMIT, ROUTE_TIME};

/// Longest time for a dial.
const DIAL_LIMIT: Duration = Duration::from_millis(500);

/// Time that a caller waits beyond the route's time, to tell late answers from none.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Pause of a slow reader between two parts of an answer.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two probes of a gateway.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// How a caller burdens its gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerKind {
    /// With small bodies, and answers that it reads at once.
    Usual,
    /// As a usual one that never leaves early.
    Probe,
    /// With large bodies.
    LargeBody,
    /// With large answers that it reads slowly.
    SlowReader,
}

impl CallerKind {
    /// Returns the first letter of its requests' ids.
    const fn letter(self) -> char {
        match self {
            Self::Usual | Self::Probe => payload::USUAL,
            Self::LargeBody => payload::LARGE_BODY,
            Self::SlowReader => payload::LARGE_ANSWER,
        }
    }
}

/// One caller and its connection.
#[derive(Debug)]
pub struct Caller {
    /// Number, for the ids of its requests.
    pub number: u64,
    /// How it burdens its gateway.
    pub kind: CallerKind,
    /// Where the gateways take callers.
    pub gateways: Vec<SocketAddr>,
    /// Draws of its own.
    pub dice: Dice,
    /// What all callers share.
    pub ledger: SharedLedger,
    /// The gateway and connection that it uses.
    pub connection: Option<(usize, OpenConnection)>,
    /// Pauses in which it has not read the present answer.
    pub read_pauses: AtomicU32,
}

impl Caller {
    /// Sends requests until told to stop.
    pub async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut sequence = 0;
        while !*stop.borrow() {
            let gateway = self.dice.index(self.gateways.len());
            sequence += 1;
            self.send_next(gateway, sequence).await;
        }
    }

    /// Sends requests to one gateway until told to stop.
    pub async fn run_at(mut self, gateway: usize, stop: watch::Receiver<bool>) {
        let mut sequence = 0;
        while !*stop.borrow() {
            sequence += 1;
            self.send_next(gateway, sequence).await;
        }
    }

    /// Requires a gateway to serve each kind within the recovery time.
    pub async fn require_service(mut self, gateway: usize, healed: Instant) {
        for kind in Kind::ALL {
            let mut tries = 0;
            loop {
                tries += 1;
                self.connection = None;
                let id = format!("p{gateway}-{}-{tries}", kind.prefix().trim_matches('/'));
                let got = self.send(gateway, &id, kind).await;
                if got == Some(Got::Success) {
                    break;
                }
                if healed.elapsed() > RECOVERY_LIMIT {
                    let mut ledger = self.ledger.lock().expect("not poisoned");
                    let what = format!("gateway {gateway} does not serve {kind:?}: {got:?}");
                    ledger.breach("recovery", &id, &what);
                    break;
                }
                tokio::time::sleep(PROBE_PAUSE).await;
            }
        }
    }

    async fn send_next(&mut self, gateway: usize, sequence: u64) {
        let id = format!("{}{}-{sequence}", self.kind.letter(), self.number);
        let kind = Kind::ALL[self.dice.index(Kind::ALL.len())];
        self.send(gateway, &id, kind).await;
        let pause = self.dice.below(120);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }

    /// Opens a connection to a gateway, if it can be reached.
    async fn dial(&self, gateway: usize) -> Option<OpenConnection> {
        let address = self.gateways[gateway];
        if self.kind == CallerKind::SlowReader {
            return timeout(DIAL_LIMIT, dial_narrow(address)).await.ok()?;
        }
        dial(address, DIAL_LIMIT).await.ok()
    }

    /// Sends one request over the open connection, or a new one to the gateway; returns what came.
    pub async fn send(&mut self, gateway: usize, id: &str, kind: Kind) -> Option<Got> {
        let kept = self.connection.take();
        let (gateway, mut connection) =
            match kept.filter(|(_, connection)| !connection.sender.is_closed()) {
                Some(kept) => kept,
                // Without a connection nothing was sent; a balancer would choose another instance.
                None => (gateway, self.dial(gateway).await?),
            };
        if connection.sender.ready().await.is_err() {
            return None;
        }
        let may_leave = self.kind != CallerKind::Probe;
        let is_long = may_leave && kind.is_stream() && self.dice.percent(15);
        let leaves_after = Duration::from_millis(50 + self.dice.below(400));
        let is_leaving = is_long || (may_leave && self.dice.percent(5));
        let at = Instant::now();
        let sent = Sent {
            kind,
            gateway,
            at,
            got: None,
            read_pauses: Duration::ZERO,
        };
        self.ledger
            .lock()
            .expect("not poisoned")
            .sent
            .insert(id.to_owned(), sent);
        let request = request(self.gateways[gateway], id, kind, is_long);
        let limit = if is_leaving {
            leaves_after
        } else {
            ROUTE_TIME + PATIENCE
        };
        let exchange = async {
            let response = connection.sender.send_request(request).await;
            match response {
                Ok(response) => self.read(response, id, kind, is_long).await,
                Err(error) => Got::Broken(error.to_string()),
            }
        };
        let got = match timeout(limit, exchange).await {
            Ok(got) => got,
            Err(_elapsed) if is_leaving => Got::Left,
            Err(_elapsed) => Got::Overdue,
        };
        let is_reusable = matches!(
            got,
            Got::Success | Got::UpstreamFailure(_) | Got::OwnStatus(_)
        );
        // Dropping the connection is how a caller leaves; the time is taken after it.
        self.connection = is_reusable.then_some((gateway, connection));
        let mut ledger = self.ledger.lock().expect("not poisoned");
        let sent = ledger.sent.get_mut(id).expect("noted above");
        sent.got = Some((got.clone(), Instant::now()));
        sent.read_pauses = READ_PAUSE * self.read_pauses.swap(0, Ordering::Relaxed);
        Some(got)
    }

    async fn read(&self, response: Response<Incoming>, id: &str, kind: Kind, is_long: bool) -> Got {
        let (head, mut body) = response.into_parts();
        let status = head.status.as_u16();
        let seal = head.headers.get("x-server-seal").cloned();
        let mut read = BytesMut::new();
        let mut is_broken = None;
        while let Some(frame) = body.frame().await {
            if self.kind == CallerKind::SlowReader {
                tokio::time::sleep(READ_PAUSE).await;
                self.read_pauses.fetch_add(1, Ordering::Relaxed);
            }
            match frame {
                Ok(frame) => read.extend(frame.into_data().unwrap_or_else(|_| Bytes::new())),
                Err(error) => {
                    is_broken = Some(error.to_string());
                    break;
                }
            }
        }
        let breach = |rule: &str, what: &str| {
            let mut ledger = self.ledger.lock().expect("not poisoned");
            ledger.breach(rule, id, what);
        };
        let Some(_seal) = seal else {
            if head.status.is_success() {
                breach("answer", "a success without a signature");
            }
            return is_broken.map_or(Got::OwnStatus(status), Got::Broken);
        };
        if !head.status.is_success() {
            let ledger = self.ledger.lock().expect("not poisoned");
            let runs = ledger.runs.get(id).map(Vec::as_slice).unwrap_or_default();
            let was_given = runs.iter().any(|run| run.status == status);
            drop(ledger);
            if !was_given {
                breach(
                    "answer",
                    &format!("signed {status}, which no upstream gave"),
                );
            }
            return Got::UpstreamFailure(status);
        }
        let wanted: String = if kind.is_stream() {
            let events = if is_long { LONG_EVENTS } else { EVENTS };
            (1..=events).map(|number| event_text(id, number)).collect()
        } else {
            answer_text(id)
        };
        if let Some(broken) = is_broken {
            // Whole events before the break must be in order, the last one may be cut.
            if kind.is_stream() && !wanted.as_bytes().starts_with(&read) {
                breach("order", &String::from_utf8_lossy(&read));
            }
            return Got::Broken(broken);
        }
        if read != wanted.as_bytes() {
            let text = String::from_utf8_lossy(&read).into_owned();
            breach("answer", &format!("complete, but {text:?}"));
        }
        Got::Success
    }
}

fn request(gateway: SocketAddr, id: &str, kind: Kind, is_long: bool) -> Request<Full<Bytes>> {
    let mut builder = Request::post(kind.prefix())
        .header("host", gateway.to_string())
        .header("x-request-id", id)
        .header("x-deadline-ms", "8000")
        .header("x-api-key", "key");
    if is_long {
        builder = builder.header(LONG_HEADER, "1");
    }
    if kind.is_stream() {
        builder = builder
            .header("x-model", MODEL)
            .header("x-token-usage", TOKEN_USAGE)
            .header("x-prompt-prefix", prompt_prefix(kind, id));
    }
    builder
        .body(Full::new(request_body(id)))
        .expect("a request")
}
