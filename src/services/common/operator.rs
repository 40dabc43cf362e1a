//! I/O task `operator`: HTTP server of the operator port, with health, readiness, state dump and
//! request reports.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::mail::{ConfigMail, JournalMail, LedgerMail, Mail};
use crate::decide::outcome::RefusalReason;
use crate::events::{OPERATOR_DENIED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ResponseBody, ServerLimits,
    WRITE_TIMEOUT_MS, json_response, serve,
};
use crate::services::caller_side::journal;
use crate::services::configuration::config::CONFIG;
use crate::services::upstream_side::ledger::LEDGER;

/// Name of the I/O task that serves the operator port.
pub const NAME: &str = "operator";

/// Limits of the operator port's HTTP server.
const LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: HEADER_TIMEOUT_MS,
    write_timeout_ms: WRITE_TIMEOUT_MS,
    max_connections: 16,
    when_full: FullPolicy::Queue,
    buffer_bytes: BUFFER_BYTES,
    leave_ms: 0,
    drain_ms: 1_000,
};

/// Identity of the process that the operator port reports, and the token that it requires.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorIdentity {
    /// Role of the process: `entry` or `sidecar`.
    pub role: &'static str,
    /// Name of the instance.
    pub name: String,
    /// Data centre of the instance.
    pub data_centre: String,
    /// Required bearer token; with `None`, which settings allow on loopback only, every call is
    /// accepted.
    pub token: Option<String>,
}

/// Messages to the I/O task `operator`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorMail {
    /// The process is about to stop; the health check fails from now on, so that load balancers
    /// remove the process.
    Leaving,
}

/// Creates the I/O task that serves the operator port on a listener.
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
        let call = OperatorCall {
            identity: Arc::clone(&shared),
            directory: directory.clone(),
            is_leaving: *is_leaving.borrow(),
        };
        call.respond(request)
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
    // The send fails only if the server has ended already.
    let _ = stop.send(());
    drop(server.await);
}

/// Context of one HTTP request to the operator port.
struct OperatorCall {
    identity: Arc<OperatorIdentity>,
    directory: Directory<Mail>,
    is_leaving: bool,
}

impl OperatorCall {
    async fn respond(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let path = request.uri().path();
        if request.method() != Method::GET {
            return error_response(StatusCode::METHOD_NOT_ALLOWED, "only GET is accepted");
        }
        if path == "/health" {
            return self.health();
        }
        if path == "/ready" {
            return self.ready().await;
        }
        if !is_authorized(request.headers(), self.identity.token.as_deref()) {
            log_event(&OPERATOR_DENIED, &[("path", &path)]);
            let message = "the operator token is missing or wrong";
            return error_response(StatusCode::UNAUTHORIZED, message);
        }
        match path {
            "/dump" => json_response(StatusCode::OK, &self.directory.dump().await),
            _ => match path.strip_prefix("/explain/") {
                Some(id) => self.explain(id).await,
                None => error_response(StatusCode::NOT_FOUND, "no such path"),
            },
        }
    }

    /// Responds with the report of a request, if this process still keeps it.
    async fn explain(&self, id: &str) -> Response<ResponseBody> {
        if self.directory.find(journal::NAME).is_none() {
            return error_response(StatusCode::NOT_FOUND, "only entries keep request reports");
        }
        let id = id.to_owned();
        let message = |reply_to| Mail::Journal(JournalMail::Find(id, reply_to));
        match self.directory.ask(journal::NAME, message).await.flatten() {
            Some(report) => json_response(StatusCode::OK, &report),
            None => error_response(
                StatusCode::NOT_FOUND,
                "this entry keeps no report of the request",
            ),
        }
    }

    /// Responds with status 200 if the process accepts requests, otherwise with the reason for which
    /// it refuses them.
    async fn ready(&self) -> Response<ResponseBody> {
        match self.unready_reason().await {
            None => json_response(StatusCode::OK, &json!({"status": "ready"})),
            Some(reason) => {
                let body = json!({"status": "not_ready", "reason": reason.code()});
                json_response(StatusCode::SERVICE_UNAVAILABLE, &body)
            }
        }
    }

    async fn unready_reason(&self) -> Option<RefusalReason> {
        if self.is_leaving {
            return Some(RefusalReason::Leaving);
        }
        if self.directory.find(LEDGER).is_some() {
            let message = |reply_to| Mail::Ledger(LedgerMail::Readiness(reply_to));
            let reply = self.directory.ask(LEDGER, message).await;
            // A ledger that does not reply has stopped.
            return reply.unwrap_or(Some(RefusalReason::Leaving));
        }
        let message = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
        let configuration = self.directory.ask(CONFIG, message).await;
        let is_configured = configuration.is_some_and(|current| !current.customers.is_empty());
        (!is_configured).then_some(RefusalReason::NoConfiguration)
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

/// Checks the bearer token of a request.
///
/// The hashes are compared in constant time, so that response times reveal nothing about the token.
fn is_authorized(headers: &HeaderMap, token: Option<&str>) -> bool {
    let Some(token) = token else { return true };
    let header = headers.get(AUTHORIZATION);
    let sent = header
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "));
    sent.is_some_and(|sent| blake3::hash(sent.as_bytes()) == blake3::hash(token.as_bytes()))
}

fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": {"message": message}}))
}
