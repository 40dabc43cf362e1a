//! Upstreams of the soak: they note what they run, and fail as they are told.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushslip::platform::store_client::{StoreClient, UPSTREAM_TOPIC};
use bulrushslip::platform::store_records::encode_keyed;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::ledger::{Order, Run, SharedLedger};

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// Events of a stream that a caller asks to be long.
pub const LONG_EVENTS: u64 = 150;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Header of a caller that asks for a long answer.
pub const LONG_HEADER: &str = "x-soak-long";

/// The model that all upstreams run.
pub const MODEL: &str = "m";

/// Time that an upstream takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(570);

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Runs and answers all.
    Sound,
    /// Answers every third request with a failure.
    Failing,
    /// Turns every second request away without running it.
    Full,
    /// Breaks off every third answer.
    Breaking,
    /// Runs requests slowly.
    Slow,
    /// Sends an answer without its signature every third time.
    Unsigned,
    /// Closes all connections and takes none.
    Crashed,
}

/// Moods other than sound ones.
pub const BAD_MOODS: [Mood; 6] = [
    Mood::Failing,
    Mood::Full,
    Mood::Breaking,
    Mood::Slow,
    Mood::Unsigned,
    Mood::Crashed,
];

/// What an upstream says of itself.
#[derive(Debug, Clone, Copy)]
pub struct SaidState {
    /// Address that it is reached under.
    pub address: SocketAddr,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Version of its weights.
    pub version: u64,
    /// Whether it loads others.
    pub is_busy: bool,
    /// Orders that it has accepted.
    pub orders: u64,
}

/// Writes an upstream's entry in the store; one writer at a time, each with the newest state.
#[derive(Debug)]
pub struct EntryWriter {
    name: String,
    store: tokio::sync::Mutex<StoreClient>,
    state: watch::Sender<SaidState>,
}

