//! I/O task `callers` of an entry: HTTP server for callers and its routes.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{AUTHORIZATION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::journal::request_id;
use super::key_claim::{KeyClaim, ParsedKey, parse_key};
use super::model_response::{caller_error_response, model_response};
use super::plain_response::plain_response;
use super::rejection::{HandlerResult, Rejection, invalid_value, response_or_error};
use super::request_runner::RequestRunner;
use super::upstream_choice::{UpstreamChooser, UpstreamScope};
use super::upstream_request::UpstreamRequest;
use crate::decide::admission::{Admission, AdmissionQuery, AdmissionTarget, admit, authenticate};
use crate::decide::config::{BearerHash, Configuration};
use crate::decide::ids::{PrefixKey, Rank};
use crate::decide::placement::PlacementPolicy;
use crate::decide::prefix::prefix_keys;
use crate::decide::request_step::RequestPolicy;
use crate::decide::suspects::Fingerprint;
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_server::{
    RequestHandler, ResponseBody, ServerLimits, json_response, serve,
};
use crate::services::common::mail::{ConfigMail, Mail};
use crate::services::common::operator::{self, OperatorMail};
use crate::services::configuration::config::CONFIG;
use crate::wire::headers::forwarded_headers;
use crate::wire::models::ModelList;
use crate::wire::openai::{ApiKind, CallerError, CallerRequest};

/// Time within which a caller must send the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Header with the rank of the request.
const RANK_HEADER: &str = "x-rank";

/// Header that tells whether the request may run more than once.
const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// Settings of the HTTP server for callers.
#[derive(Debug, Clone, Copy)]
pub struct CallerSettings {
    /// Limits on connections, and times for request headers and for a stop.
    pub limits: ServerLimits,
    /// Maximum length of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum number of submissions of one request, including the first.
    pub max_attempts: u32,
    /// Placement policy of the entry.
    pub policy: PlacementPolicy,
}

/// Creates the I/O task `callers`, which serves HTTP on the listener.
#[must_use]
pub fn callers_task(listener: TcpListener, settings: CallerSettings) -> IoTask<Mail> {
    IoTask::new("callers", move |inbox, directory| {
        run(listener, settings, inbox, directory)
    })
}

async fn run(
    listener: TcpListener,
    settings: CallerSettings,
    mut inbox: Inbox<Mail>,
    directory: Directory<Mail>,
) {
    let (stop, stopped) = oneshot::channel();
    let shared = directory.clone();
    let handler = RequestHandler::new(move |request| {
        let exchange = CallerExchange {
            directory: shared.clone(),
            settings,
        };
        async move { Box::pin(exchange.respond(request)).await }
    });
    let server = tokio::spawn(serve(listener, handler, settings.limits, stopped));
    while let Some(signal) = inbox.receive().await {
        match signal {
            Signal::Dump(reply_to) => reply_to.send(serde_json::json!({
                "policy": settings.policy.name,
                "max_attempts": settings.max_attempts,
            })),
            Signal::Stop => break,
            Signal::Start | Signal::Mail(_) | Signal::Due => {}
        }
    }
    if stop.send(()).is_ok() {
        let leaving = Mail::Operator(OperatorMail::Leaving);
        directory.send_waiting(operator::NAME, leaving).await;
        // The server ends after the last open request.
        drop(server.await);
    }
}

/// Context in which one request of a caller is handled.
#[derive(Debug)]
struct CallerExchange {
    directory: Directory<Mail>,
    settings: CallerSettings,
}

/// Values from the headers of a request; `None` for absent ones.
struct RequestHeaders {
    bearer: Option<BearerHash>,
    rank: Option<Rank>,
    idempotent: Option<bool>,
}

impl CallerExchange {
    async fn respond(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        if let Some(kind) = ApiKind::parse(&path) {
            if head.method != Method::POST {
                return caller_error_response(CallerError::MethodNotAllowed, "use POST");
            }
            return response_or_error(self.respond_model(kind, head, body).await);
        }
        if let Some(rest) = path.strip_prefix("/services/") {
            let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
            return response_or_error(self.respond_plain(name, rest, head, body).await);
        }
        match (path.as_str(), &head.method) {
            ("/v1/models", &Method::GET) => {
                response_or_error(self.respond_models(&head.headers).await)
            }
            ("/v1/models", _) => caller_error_response(CallerError::MethodNotAllowed, "use GET"),
            _ => caller_error_response(CallerError::UnknownPath, "no such path"),
        }
    }

    async fn respond_models(&self, headers: &HeaderMap) -> HandlerResult {
        let configuration = self.configuration().await;
        authenticate(&configuration, bearer_hash(headers))?;
        let list = ModelList::from(&*configuration);
        let value = serde_json::to_value(list).unwrap_or_default();
        Ok(json_response(StatusCode::OK, &value))
    }

