//! Connections to other instances, dialled on need.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::client::Config;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform::http_connection::set_tcp_options;
use crate::wire::peer_rpc::{PeerNews, PeerRpcClient};
use crate::wire::transport;

/// Longest time for a dial and for an exchange; instances are a few milliseconds apart.
const EXCHANGE_LIMIT: Duration = Duration::from_millis(400);

/// A connection to another instance.
#[derive(Debug)]
pub struct PeerLink {
    /// Its address.
    pub address: SocketAddr,
    client: Option<PeerRpcClient>,
}

impl PeerLink {
    /// Creates a link that is not connected yet.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
        }
    }

    /// Exchanges news; `None` when the other instance did not answer in time.
    pub async fn exchange(&mut self, news: PeerNews) -> Option<PeerNews> {
        // Taken out for the call, so that a failed one closes the connection.
        let client = match self.client.take() {
            Some(client) => client,
            None => timeout(EXCHANGE_LIMIT, connect(self.address))
                .await
                .ok()??,
        };
        let mut call = context::current();
        call.deadline = Instant::now() + EXCHANGE_LIMIT;
        let answer = client.exchange(call, news).await.ok()?;
        self.client = Some(client);
        Some(answer)
    }
}

async fn connect(address: SocketAddr) -> Option<PeerRpcClient> {
    let stream = TcpStream::connect(address).await.ok()?;
    set_tcp_options(&stream);
    let transport = transport::framed(stream);
    Some(PeerRpcClient::new(Config::default(), transport).spawn())
}
