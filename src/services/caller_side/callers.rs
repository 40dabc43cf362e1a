//! I/O task `callers` of an entry: the port of the callers and the routes on it.

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

use super::caller_answer::{fault_response, model_answer};
use super::journal::request_id;
use super::key_claim::{KeyClaim, StatedKey, stated_key};
use super::plain_answer::plain_answer;
use super::request_runner::{RequestRunner, UpstreamRequest};
use super::turned_away::{Answered, TurnedAway, invalid, or_error};
use super::upstream_choice::{UpstreamChooser, UpstreamScope};
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

/// Time within which a caller must have sent its body.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Header that states the rank.
const RANK_HEADER: &str = "x-rank";

/// Header that states whether the request may run more than once.
const IDEMPOTENT_HEADER: &str = "x-idempotent";

/// Bounds of the callers' port.
#[derive(Debug, Clone, Copy)]
pub struct CallerSettings {
    /// Bounds of the server.
    pub limits: ServerLimits,
    /// Longest request body, in bytes.
    pub body_limit_bytes: usize,
    /// Submissions of one request, the first included.
    pub max_attempts: u32,
    /// How requests are placed.
    pub policy: PlacementPolicy,
}

/// Creates the I/O task `callers`, which serves the listener.
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
        async move { exchange.answer(request).await }
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
        directory.deliver(operator::NAME, leaving).await;
        // The server ends once its open exchanges have.
        drop(server.await);
    }
}

/// One request of a caller.
#[derive(Debug)]
struct CallerExchange {
    directory: Directory<Mail>,
    settings: CallerSettings,
}

/// What the headers of a request state.
struct StatedHeaders {
    bearer: Option<BearerHash>,
    rank: Option<Rank>,
    idempotent: Option<bool>,
}

impl CallerExchange {
    async fn answer(self, request: Request<Incoming>) -> Response<ResponseBody> {
        let (head, body) = request.into_parts();
        let path = head.uri.path().to_owned();
        if let Some(kind) = ApiKind::parse(&path) {
            if head.method != Method::POST {
                return fault_response(CallerError::MethodNotAllowed, "use POST");
            }
            return or_error(self.answer_model(kind, head, body).await);
        }
        if let Some(rest) = path.strip_prefix("/services/") {
            let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
            return or_error(self.answer_plain(name, rest, head, body).await);
        }
        match (path.as_str(), &head.method) {
            ("/v1/models", &Method::GET) => or_error(self.answer_models(&head.headers).await),
            ("/v1/models", _) => fault_response(CallerError::MethodNotAllowed, "use GET"),
            _ => fault_response(CallerError::UnknownPath, "no such path"),
        }
    }

    async fn answer_models(&self, headers: &HeaderMap) -> Answered {
        let configuration = self.configuration().await;
        authenticate(&configuration, bearer_hash(headers))?;
        let list = ModelList::from(&*configuration);
        let value = serde_json::to_value(list).unwrap_or_default();
        Ok(json_response(StatusCode::OK, &value))
    }

    async fn answer_model(self, kind: ApiKind, head: Parts, body: Incoming) -> Answered {
        let configuration = self.configuration().await;
        let stated = stated_headers(&head.headers)?;
        // Strangers are turned away before their body is read.
        authenticate(&configuration, stated.bearer)?;
        let body = self.read_body(body).await?;
        let request = CallerRequest::parse(kind, &body)?;
        let query = AdmissionQuery {
            bearer: stated.bearer,
            target: AdmissionTarget::Model(&request.model),
            rank: stated.rank,
            idempotent: stated.idempotent,
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
        let runner = runner.with_key(key_claim);
        Ok(with_id(id, model_answer(runner, request).await))
    }

    async fn answer_plain(
        self,
        service: &str,
        rest: &str,
        head: Parts,
        body: Incoming,
    ) -> Answered {
        let configuration = self.configuration().await;
        let stated = stated_headers(&head.headers)?;
        let query = AdmissionQuery {
            bearer: stated.bearer,
            target: AdmissionTarget::Service(service, head.method.as_str()),
            rank: stated.rank,
            idempotent: stated.idempotent,
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
        Ok(with_id(id, plain_answer(runner.with_key(key_claim)).await))
    }

    fn key_claim(
        &self,
        admission: &Admission,
        headers: &HeaderMap,
    ) -> Result<Option<KeyClaim>, TurnedAway> {
        match stated_key(headers) {
            StatedKey::Absent => Ok(None),
            StatedKey::Valid(key, expires_s) => {
                let directory = self.directory.clone();
                Ok(Some(KeyClaim::new(
                    directory,
                    &admission.customer,
                    &key,
                    expires_s,
                )))
            }
            StatedKey::Expired => Err(TurnedAway::Expired),
            StatedKey::Malformed(message) => Err(invalid(message)),
        }
    }

    async fn configuration(&self) -> Arc<Configuration> {
        let question = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
        self.directory
            .ask(CONFIG, question)
            .await
            .unwrap_or_default()
    }

    fn chooser(&self, scope: UpstreamScope, keys: Vec<PrefixKey>) -> UpstreamChooser {
        UpstreamChooser {
            directory: self.directory.clone(),
            policy: self.settings.policy,
            scope,
            keys,
            draw: rand::random(),
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

    async fn read_body(&self, body: Incoming) -> Result<Vec<u8>, TurnedAway> {
        let limit = self.settings.body_limit_bytes;
        let too_large = || {
            let message = format!("the body is longer than {limit} bytes");
            TurnedAway::Fault(CallerError::BodyTooLarge, message)
        };
        if body.size_hint().lower() > limit as u64 {
            return Err(too_large());
        }
        match timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes().to_vec()),
            Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large()),
            Ok(Err(_)) => Err(invalid("the body was cut")),
            Err(_elapsed) => {
                let message = "the body did not arrive in time".to_owned();
                Err(TurnedAway::Fault(CallerError::BodyTimeout, message))
            }
        }
    }
}

/// Adds the header under whose value operators find what was decided for the request.
fn with_id(id: u64, mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    if let Ok(value) = HeaderValue::from_str(&request_id(id)) {
        response.headers_mut().insert("x-request-id", value);
    }
    response
}

fn stated_headers(headers: &HeaderMap) -> Result<StatedHeaders, TurnedAway> {
    let text = |name: &str| headers.get(name)?.to_str().ok();
    let rank = match text(RANK_HEADER) {
        None => None,
        Some(name) => {
            Some(Rank::parse(name).ok_or_else(|| invalid("x-rank is urgent or routine"))?)
        }
    };
    let idempotent = match text(IDEMPOTENT_HEADER) {
        None => None,
        Some("true") => Some(true),
        Some("false") => Some(false),
        Some(_) => return Err(invalid("x-idempotent is true or false")),
    };
    Ok(StatedHeaders {
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
