//! I/O task `operator`: the operator port with state dump, health and explanations.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::mail::{JournalMail, Mail};
use crate::events::{OPERATOR_DENIED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::http_server::{
    HEADER_TIMEOUT_MS, RequestHandler, ResponseBody, ServerLimits, json_response, serve,
};
use crate::services::caller_side::journal;

/// Name of the task.
pub const NAME: &str = "operator";

/// Bounds of the operator port.
const LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: HEADER_TIMEOUT_MS,
    max_connections: 16,
    leave_ms: 0,
    drain_ms: 1_000,
};

/// What the operator port tells about its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Role, such as `entry`.
    pub role: &'static str,
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Bearer token; `None` leaves the port open, which settings allow on loopback only.
    pub token: Option<String>,
}

/// Messages to the I/O task `operator`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorMail {
    /// The process is about to stop; a balancer is to send it nothing more.
    Leaving,
}

/// Creates the task that serves the operator port.
#[must_use]
pub fn task(listener: TcpListener, identity: OperatorIdentity) -> IoTask<Mail> {
    IoTask::new(NAME, move |inbox, directory| {
        run(listener, identity, inbox, directory)
    })
}

async fn run(
    listener: TcpListener,
    identity: OperatorIdentity,
    mut inbox: Inbox<Mail>,
    directory: Directory<Mail>,
) {
    let (stop, stopped) = oneshot::channel();
    let (leave, is_leaving) = watch::channel(false);
    let identity = Arc::new(identity);
    let shared = Arc::clone(&identity);
    let handler = RequestHandler::new(move |request| {
        let exchange = OperatorExchange {
            identity: Arc::clone(&shared),
            directory: directory.clone(),
            is_leaving: *is_leaving.borrow(),
        };
        exchange.answer(request)
    });
    let server = tokio::spawn(serve(listener, handler, LIMITS, stopped));
    while let Some(signal) = inbox.receive().await {
        match signal {
            Signal::Dump(reply_to) => reply_to.send(json!({
                "role": identity.role,
                "name": identity.name,
                "data_centre": identity.data_centre,
                "version": env!("CARGO_PKG_VERSION"),
                "is_leaving": *leave.borrow(),
            })),
            Signal::Mail(Mail::Operator(OperatorMail::Leaving)) => {
                leave.send_replace(true);
            }
            Signal::Stop => break,
            Signal::Start | Signal::Mail(_) | Signal::Due => {}
        }
    }
    // A server that has ended already needs no stop.
    let _ = stop.send(());
    drop(server.await);
}

/// One call to the operator port.
struct OperatorExchange {
    identity: Arc<OperatorIdentity>,
    directory: Directory<Mail>,
    is_leaving: bool,
}

impl OperatorExchange {
    async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path();
        if request.method() != Method::GET {
            return failure(StatusCode::METHOD_NOT_ALLOWED, "only GET is accepted");
        }
        if path == "/health" {
            return self.health();
        }
        if !is_authorized(request.headers(), self.identity.token.as_deref()) {
            log_event(&OPERATOR_DENIED, &[("path", &path)]);
            let message = "the operator token is missing or wrong";
            return failure(StatusCode::UNAUTHORIZED, message);
        }
        match path {
            "/dump" => json_response(StatusCode::OK, &self.directory.dump().await),
            _ => match path.strip_prefix("/explain/") {
                Some(id) => self.explain(id).await,
                None => failure(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    /// Answers with what was decided for one request, if this process remembers it.
    async fn explain(&self, id: &str) -> Response<ResponseBody> {
        if self.directory.find(journal::NAME).is_none() {
            return failure(StatusCode::NOT_FOUND, "only entries remember requests");
        }
        let id = id.to_owned();
        let question = |reply_to| Mail::Journal(JournalMail::Find(id, reply_to));
        match self.directory.ask(journal::NAME, question).await.flatten() {
            Some(report) => json_response(StatusCode::OK, &report),
            None => failure(StatusCode::NOT_FOUND, "the request is not remembered here"),
        }
    }

    fn health(&self) -> Response<ResponseBody> {
        let uptime = self.directory.now().since(Moment::START).as_secs();
        let (status, text) = if self.is_leaving {
            (StatusCode::SERVICE_UNAVAILABLE, "leaving")
        } else {
            (StatusCode::OK, "ok")
        };
        json_response(status, &json!({"status": text, "uptime_s": uptime}))
    }
}

// Hashes are compared in constant time, so the time of an answer tells nothing of the token.
fn is_authorized(headers: &HeaderMap, token: Option<&str>) -> bool {
    let Some(token) = token else { return true };
    let header = headers.get(AUTHORIZATION);
    let sent = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    sent.is_some_and(|sent| blake3::hash(sent.as_bytes()) == blake3::hash(token.as_bytes()))
}

fn failure(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": {"message": message}}))
}
