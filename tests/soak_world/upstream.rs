//! Upstreams of the soak: they note what they run, and fail as they are told.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, JoinSet};

use super::entry::{EntryWriter, UpstreamState};
use super::ledger::{Kind, Ledger, Run, SharedLedger};
use super::notices::{Arrival, PAUSE_S};
use super::payload::{answer_text, request_body};
use super::prompt::{TOKEN_USAGE, prompt_prefix};
use super::weights::{self, MODEL, WeightsRun};

/// Events of a whole stream.
pub const EVENTS: u64 = 12;

/// Events of a stream that a caller asks to be long.
pub const LONG_EVENTS: u64 = 150;

/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Time in which an upstream notices that a connection was closed.
const CLOSE_NOTICE: Duration = Duration::from_millis(100);

/// Header of a caller that asks for a long answer.
pub const LONG_HEADER: &str = "x-soak-long";

/// How an upstream behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    /// Runs and answers all.
    Sound,
    /// Answers every third request with a failure.
    Failing,
    /// Turns every second request away without running it; every second such upstream wants no
    /// requests for some time then.
    Full,
    /// Breaks off every third answer.
    Breaking,
    /// Runs requests slowly.
    Slow,
    /// Sends an answer without its signature every third time.
    Unsigned,
    /// Closes all connections and takes none; later starts again with the weights that it had.
    Crashed,
    /// Lets requests with prompts wait for up to some seconds before they begin.
    Waiting,
    /// Leaves orders unanswered and carries them out late.
    LateOrders,
}

/// Moods other than sound ones.
pub const BAD_MOODS: [Mood; 8] = [
    Mood::Failing,
    Mood::Full,
    Mood::Breaking,
    Mood::Slow,
    Mood::Unsigned,
    Mood::Crashed,
    Mood::Waiting,
    Mood::LateOrders,
];

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
pub struct Place {
    /// Index of the upstream.
    pub index: usize,
    /// Its name.
    pub name: String,
    /// How it behaves.
    pub mood: watch::Receiver<Mood>,
    /// Its state and entry.
    pub entry: Arc<EntryWriter>,
    /// What all share.
    pub ledger: SharedLedger,
    /// Whether the connection of the request was closed.
    pub closed: watch::Receiver<bool>,
    count: u64,
}

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

impl Place {
    fn note_arrival(&self, arrival: Arrival) {
        let mut ledger = self.ledger.lock().expect("not poisoned");
        ledger.arrivals.push(arrival);
    }
}

impl SoakUpstream {
    /// Starts the upstream with an index and a name.
    pub async fn start(index: usize, name: &str, store: SocketAddr, ledger: SharedLedger) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (mood, moods) = watch::channel(Mood::Sound);
        let entry = Arc::new(EntryWriter::new(name, store, UpstreamState::new(address)));
        let place = Place {
            index,
            name: name.to_owned(),
            mood: moods,
            entry: Arc::clone(&entry),
            ledger,
            closed: watch::channel(false).1,
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
    let mut was_crashed = false;
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
                    let mut here = here.clone();
                    let (closing, closed) = watch::channel(false);
                    here.closed = closed;
                    async move { run_until_closed(answer(here, request), closing).await }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
                connections.spawn(async move { drop(connection.await) });
            }
            changed = place.mood.changed() => {
                if changed.is_err() {
                    return;
                }
                let is_crashed = *place.mood.borrow_and_update() == Mood::Crashed;
                if is_crashed {
                    place.entry.state.send_modify(UpstreamState::restart);
                    connections.abort_all();
                } else if was_crashed {
                    let entry = Arc::clone(&place.entry);
                    connections.spawn(async move { entry.write().await });
                }
                was_crashed = is_crashed;
            }
            Some(_ended) = connections.join_next() => {}
        }
    }
}

/// Ends a request's task a little after its connection has closed.
struct CloseGuard {
    task: AbortHandle,
    closing: watch::Sender<bool>,
}

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.closing.send_replace(true);
        let task = self.task.clone();
        tokio::spawn(async move {
            tokio::time::sleep(CLOSE_NOTICE).await;
            task.abort();
        });
    }
}

/// Runs a request in a task of its own, so that it may still begin just after its caller has closed
/// the connection.
async fn run_until_closed<T: Send + 'static>(
    request: impl Future<Output = T> + Send + 'static,
    closing: watch::Sender<bool>,
) -> T {
    let task = tokio::spawn(request);
    let _guard = CloseGuard {
        task: task.abort_handle(),
        closing,
    };
    task.await
        .expect("it is aborted only after the wait for it")
}

/// Ends a run in the ledger when the answer is dropped: sent, or its connection closed.
struct RunGuard {
    ledger: SharedLedger,
    id: String,
    index: usize,
    _weights: Option<WeightsRun>,
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

/// Returns the text of a header, empty if it is missing.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default()
}