impl EntryWriter {
    /// Writes the entry and waits until the store has confirmed it.
    pub async fn write(&self) {
        let mut store = self.store.lock().await;
        loop {
            let state = *self.state.borrow();
            let word = if state.is_leaving {
                "draining"
            } else {
                "ready"
            };
            let entry = json!({"service": "s", "address": state.address, "zone": "near",
                "slots": 16, "state": word, "born": 1,
                "models": [{"name": MODEL, "version": state.version}]});
            let record = encode_keyed(&self.name, entry.to_string().as_bytes());
            let record = record.expect("a short key");
            if store.append(UPSTREAM_TOPIC, &record).await.is_ok() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Says from now on whether the upstream leaves.
    pub async fn announce(&self, is_leaving: bool) {
        self.state
            .send_modify(|state| state.is_leaving = is_leaving);
        self.write().await;
    }

    /// Returns the version of its weights.
    pub fn version(&self) -> u64 {
        self.state.borrow().version
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct SoakUpstream {
    /// Its address.
    pub address: SocketAddr,
    /// Its entry in the store.
    pub entry: Arc<EntryWriter>,
    mood: watch::Sender<Mood>,
    _tasks: JoinSet<()>,
}

/// What a request's task needs to know of its upstream.
#[derive(Debug, Clone)]
struct Place {
    index: usize,
    name: String,
    mood: watch::Receiver<Mood>,
    entry: Arc<EntryWriter>,
    ledger: SharedLedger,
    count: u64,
}

type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

impl SoakUpstream {
    /// Starts the upstream with an index and a name.
    pub async fn start(index: usize, name: &str, store: SocketAddr, ledger: SharedLedger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (mood, moods) = watch::channel(Mood::Sound);
        let (state, _) = watch::channel(SaidState {
            address,
            is_leaving: false,
            version: 1,
            is_busy: false,
            orders: 0,
        });
        let entry = Arc::new(EntryWriter {
            name: name.to_owned(),
            store: tokio::sync::Mutex::new(StoreClient::new(store)),
            state,
        });
        let place = Place {
            index,
            name: name.to_owned(),
            mood: moods,
            entry: Arc::clone(&entry),
            ledger,
            count: 0,
        };
        let mut tasks = JoinSet::new();
        tasks.spawn(serve(listener, place));
        Self {
            address,
            entry,
            mood,
            _tasks: tasks,
        }
    }

    /// Says under which address it is reached from now on.
    pub fn reached_at(&self, address: SocketAddr) {
        self.entry
            .state
            .send_modify(|state| state.address = address);
    }

    /// Sets how it behaves from now on.
    pub fn set(&self, mood: Mood) {
        self.mood.send_replace(mood);
    }
}

async fn serve(listener: TcpListener, mut place: Place) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _peer)) = accepted else { continue };
                if *place.mood.borrow() == Mood::Crashed {
                    continue;
                }
                place.count += 1;
                let here = place.clone();
                let answer = service_fn(move |request| {
                    let here = here.clone();
                    async move { run(here, request).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
                connections.spawn(async move { drop(connection.await) });
            }
            changed = place.mood.changed() => {
                if changed.is_err() {
                    return;
                }
                if *place.mood.borrow_and_update() == Mood::Crashed {
                    connections.abort_all();
                }
            }
            Some(_ended) = connections.join_next() => {}
        }
    }
}

/// Ends a run in the ledger when the answer is dropped: sent, or its connection closed.
struct RunGuard {
    ledger: SharedLedger,
    id: String,
    index: usize,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut ledger = self.ledger.lock().expect("not poisoned");
        if let Some(run) = ledger
            .runs
            .get_mut(&self.id)
            .and_then(|runs| runs.get_mut(self.index))
        {
            run.ended = Some(Instant::now());
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

async fn run(
    place: Place,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, std::io::Error> {
    let (head, body) = request.into_parts();
    // A request that did not arrive whole is not run.
    let body = body.collect().await.map_err(std::io::Error::other)?;
    let body = body.to_bytes();
    let id = text(&head.headers, "x-request-id").to_owned();
    let mood = *place.mood.borrow();
    // The draw depends on the request, so that a second try has another chance.
    let draw = id.bytes().map(u64::from).sum::<u64>() + place.index as u64 + place.count;
    if text(&head.headers, "x-expect-instance") != place.name {
        return Ok(not_run(StatusCode::MISDIRECTED_REQUEST, &id));
    }
    match head.uri.path() {
        "/report" => return Ok(report(&place)),
        "/order" => return Ok(take_order(&place, &body)),
        _ => {}
    }
    if mood == Mood::Full && draw.is_multiple_of(2) {
        return Ok(not_run(StatusCode::SERVICE_UNAVAILABLE, &id));
    }
    let is_stream =
        head.uri.path().starts_with("/resumable/") || head.uri.path().starts_with("/stream/");
    let is_long = is_stream && head.headers.contains_key(LONG_HEADER);
    let is_failing = mood == Mood::Failing && draw.is_multiple_of(3);
    let status = if is_failing { 500 } else { 200 };
    let guard = note(&place, &id, &head, &body, status, is_long);
    if mood == Mood::Slow {
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let breaks = mood == Mood::Breaking && draw.is_multiple_of(3);
    let builder = Response::builder()
        .status(status)
        .header("x-request-id", &id);
    let builder = if mood == Mood::Unsigned && draw.is_multiple_of(3) {
        builder
    } else {
        builder.header("x-server-seal", &place.name)
    };
    let response = if is_stream && !is_failing {
        let last: u64 = text(&head.headers, "last-event-id").parse().unwrap_or(0);
        let events = if is_long { LONG_EVENTS } else { EVENTS };
        builder.body(stream(&id, last, events, breaks, guard))
    } else if breaks {
        let half: [Result<Frame<Bytes>, std::io::Error>; 2] = [
            Ok(Frame::data(Bytes::from_static(b"half"))),
            Err(std::io::ErrorKind::ConnectionAborted.into()),
        ];
        let builder = builder.header("content-length", "400");
        let frames = futures::stream::iter(half).map(move |frame| {
            let _open = &guard;
            frame
        });
        builder.body(BodyExt::boxed_unsync(StreamBody::new(frames)))
    } else {
        drop(guard);
        builder.body(whole(answer_text(&id)))
    };
    response.map_err(std::io::Error::other)
}

fn report(place: &Place) -> Response<AnswerBody> {
    let state = *place.entry.state.borrow();
    let report = json!({"models": [{"name": MODEL, "version": state.version}],
        "busy": state.is_busy, "sequence": state.orders});
    Response::new(whole(report.to_string()))
}

/// Takes an order of weights, which are loaded a little later.
fn take_order(place: &Place, body: &Bytes) -> Response<AnswerBody> {
    let order: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| order[name].as_u64().unwrap_or_default();
    place
        .ledger
        .lock()
        .expect("not poisoned")
        .orders
        .push(Order {
            upstream: place.index,
            at: Instant::now(),
            holder: order["holder"].as_str().unwrap_or_default().to_owned(),
            fence: number("fence"),
        });
    let state = *place.entry.state.borrow();
    let status = if state.is_busy || number("expect") != state.orders {
        StatusCode::CONFLICT
    } else if state.version >= number("version") {
        StatusCode::OK
    } else {
        place.entry.state.send_modify(|state| {
            state.is_busy = true;
            state.orders += 1;
        });
        let (entry, version) = (Arc::clone(&place.entry), number("version"));
        tokio::spawn(async move {
            tokio::time::sleep(LOAD_TIME).await;
            entry.state.send_modify(|state| {
                state.is_busy = false;
                state.version = version;
            });
            entry.write().await;
        });
        StatusCode::ACCEPTED
    };
    let mut response = Response::new(whole(String::new()));
    *response.status_mut() = status;
    response
}

/// Notes a run and checks what arrived.
fn note(
    place: &Place,
    id: &str,
    head: &hyper::http::request::Parts,
    body: &Bytes,
    status: u16,
    is_long: bool,
) -> RunGuard {
    let mut ledger = place.ledger.lock().expect("not poisoned");
    let runs = ledger.runs.entry(id.to_owned()).or_default();
    let index = runs.len();
    runs.push(Run {
        upstream: place.index,
        at: Instant::now(),
        ended: None,
        status,
        is_long,
    });
    if text(&head.headers, "x-tenant") != "customer" || head.headers.contains_key("x-api-key") {
        ledger.breach("asked", id, "ran as another customer's");
    }
    if body != id.as_bytes() {
        ledger.breach("asked", id, "ran with another body");
    }
    RunGuard {
        ledger: Arc::clone(&place.ledger),
        id: id.to_owned(),
        index,
    }
}

/// Returns the whole answer to a request that is not a stream.
pub fn answer_text(id: &str) -> String {
    format!("answer to {id}")
}

/// Returns one event of a stream.
pub fn event_text(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

fn stream(id: &str, last: u64, events: u64, breaks: bool, guard: RunGuard) -> AnswerBody {
    let id = id.to_owned();
    let broken_at = last + 3;
    let numbers = futures::stream::iter(last + 1..=events);
    let frames = numbers.then(move |number| {
        let text = event_text(&id, number);
        let _open = &guard;
        async move {
            tokio::time::sleep(EVENT_PAUSE).await;
            if breaks && number == broken_at {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
            Ok(Frame::data(Bytes::from(text)))
        }
    });
    BodyExt::boxed_unsync(StreamBody::new(frames))
}

fn whole(text: String) -> AnswerBody {
    let never = |never: Infallible| match never {};
    BodyExt::boxed_unsync(Full::new(Bytes::from(text)).map_err(never))
}

fn not_run(status: StatusCode, id: &str) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header("x-request-id", id)
        .header("x-not-executed", "1");
    builder.body(whole(String::new())).expect("a response")
}
