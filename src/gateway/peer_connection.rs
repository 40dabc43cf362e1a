//! Connections to other gateway instances, established on demand.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tarpc::client::Config;
use tarpc::context;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::platform::http_connection::set_tcp_options;
use crate::wire::peer_rpc::{GossipMessage, PeerRpcClient};
use crate::wire::transport;

/// Timeout of a connection attempt and of an exchange; instances are a few milliseconds apart.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(400);

/// Connection to another instance.
#[derive(Debug)]
pub struct PeerConnection {
    /// Address of the instance.
    pub address: SocketAddr,
    client: Option<PeerRpcClient>,
}

impl PeerConnection {
    /// Creates a connection that is established by the first exchange.
    #[must_use]
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: None,
        }
    }

    /// Exchanges gossip messages; `None` if the other instance cannot be reached or does not
    /// respond in time.
    pub async fn exchange(&mut self, gossip: GossipMessage) -> Option<GossipMessage> {
        // The client is put back only after a success, so a failed exchange closes the
        // connection.
        let client = match self.client.take() {
            Some(client) => client,
            None => timeout(EXCHANGE_TIMEOUT, connect(self.address))
                .await
                .ok()??,
        };
        let mut call = context::current();
        call.deadline = Instant::now() + EXCHANGE_TIMEOUT;
        let response = client.exchange(call, gossip).await.ok()?;
        self.client = Some(client);
        Some(response)
    }
}

/// Connects to another instance; `None` if the connection attempt fails.
async fn connect(address: SocketAddr) -> Option<PeerRpcClient> {
    let stream = TcpStream::connect(address).await.ok()?;
    set_tcp_options(&stream);
    let transport = transport::framed(stream);
    Some(PeerRpcClient::new(Config::default(), transport).spawn())
}