/// Answers a request; an upstream that leaves says so.
async fn answer(
    place: Place,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, std::io::Error> {
    let says_leaving = place.entry.state.borrow().is_leaving;
    let mut response = run(place, request, says_leaving).await?;
    if says_leaving {
        let headers = response.headers_mut();
        headers.insert("server-leaving", HeaderValue::from_static("1"));
    }
    Ok(response)
}

async fn run(
    place: Place,
    request: Request<Incoming>,
    says_leaving: bool,
) -> Result<Response<AnswerBody>, std::io::Error> {
    let (head, body) = request.into_parts();
    // A request that did not arrive whole is not run.
    let body = body.collect().await.map_err(std::io::Error::other)?;
    let body = body.to_bytes();
    let arrived = Instant::now();
    let id = text(&head.headers, "x-request-id").to_owned();
    let mood = *place.mood.borrow();
    // The draw depends on the request, so that a second try has another chance.
    let draw = id.bytes().map(u64::from).sum::<u64>() + place.index as u64 + place.count;
    if text(&head.headers, "x-expect-instance") != place.name {
        return Ok(not_run(StatusCode::MISDIRECTED_REQUEST, &id));
    }
    match head.uri.path() {
        "/report" => return Ok(weights::report(&place)),
        "/order" => return Ok(weights::take_order(&place, &body).await),
        _ => {}
    }
    let is_rejected = mood == Mood::Full && draw.is_multiple_of(2);
    let wants_pause = is_rejected && place.index.is_multiple_of(2);
    let arrival = Arrival {
        upstream: place.index,
        id: id.clone(),
        at: arrived,
        is_rejected: wants_pause,
        says_leaving,
    };
    place.note_arrival(arrival);
    if is_rejected {
        let mut response = not_run(StatusCode::SERVICE_UNAVAILABLE, &id);
        if wants_pause {
            response.headers_mut().insert(RETRY_AFTER, PAUSE_S.into());
        }
        return Ok(response);
    }
    let is_stream =
        head.uri.path().starts_with("/resumable/") || head.uri.path().starts_with("/stream/");
    let is_long = is_stream && head.headers.contains_key(LONG_HEADER);
    let is_failing = mood == Mood::Failing && draw.is_multiple_of(3);
    let status = if is_failing { 500 } else { 200 };
    let weights = if head.headers.contains_key("x-model") {
        match weights::begin(&place, &head.headers, draw).await {
            Ok(begun) => Some(begun),
            Err(refusal) => return Ok(refusal.answer(&place, &id)),
        }
    } else {
        None
    };
    let version = weights.as_ref().map(|weights| weights.version);
    let run = Run {
        upstream: place.index,
        arrived,
        at: Instant::now(),
        ended: None,
        status,
        is_long,
        weights: version,
    };
    let guard = note(&place, &id, &head, &body, run, weights);
    if mood == Mood::Slow {
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let breaks = mood == Mood::Breaking && draw.is_multiple_of(3);
    let builder = Response::builder()
        .status(status)
        .header("x-request-id", &id);
    let builder = match version {
        Some(version) => builder.header("x-weight-versions", version),
        None => builder,
    };
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

/// Notes a run and checks what arrived.
fn note(
    place: &Place,
    id: &str,
    head: &hyper::http::request::Parts,
    body: &Bytes,
    run: Run,
    weights: Option<WeightsRun>,
) -> RunGuard {
    let mut ledger = place.ledger.lock().expect("not poisoned");
    let runs = ledger.runs.entry(id.to_owned()).or_default();
    let index = runs.len();
    runs.push(run);
    if text(&head.headers, "x-tenant") != "customer" || head.headers.contains_key("x-api-key") {
        ledger.breach("asked", id, "ran as another customer's");
    }
    if *body != request_body(id) {
        ledger.breach("asked", id, "ran with another body");
    }
    if let Some(weights) = &weights {
        check_prompt(head, id, &mut ledger);
        ledger.note_cache(id, text(&head.headers, "x-cache-salt"), weights.version);
    }
    RunGuard {
        ledger: Arc::clone(&place.ledger),
        id: id.to_owned(),
        index,
        _weights: weights,
    }
}

/// Checks that a prompt is described as its caller did.
fn check_prompt(head: &hyper::http::request::Parts, id: &str, ledger: &mut Ledger) {
    let kind = if head.uri.path().starts_with(Kind::Resumable.prefix()) {
        Kind::Resumable
    } else {
        Kind::Stream
    };
    let is_same = text(&head.headers, "x-model") == MODEL
        && text(&head.headers, "x-token-usage") == TOKEN_USAGE
        && text(&head.headers, "x-prompt-prefix") == prompt_prefix(kind, id);
    if !is_same {
        ledger.breach("asked", id, "ran with another prompt");
    }
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

/// Returns a body that is sent at once.
pub fn whole(text: String) -> AnswerBody {
    let never = |never: Infallible| match never {};
    BodyExt::boxed_unsync(Full::new(Bytes::from(text)).map_err(never))
}

/// Returns the answer to a request that was not run.
pub fn not_run(status: StatusCode, id: &str) -> Response<AnswerBody> {
    let builder = Response::builder()
        .status(status)
        .header("x-request-id", id)
        .header("x-not-executed", "1");
    builder.body(whole(String::new())).expect("a response")
}
