//! Engines that record the orders that they get and refuse them, and the rule that orders keep.

#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Report of an engine that runs version 1 of the model `m` and has accepted no order.
const REPORT: &str = r#"{"models":[{"name":"m","version":1}],"busy":false,"sequence":0}"#;

/// Order as received by an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenOrder {
    /// Index of the engine.
    pub engine: usize,
    /// Name of the holder.
    pub holder: String,
    /// Fencing token.
    pub fence: u64,
    /// When the order had arrived.
    pub at: Instant,
}

#[derive(Deserialize)]
struct WireOrder {
    version: u64,
    holder: String,
    fence: u64,
}

/// Engines that record their orders.
#[derive(Debug)]
pub struct OrderWatch {
    /// Addresses of the engines.
    pub addresses: Vec<SocketAddr>,
    log: OrderLog,
}

/// What engines have been ordered.
#[derive(Debug, Clone, Default)]
struct OrderLog {
    orders: watch::Sender<Vec<SeenOrder>>,
    /// Highest version of weights that was ordered.
    newest_version: watch::Sender<u64>,
}

impl OrderWatch {
    /// Starts this many engines.
    pub async fn start(engines: usize) -> Self {
        let log = OrderLog::default();
        let mut addresses = Vec::new();
        for engine in 0..engines {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addresses.push(listener.local_addr().expect("an address"));
            tokio::spawn(serve(listener, engine, log.clone()));
        }
        Self { addresses, log }
    }

    /// Returns the orders so far, in the order of their arrival.
    pub fn orders(&self) -> Vec<SeenOrder> {
        self.log.orders.borrow().clone()
    }

    /// Returns the highest version of weights that was ordered so far; 0 if none was.
    pub fn newest_version(&self) -> u64 {
        *self.log.newest_version.borrow()
    }

    /// Returns the number of orders so far from a holder.
    pub fn count(&self, holder: &str) -> usize {
        let orders = self.log.orders.borrow();
        orders.iter().filter(|order| order.holder == holder).count()
    }
}

async fn serve(listener: TcpListener, engine: usize, log: OrderLog) {
    while let Ok((stream, _)) = listener.accept().await {
        let log = log.clone();
        let respond = service_fn(move |request: Request<Incoming>| {
            let log = log.clone();
            async move { Ok::<_, Infallible>(respond(request, engine, &log).await) }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), respond);
        tokio::spawn(async move { drop(connection.await) });
    }
}

async fn respond(
    request: Request<Incoming>,
    engine: usize,
    log: &OrderLog,
) -> Response<Full<Bytes>> {
    if request.uri().path() != "/order" {
        return Response::new(Full::from(REPORT));
    }
    let body = request.into_body().collect().await;
    let body = body.map(http_body_util::Collected::to_bytes);
    if let Ok(order) = serde_json::from_slice::<WireOrder>(&body.unwrap_or_default()) {
        let seen = SeenOrder {
            engine,
            holder: order.holder,
            fence: order.fence,
            at: Instant::now(),
        };
        log.orders.send_modify(|orders| orders.push(seen));
        log.newest_version
            .send_modify(|newest| *newest = order.version.max(*newest));
    }
    let mut refusal = Response::new(Full::default());
    *refusal.status_mut() = hyper::StatusCode::CONFLICT;
    refusal
}

/// Returns what breaks the rule that one holder at a time orders an engine: a fence of two holders, a
/// lower fence after a higher one, and holders that take turns within `min_interval`.
pub fn broken_rules(orders: &[SeenOrder], min_interval: Duration) -> Vec<String> {
    let mut broken = Vec::new();
    for (index, order) in orders.iter().enumerate() {
        let earlier = orders[..index].iter();
        let earlier = earlier.filter(|other| other.engine == order.engine);
        for other in earlier {
            let is_other_holder = other.holder != order.holder;
            let what = if is_other_holder && other.fence == order.fence {
                "one fence of two holders"
            } else if other.fence > order.fence {
                "a lower fence after a higher one"
            } else if is_other_holder && order.at - other.at < min_interval {
                "holders that take turns"
            } else {
                continue;
            };
            broken.push(format!("{what}: {other:?} and {order:?}"));
        }
    }
    broken
}