    async fn respond_model(self, kind: ApiKind, head: Parts, body: Incoming) -> HandlerResult {
        let configuration = self.configuration().await;
        let parsed = parse_headers(&head.headers)?;
        // An unknown bearer key is rejected before the body is read.
        authenticate(&configuration, parsed.bearer)?;
        let body = self.read_body(body).await?;
        let request = CallerRequest::parse(kind, &body)?;
        let query = AdmissionQuery {
            bearer: parsed.bearer,
            target: AdmissionTarget::Model(&request.model),
            rank: parsed.rank,
            idempotent: parsed.idempotent,
        };
        let admission = admit(&configuration, &query)?;
        let key_claim = self.key_claim(&admission, &head.headers)?;
        let keys = prefix_keys(
            &admission.customer,
            &request.model,
            &admission.version,
            &request.prompt,
            admission.piece_bytes,
        );
        let upstream_request = UpstreamRequest {
            method: "POST".to_owned(),
            path: kind.path().to_owned(),
            headers: vec![("content-type".to_owned(), "application/json".to_owned())],
            body: request.upstream_body(),
            output_tokens: request.output_limit().unwrap_or(0),
            fingerprint: Fingerprint::of(&admission.customer, "POST", kind.path(), &body),
        };
        let chooser = self.chooser(UpstreamScope::Model(request.model.clone()), keys);
        let continuable = request.choices == 1;
        let runner = self.runner(
            configuration,
            admission,
            chooser,
            upstream_request,
            continuable,
        );
        let id = runner.id();
        let runner = runner.with_key_claim(key_claim);
        Ok(with_id(id, model_response(runner, request).await))
    }

    async fn respond_plain(
        self,
        service: &str,
        rest: &str,
        head: Parts,
        body: Incoming,
    ) -> HandlerResult {
        let configuration = self.configuration().await;
        let parsed = parse_headers(&head.headers)?;
        let query = AdmissionQuery {
            bearer: parsed.bearer,
            target: AdmissionTarget::Service(service, head.method.as_str()),
            rank: parsed.rank,
            idempotent: parsed.idempotent,
        };
        let admission = admit(&configuration, &query)?;
        let key_claim = self.key_claim(&admission, &head.headers)?;
        let body = self.read_body(body).await?;
        let query = head
            .uri
            .query()
            .map_or_else(String::new, |query| format!("?{query}"));
        let path = format!("/{rest}{query}");
        let request = UpstreamRequest {
            method: head.method.as_str().to_owned(),
            fingerprint: Fingerprint::of(&admission.customer, head.method.as_str(), &path, &body),
            path,
            headers: forwarded_headers(&head.headers),
            body,
            output_tokens: 0,
        };
        let chooser = self.chooser(UpstreamScope::Service(service.to_owned()), Vec::new());
        let runner = self.runner(configuration, admission, chooser, request, false);
        let id = runner.id();
        Ok(with_id(
            id,
            plain_response(runner.with_key_claim(key_claim)).await,
        ))
    }

    fn key_claim(
        &self,
        admission: &Admission,
        headers: &HeaderMap,
    ) -> Result<Option<KeyClaim>, Rejection> {
        match parse_key(headers) {
            ParsedKey::Absent => Ok(None),
            ParsedKey::Valid(key, expires_s) => {
                let directory = self.directory.clone();
                Ok(Some(KeyClaim::new(
                    directory,
                    &admission.customer,
                    &key,
                    expires_s,
                )))
            }
            ParsedKey::Expired => Err(Rejection::Expired),
            ParsedKey::Malformed(message) => Err(invalid_value(message)),
        }
    }

    async fn configuration(&self) -> Arc<Configuration> {
        let message = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
        self.directory
            .ask(CONFIG, message)
            .await
            .unwrap_or_default()
    }

    fn chooser(&self, scope: UpstreamScope, keys: Vec<PrefixKey>) -> UpstreamChooser {
        UpstreamChooser {
            directory: self.directory.clone(),
            policy: self.settings.policy,
            scope,
            keys,
            random: rand::random(),
            choices: std::collections::VecDeque::new(),
        }
    }

    fn runner(
        &self,
        configuration: Arc<Configuration>,
        admission: Admission,
        chooser: UpstreamChooser,
        request: UpstreamRequest,
        continuable: bool,
    ) -> RequestRunner {
        let timeout = Duration::from_millis(u64::from(admission.start_timeout_ms));
        let policy = RequestPolicy {
            repeatability: admission.repeatability,
            continuable,
            start_by: self.directory.now().after(timeout),
            max_submissions: self.settings.max_attempts,
        };
        let directory = self.directory.clone();
        RequestRunner::new(
            directory,
            configuration,
            admission,
            chooser,
            request,
            policy,
        )
    }

    async fn read_body(&self, body: Incoming) -> Result<Vec<u8>, Rejection> {
        let limit = self.settings.body_limit_bytes;
        let too_large = || {
            let message = format!("the body is longer than {limit} bytes");
            Rejection::CallerError(CallerError::BodyTooLarge, message)
        };
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(_)) => Err(invalid_value("the body was cut")),
            Err(_elapsed) => {
                let message = "the body did not arrive in time".to_owned();
                Err(Rejection::CallerError(CallerError::BodyTimeout, message))
            }
        }
    }
}

/// Adds the header with the identifier under which operators find the report on the request.
fn with_id(id: u64, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    if let Ok(value) = HeaderValue::from_str(&request_id(id)) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn parse_headers(headers: &HeaderMap) -> Result<RequestHeaders, Rejection> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let rank = match text(RANK_HEADER) {
        None => None,
        Some(name) => {
            Some(Rank::parse(name).ok_or_else(|| invalid_value("x-rank is urgent or routine"))?)
        }
    };
    let idempotent = match text(IDEMPOTENT_HEADER) {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(_) => return Err(invalid_value("x-idempotent is true or false")),
    };
    Ok(RequestHeaders {
        bearer: bearer_hash(headers),
        rank,
        idempotent,
    })
}

fn bearer_hash(headers: &HeaderMap) -> Option<BearerHash> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let key = value.strip_prefix("Bearer ")?;
    Some(*blake3::hash(key.as_bytes()).as_bytes())
}
