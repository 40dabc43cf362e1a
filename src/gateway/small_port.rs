//! A port for a few collectors or balancers, open until the process is told to stop.

use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::mail::GatewayMail;
use crate::kernel::{Inbox, Signal};
use crate::platform::http_server::{HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, serve};

/// Connections served at the same time.
const MAX_CONNECTIONS: usize = 16;

/// Serves the port until the stop; connections that are open then end with the process.
pub async fn serve_until_stop(
    listener: TcpListener,
    handler: RequestHandler,
    inbox: &mut Inbox<GatewayMail>,
) {
    let limits = ServerLimits {
        header_timeout_ms: HEADER_TIMEOUT_MS,
        max_connections: MAX_CONNECTIONS,
        leave_ms: 0,
        drain_ms: 0,
    };
    // The server itself is never asked to leave.
    let (_running, stopped) = oneshot::channel();
    let serving = serve(listener, handler, limits, stopped);
    tokio::pin!(serving);
    loop {
        tokio::select! {
            () = &mut serving => return,
            signal = inbox.receive() => match signal {
                Some(Signal::Stop) | None => return,
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::json!({})),
                Some(_) => {}
            },
        }
    }
}
