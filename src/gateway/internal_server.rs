//! HTTP server loop for internal clients: metrics collectors and balancers.

use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::mail::GatewayMail;
use crate::kernel::{Inbox, Signal};
use crate::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, WRITE_TIMEOUT_MS,
    serve,
};

/// Most connections that one internal port serves at the same time.
const MAX_CONNECTIONS: usize = 16;

/// Serves `listener` until the task is told to stop.
///
/// Connections that are open at the stop are served until the process ends.
pub async fn serve_until_stop(
    listener: TcpListener,
    handler: RequestHandler,
    inbox: &mut Inbox<GatewayMail>,
) {
    let limits = ServerLimits {
        header_timeout_ms: HEADER_TIMEOUT_MS,
        write_timeout_ms: WRITE_TIMEOUT_MS,
        max_connections: MAX_CONNECTIONS,
        when_full: FullPolicy::Queue,
        buffer_bytes: BUFFER_BYTES,
        leave_ms: 0,
        drain_ms: 0,
    };
    // The stop signal of the server is not used: the loop below drops the server instead.
    let (_running, never_stopped) = oneshot::channel();
    let serving = serve(listener, handler, limits, never_stopped);
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
