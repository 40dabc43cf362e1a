//! Connections to other gateway instances, established on demand.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use quick_error::quick_error;
use tarpc::client::{Config, RpcError};
use tarpc::context::{self, Context};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::events::{NEWS_REJECTED, log_event};
use crate::platform::http_connection::set_tcp_options;
use crate::wire::origin_news::{WireStreamKey, WireStreamOrigin};
use crate::wire::pace_news::WirePace;
use crate::wire::peer_rpc::{
    GossipMessage, PeerRpcClient, WireLoadCall, WireSegmentNews, WireUpstreamLimit,
};
use crate::wire::records_call::{WireRecordsCall, WireRecordsReply};
use crate::wire::site_digest::WireDigestCall;
use crate::wire::suspect_news::WireSuspectNews;
use crate::wire::transport;
use crate::wire::use_news::WireUseCall;

/// Timeout of a connection attempt and of an exchange; instances are a few milliseconds apart.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a call for a page of records. Even a link that is shared with many callers' requests
/// carries a page in this time.
const PAGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which no news is sent to an instance that did not accept some. Instances of an
/// older build close the connection on it, which costs the next exchange a new one.
const NEWS_PAUSE: Duration = Duration::from_secs(5);

quick_error! {
    /// Error of an exchange with another instance.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection was made.
        Dial(error: std::io::Error) {
            display("cannot connect: {}", error)
            source(error)
            from()
        }
        /// The call got no response in time, or the connection broke.
        Call(error: RpcError) {
            display("call failed: {}", error)
            source(error)
            from()
        }
    }
}

impl ExchangeError {
    /// Returns the name for metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Dial(_) => "unreachable",
            Self::Call(RpcError::DeadlineExceeded) => "late",
            Self::Call(_) => "broken",
        }
    }
}

/// Connection to another instance.
#[derive(Debug)]
pub struct PeerConnection {
    /// Address of the instance.
    pub address: SocketAddr,
    client: Option<PeerRpcClient>,
    /// Time until which the instance gets no news.
    news_from: Instant,
}

