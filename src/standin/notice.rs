//! Service `notice`: what the simulated upstream says of itself in its responses, set by tests.

use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::http_call::{BufferedRequest, StandinDirectory, done_response, error_response};
use super::mail::StandinMail;
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal, whole_ms};
use crate::platform::http_server::{ResponseBody, json_response};
use crate::platform::upstream_notice::SERVER_LEAVING;

/// Name of the service.
const NOTICE: &str = "notice";

/// Messages to the service `notice`.
#[derive(Debug)]
pub enum NoticeMail {
    /// Say from now on whether the upstream leaves, and reject all calls until the moment.
    Set(bool, Moment, ReplyTo<()>),
    /// A call has arrived; requests what its response says.
    Arrived(ReplyTo<StandinNotice>),
    /// Read how many calls have arrived since the last `Set`.
    Arrivals(ReplyTo<u64>),
}

/// What the response to a call says of the upstream.
#[derive(Debug, Clone, Copy)]
pub struct StandinNotice {
    is_leaving: bool,
    /// Milliseconds for which calls are rejected.
    pause_ms: u64,
}

/// Creates the service, which says nothing at first.
#[must_use]
pub fn notice_service() -> Service<StandinMail> {
    let mut is_leaving = false;
    let mut paused_until = Moment::START;
    let mut arrivals = 0;
    Service::new(NOTICE, move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Notice(NoticeMail::Set(leaves, until, reply))) => {
                is_leaving = leaves;
                paused_until = until;
                arrivals = 0;
                reply.send(());
            }
            Signal::Mail(StandinMail::Notice(NoticeMail::Arrived(reply))) => {
                arrivals += 1;
                reply.send(StandinNotice {
                    is_leaving,
                    pause_ms: whole_ms(paused_until.remaining(turn.now)),
                });
            }
            Signal::Mail(StandinMail::Notice(NoticeMail::Arrivals(reply))) => reply.send(arrivals),
            Signal::Dump(reply) => reply.send(json!({ "arrivals": arrivals })),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}

/// Handles the calls of tests to the service; returns `None` for all other calls.
pub async fn handle_admin(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("POST", ["admin", "notice"]) => {
            let is_leaving = request.number("leaving", 0) == 1;
            let until = request.deadline("pause_ms", directory.now());
            let mail = |reply| StandinMail::Notice(NoticeMail::Set(is_leaving, until, reply));
            directory.ask(NOTICE, mail).await?;
            Some(done_response())
        }
        ("GET", ["admin", "notice"]) => {
            let mail = |reply| StandinMail::Notice(NoticeMail::Arrivals(reply));
            let arrivals = directory.ask(NOTICE, mail).await?;
            let body = json!({ "arrivals": arrivals });
            Some(json_response(StatusCode::OK, &body))
        }
        _ => None,
    }
}

/// Records a call that has arrived and returns what its response says.
pub async fn arrive(directory: &StandinDirectory) -> Option<StandinNotice> {
    let mail = |reply| StandinMail::Notice(NoticeMail::Arrived(reply));
    directory.ask(NOTICE, mail).await
}

impl StandinNotice {
    /// Returns the rejection of the call, if it is rejected.
    #[must_use]
    pub fn rejection(self) -> Option<Response<ResponseBody>> {
        if self.pause_ms == 0 {
            return None;
        }
        let mut response = error_response(StatusCode::SERVICE_UNAVAILABLE, "paused");
        let (seconds, rest_ms) = (self.pause_ms / 1_000, self.pause_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds}.{rest_ms:03}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        Some(self.mark(response))
    }

    /// Adds what the upstream says of itself to a response.
    #[must_use]
    pub fn mark(self, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
        if self.is_leaving {
            let headers = response.headers_mut();
            headers.insert(SERVER_LEAVING, HeaderValue::from_static("1"));
        }
        response
    }
}
