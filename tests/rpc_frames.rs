//! RPC connections between our own processes whose peer stops or dawdles in the middle of a frame.

mod gateway_world;

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::wire::transport::framed;
use futures::{SinkExt, StreamExt};
use gateway_world::TestEnvironment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{interval, timeout};

/// Time within which a connection with a late frame must be closed.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a connection may be idle between two frames.
const IDLE_TIME: Duration = Duration::from_secs(8);

/// Message that the kernel's buffers of a connection do not hold, in bytes.
const LARGE_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Begun frames: a part of the length field, and a length of 1 MiB with two bytes of the frame.
const BEGUN_FRAMES: [&[u8]; 2] = [&[0, 0], &[0, 16, 0, 0, 1, 2]];

/// Returns both ends of a new connection.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (near, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (near.expect("a connection"), accepted.expect("a peer").0)
}

/// Sends one byte of a frame after the other until the connection is closed.
async fn drip(mut stream: TcpStream) {
    let mut pace = interval(Duration::from_millis(200));
    while stream.write_all(&[1]).await.is_ok() {
        pace.tick().await;
    }
}

#[tokio::test]
async fn a_frame_that_does_not_end_is_a_failure() {
    let checks = BEGUN_FRAMES
        .into_iter()
        .flat_map(|begun| [(begun, false), (begun, true)])
        .map(|(begun, is_dripping)| async move {
            let (near, mut peer) = connection().await;
            peer.write_all(begun).await.expect("a begun frame");
            let mut held = None;
            if is_dripping {
                tokio::spawn(drip(peer));
            } else {
                held = Some(peer);
            }
            let mut transport = framed::<Vec<u8>, Vec<u8>>(near);
            let received = timeout(CLOSE_LIMIT, transport.next()).await;
            let has_failed = matches!(received, Ok(Some(Err(_))));
            assert!(has_failed, "{begun:?}, {is_dripping}: {received:?}");
            drop(held);
        });
    futures::future::join_all(checks).await;
}

#[tokio::test]
async fn a_peer_that_does_not_read_a_message_is_a_failure() {
    let (near, _peer) = connection().await;
    let mut transport = framed::<Vec<u8>, Vec<u8>>(near);
    let sending = transport.send(vec![0; LARGE_MESSAGE_BYTES]);
    let sent = timeout(CLOSE_LIMIT, sending).await;
    assert!(matches!(sent, Ok(Err(_))), "{sent:?}");
}

#[tokio::test]
async fn an_idle_connection_stays_open_between_frames() {
    let (near, peer) = connection().await;
    let mut transport = framed::<Vec<u8>, Vec<u8>>(near);
    let mut sender = framed::<Vec<u8>, Vec<u8>>(peer);
    for message in [vec![1], vec![2; 100_000], vec![3; 3]] {
        let idle = timeout(IDLE_TIME, transport.next()).await;
        assert!(idle.is_err(), "{idle:?}");
        sender.send(message.clone()).await.expect("a sent message");
        let received = transport.next().await.expect("an open connection");
        assert_eq!(received.expect("a message"), message);
    }
}

/// Returns whether the connection to an address is closed in time after a begun frame.
async fn is_closed_after(address: SocketAddr, begun: &[u8]) -> bool {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(begun).await.expect("a begun frame");
    let mut end = [0];
    matches!(
        timeout(CLOSE_LIMIT, stream.read(&mut end)).await,
        Ok(Ok(0) | Err(_))
    )
}

#[tokio::test]
async fn a_gateway_closes_connections_of_instances_that_stop_in_a_frame() {
    let world = TestEnvironment::start();
    let gateway = world.gateway("g");
    let address = gateway.process.port("peers");
    let checks = BEGUN_FRAMES.map(|begun| is_closed_after(address, begun));
    let closed = futures::future::join_all(checks).await;
    assert_eq!(closed, [true; 2]);
}

#[tokio::test]
async fn a_gateway_closes_connections_with_junk_without_end() {
    let world = TestEnvironment::start();
    let gateway = world.gateway("g");
    let address = gateway.process.port("peers");
    // Lengths beyond the maximum, empty frames, and frames that are no messages.
    let junk: [&[u8]; 3] = [&[255], &[0], &[0, 0, 0, 4, 255, 255, 255, 255]];
    for repeated in junk {
        let mut stream = TcpStream::connect(address).await.expect("a connection");
        let block = repeated.repeat(1_024);
        let sending = async { while stream.write_all(&block).await.is_ok() {} };
        let closed = timeout(CLOSE_LIMIT, sending).await;
        assert!(closed.is_ok(), "{repeated:?}: not closed");
    }
}
