//! Command `dump`: prints the internal state of a process as JSON.

use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use serde_json::Value;

use super::exit::ExitStatus;
use crate::platform::http_client::{call, request};

/// Time limit for a dump.
const DUMP_TIMEOUT: Duration = Duration::from_secs(10);

/// Prints the state of a process as JSON.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "dump")]
pub struct DumpArgs {
    /// IP address and port of the process's operator port
    #[argh(option)]
    pub operator: SocketAddr,
    /// bearer token of the operator port
    #[argh(option)]
    pub operator_token: Option<String>,
}

/// Runs the command `dump`.
pub async fn run(args: &DumpArgs) -> ExitStatus {
    let mut builder = request(Method::GET, args.operator, "/dump");
    if let Some(token) = &args.operator_token {
        builder = builder.header("authorization", format!("Bearer {token}"));
    }
    let request = match builder.body(Full::new(Bytes::new())) {
        Ok(request) => request,
        Err(error) => {
            eprintln!("the operator token is not a valid header value: {error}");
            return ExitStatus::BadInput;
        }
    };
    let response = match call(args.operator, request, DUMP_TIMEOUT).await {
        Ok(response) => response,
        Err(error) => {
            eprintln!("{}: {error}", args.operator);
            return ExitStatus::Unavailable;
        }
    };
    let body = String::from_utf8_lossy(&response.body).into_owned();
    if !response.status.is_success() {
        eprintln!("{}: {body}", response.status);
        return ExitStatus::Refused;
    }
    match serde_json::from_str::<Value>(&body) {
        Ok(state) => println!("{state:#}"),
        Err(_) => println!("{body}"),
    }
    ExitStatus::Done
}
