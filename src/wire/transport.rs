//! Framing of the connections between the system's own processes.

use futures::{Stream, StreamExt};
use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{Transport, new};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio::net::TcpStream;

use super::rpc::MAX_FRAME_BYTES;

/// A framed connection that receives `Item` and sends `SinkItem`.
pub type RpcTransport<Item, SinkItem> =
    Transport<TcpStream, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Frames a connection: length-delimited messages in bincode.
#[must_use]
pub fn framed<Item, SinkItem>(stream: TcpStream) -> RpcTransport<Item, SinkItem>
where
    Item: for<'de> Deserialize<'de>,
    SinkItem: Serialize,
{
    // Small frames must not wait for acknowledgements; a failure only costs latency.
    drop(stream.set_nodelay(true));
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    new(Framed::new(stream, codec), Bincode::default())
}

/// Runs the calls of a connection, each in a task of its own, until it is closed.
pub async fn run_calls<F: Future<Output = ()> + Send + 'static>(calls: impl Stream<Item = F>) {
    calls
        .for_each(|call| async {
            tokio::spawn(call);
        })
        .await;
}
