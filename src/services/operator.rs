//! I/O task `operator`: the operator port with state dump and health.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::AUTHORIZATION;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::mail::Mail;
use crate::events::{OPERATOR_DENIED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::http_server::{
    RequestHandler, ResponseBody, ServerLimits, json_response, serve,
};

/// Name of the task.
pub const NAME: &str = "operator";

/// Bounds of the operator port.
const LIMITS: ServerLimits = ServerLimits {
    max_connections: 16,
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
    let identity = Arc::new(identity);
    let shared = Arc::clone(&identity);
    let handler =
        RequestHandler::new(move |request| answer(request, Arc::clone(&shared), directory.clone()));
    let server = tokio::spawn(serve(listener, handler, LIMITS, stopped));
    while let Some(signal) = inbox.receive().await {
        match signal {
            Signal::Dump(reply_to) => reply_to.send(json!({
                "role": identity.role,
                "name": identity.name,
                "data_centre": identity.data_centre,
                "version": env!("CARGO_PKG_VERSION"),
            })),
            Signal::Stop => break,
            Signal::Start | Signal::Mail(_) | Signal::Due => {}
        }
    }
    // A server that has ended already needs no stop.
    let _ = stop.send(());
    drop(server.await);
}

async fn answer(
    request: Request<Incoming>,
    identity: Arc<OperatorIdentity>,
    directory: Directory<Mail>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        return failure(StatusCode::METHOD_NOT_ALLOWED, "only GET is accepted");
    }
    if path == "/health" {
        let uptime = directory.now().since(Moment::START);
        let health = json!({"status": "ok", "uptime_s": uptime.as_secs()});
        return json_response(StatusCode::OK, &health);
    }
    if !is_authorized(request.headers(), identity.token.as_deref()) {
        log_event(&OPERATOR_DENIED, &[("path", &path)]);
        return failure(
            StatusCode::UNAUTHORIZED,
            "the operator token is missing or wrong",
        );
    }
    match path {
        "/dump" => json_response(StatusCode::OK, &directory.dump().await),
        _ => failure(StatusCode::NOT_FOUND, "paths are /health and /dump"),
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