impl PeerConnection {
    /// Creates a connection that is established by the first exchange.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
            news_from: Instant::now(),
        }
    }

    /// Exchanges gossip messages.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] when the other instance cannot be reached or does not respond in
    /// time; the connection is then closed.
    pub async fn exchange(
        &mut self,
        gossip: GossipMessage,
    ) -> Result<GossipMessage, ExchangeError> {
        // The client is put back only after a success, so a failed exchange closes the
        // connection.
        let client = match self.client.take() {
            Some(client) => client,
            None => connect(self.address).await?,
        };
        let mut call = context::current();
        call.deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let response = client.exchange(call, gossip).await?;
        self.client = Some(client);
        Ok(response)
    }

    /// Reads a page of store records.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError`] when the other instance cannot be reached or does not respond in
    /// time; the connection is then closed.
    pub async fn read_records(
        &mut self,
        call: WireRecordsCall,
    ) -> Result<WireRecordsReply, ExchangeError> {
        let client = match self.client.take() {
            Some(client) => client,
            None => connect(self.address).await?,
        };
        let mut context = context::current();
        context.deadline = Instant::now() + PAGE_TIMEOUT;
        let reply = client.read_records(context, call).await?;
        self.client = Some(client);
        Ok(reply)
    }

    /// Sends news of segments on the connection of a successful exchange.
    pub async fn report_segments(&mut self, news: Vec<WireSegmentNews>) {
        if news.is_empty() {
            return;
        }
        let report = async |client: &PeerRpcClient, call| client.report_segments(call, news).await;
        let _is_accepted = self.report(report).await;
    }

    /// Sends news of requests that crash upstreams on the connection of a successful exchange.
    pub async fn report_suspects(&mut self, news: Vec<WireSuspectNews>) {
        if news.is_empty() {
            return;
        }
        let report = async |client: &PeerRpcClient, call| client.report_suspects(call, news).await;
        let _is_accepted = self.report(report).await;
    }

    /// Sends news of the limits of upstreams on the connection of a successful exchange.
    pub async fn report_limits(&mut self, limits: Vec<WireUpstreamLimit>) {
        if limits.is_empty() {
            return;
        }
        let report = async |client: &PeerRpcClient, call| client.report_limits(call, limits).await;
        let _is_accepted = self.report(report).await;
    }

    /// Sends news of the paces of upstreams on the connection of a successful exchange.
    pub async fn report_paces(&mut self, paces: Vec<WirePace>) {
        if paces.is_empty() {
            return;
        }
        let report = async |client: &PeerRpcClient, call| client.report_paces(call, paces).await;
        let _is_accepted = self.report(report).await;
    }

    /// Sends the origins of recent streams on the connection of a successful exchange.
    pub async fn report_origins(&mut self, origins: Vec<WireStreamOrigin>) {
        if origins.is_empty() {
            return;
        }
        let report =
            async |client: &PeerRpcClient, call| client.report_origins(call, origins).await;
        let _is_accepted = self.report(report).await;
    }

    /// Exchanges digests of data centres on the connection of a successful exchange; `None` if the
    /// other instance did not accept them.
    pub async fn exchange_digests(&mut self, digests: WireDigestCall) -> Option<WireDigestCall> {
        let exchange =
            async |client: &PeerRpcClient, call| client.exchange_digests(call, digests).await;
        self.report(exchange).await
    }

    /// Exchanges loads with an instance of the same data centre; `None` if that failed or no connection
    /// is open.
    pub async fn exchange_loads(&mut self, loads: WireLoadCall) -> Option<WireLoadCall> {
        let exchange =
            async |client: &PeerRpcClient, call| client.exchange_loads(call, loads).await;
        self.report(exchange).await
    }

    /// Exchanges reports of customers' use; `None` if that failed or the other instance has none.
    pub async fn exchange_uses(&mut self, uses: WireUseCall) -> Option<WireUseCall> {
        let exchange = async |client: &PeerRpcClient, call| client.exchange_uses(call, uses).await;
        self.report(exchange).await.flatten()
    }

    /// Makes a call that instances of older builds do not accept.
    async fn report<T>(
        &mut self,
        send: impl AsyncFnOnce(&PeerRpcClient, Context) -> Result<T, RpcError>,
    ) -> Option<T> {
        let now = Instant::now();
        if now < self.news_from {
            return None;
        }
        let client = self.client.take()?;
        let mut call = context::current();
        call.deadline = now + EXCHANGE_TIMEOUT;
        match send(&client, call).await {
            Ok(reply) => {
                self.client = Some(client);
                Some(reply)
            }
            Err(error) => {
                self.news_from = now + NEWS_PAUSE;
                log_event(
                    &NEWS_REJECTED,
                    &[("peer", &self.address), ("reason", &error)],
                );
                None
            }
        }
    }
}

/// Asks an instance for the origins of streams, on the given connection if it is still open. Returns the
/// connection for later calls.
///
/// # Errors
///
/// Returns [`ExchangeError`] when the other instance cannot be reached, does not respond in time or is of a
/// build that has no such call; the connection is then closed.
pub async fn find_origins(
    client: Option<PeerRpcClient>,
    address: SocketAddr,
    streams: Vec<WireStreamKey>,
) -> Result<(PeerRpcClient, Vec<WireStreamOrigin>), ExchangeError> {
    let mut call = context::current();
    call.deadline = Instant::now() + EXCHANGE_TIMEOUT;
    // The other instance may have closed the connection since the last call.
    if let Some(client) = client
        && let Ok(found) = client.find_origins(call, streams.clone()).await
    {
        return Ok((client, found));
    }
    let client = connect(address).await?;
    let found = client.find_origins(call, streams).await?;
    Ok((client, found))
}

/// Connects to another instance.
async fn connect(address: SocketAddr) -> std::io::Result<PeerRpcClient> {
    let connected = timeout(EXCHANGE_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_elapsed| Err(ErrorKind::TimedOut.into()))?;
    set_tcp_options(&stream);
    let transport = transport::framed(stream);
    Ok(PeerRpcClient::new(Config::default(), transport).spawn())
}
