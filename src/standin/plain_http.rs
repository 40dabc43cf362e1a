//! HTTP API of the simulated plain service.

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde_json::json;

use super::http_call::{
    BufferedRequest, StandinDirectory, done_response, dump_response, error_response,
};
use super::mail::StandinMail;
use super::notice;
use super::plain::{PlainMail, PlainOutcome};
use crate::platform::http_server::{
    RequestHandler, ResponseBody, close_connection_response, json_response,
};

/// Creates the HTTP request handler of a plain service.
#[must_use]
pub fn plain_handler(directory: StandinDirectory, name: String) -> RequestHandler {
    RequestHandler::new(move |request| {
        let directory = directory.clone();
        let name = name.clone();
        async move {
            let response = handle(&directory, &name, request).await;
            response.unwrap_or_else(close_connection_response)
        }
    })
}

async fn handle(
    directory: &StandinDirectory,
    name: &str,
    request: Request<Incoming>,
) -> Option<Response<ResponseBody>> {
    let request = match BufferedRequest::read(request).await {
        Ok(request) => request,
        Err(error) => return Some(error.into()),
    };
    if let Some(response) = notice::handle_admin(directory, &request).await {
        return Some(response);
    }
    let (method, path) = request.route();
    match (method, path.as_slice()) {
        ("GET", ["admin", "dump"]) => Some(dump_response(directory).await),
        ("POST", ["admin", "fail"]) => {
            let count = request.number("next", 1);
            let mail = |reply| StandinMail::Plain(PlainMail::Fail(count, reply));
            directory.ask("plain", mail).await?;
            Some(done_response())
        }
        ("POST", ["admin", "silence"]) => {
            let mail = |reply| StandinMail::Plain(PlainMail::Silence(reply));
            directory.ask("plain", mail).await?;
            Some(done_response())
        }
        ("GET", ["admin", "runs"]) => {
            let mail = |reply| StandinMail::Plain(PlainMail::Runs(reply));
            let runs = directory.ask("plain", mail).await?;
            Some(json_response(StatusCode::OK, &json!({ "runs": runs })))
        }
        _ => {
            let notice = notice::arrive(directory).await?;
            if let Some(rejection) = notice.rejection() {
                return Some(rejection);
            }
            let response = run(directory, name, &request).await?;
            Some(notice.mark(response))
        }
    }
}

async fn run(
    directory: &StandinDirectory,
    name: &str,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let id = request.header("x-request-id").map(str::to_owned);
    let mail = |reply| StandinMail::Plain(PlainMail::Run(id, reply));
    let outcome = directory.ask("plain", mail).await?;
    let PlainOutcome::Ran(count) = outcome else {
        let failure = error_response(StatusCode::INTERNAL_SERVER_ERROR, "failed_on_demand");
        return Some(failure);
    };
    let echo = json!({
        "method": request.method.as_str(),
        "path": request.path,
        "query": request.query,
        "body": String::from_utf8_lossy(&request.body),
    });
    let json_body = json!({ "service": name, "count": count, "echo": echo });
    Some(json_response(StatusCode::OK, &json_body))
}
