//! Framing of the RPC connections between entries, sidecars and instances.

use std::time::Duration;

use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{Transport, new};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;

use super::frame_timeout::FrameTimeout;
use super::rpc::MAX_FRAME_BYTES;
use super::write_timeout::WriteTimeout;

/// Time limit for a frame to arrive completely, and for a write without a byte taken by the peer;
/// the calls themselves have shorter ones.
const FRAME_TIMEOUT: Duration = Duration::from_secs(5);

/// TCP connection with time limits for frames.
pub type FrameStream = FrameTimeout<WriteTimeout<TcpStream>>;

/// RPC connection that receives messages of type `Item` and sends messages of type `SinkItem`.
pub type RpcTransport<Item, SinkItem> =
    Transport<FrameStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Wraps a TCP connection in a transport of length-delimited bincode messages.
#[must_use]
pub fn framed<Item, SinkItem>(stream: TcpStream) -> RpcTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    // Without TCP_NODELAY small frames would wait for acknowledgements. If it cannot be set, only
    // latency suffers.
    drop(stream.set_nodelay(true));
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let stream = WriteTimeout::new(stream, FRAME_TIMEOUT);
    let stream = FrameTimeout::new(stream, FRAME_TIMEOUT);
    new(Framed::new(stream, codec), Bincode::default())
}

/// Runs each incoming call of a connection in a task of its own, until the connection is closed.
pub async fn run_calls<F: Future<Output = ()> + Send + 'static>(calls: impl Stream<Item = F>) {
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}
