//! Loopback proxy of one address that delays, resets, cuts or silences its connections.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Largest part that is relayed at once, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// What befalls connections, open and new ones, while it is set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// All bytes pass.
    None,
    /// All bytes pass so many milliseconds late.
    Delay(u64),
    /// Connections are reset, and new ones too.
    Reset,
    /// Nothing passes and nothing is closed; what was open stays silent for good.
    Silent,
    /// What is sent arrives, and nothing comes back; for good on what was open.
    AnswersLost,
    /// Nothing that is sent arrives; for good on what was open.
    RequestsLost,
    /// Each new connection is answered with 503 and closed, open ones are reset.
    TurnedAway,
}

/// Faults of any link.
pub const LINK_FAULTS: [LinkFault; 6] = [
    LinkFault::Delay(120),
    LinkFault::Reset,
    LinkFault::Silent,
    LinkFault::AnswersLost,
    LinkFault::RequestsLost,
    LinkFault::TurnedAway,
];

/// A running proxy; it ends on drop.
#[derive(Debug)]
pub struct LinkProxy {
    /// Address that it listens on.
    pub address: SocketAddr,
    fault: watch::Sender<LinkFault>,
    _tasks: JoinSet<()>,
}

impl LinkProxy {
    /// Starts a proxy of an address.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (fault, faults) = watch::channel(LinkFault::None);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, faults));
        Self {
            address,
            fault,
            _tasks: tasks,
        }
    }

    /// Sets what befalls connections from now on.
    pub fn set(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: watch::Receiver<LinkFault>) {
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => if let Ok((near, _peer)) = accepted {
                links.spawn(link(near, target, faults.clone()));
            },
            Some(_ended) = links.join_next() => {}
        }
    }
}

async fn link(mut near: TcpStream, target: SocketAddr, faults: watch::Receiver<LinkFault>) {
    let fault = *faults.borrow();
    if fault == LinkFault::Reset {
        return reset(&near);
    }
    if fault == LinkFault::TurnedAway {
        let answer = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\
            connection: close\r\n\r\n";
        let mut part = [0; 4096];
        // A peer that closes first needs no answer.
        if near.read(&mut part).await.is_ok() {
            drop(near.write_all(answer).await);
        }
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    for stream in [&near, &far] {
        stream.set_nodelay(true).expect("an open connection");
    }
    let mut breaks = faults.clone();
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let is_broken = |fault: &LinkFault| matches!(fault, LinkFault::Reset | LinkFault::TurnedAway);
    tokio::select! {
        ((), ()) = async {
            tokio::join!(
                pump(near_read, &far_write, faults.clone(), LinkFault::RequestsLost),
                pump(far_read, &near_write, faults.clone(), LinkFault::AnswersLost),
            )
        } => {}
        broken = breaks.wait_for(is_broken) => if broken.is_ok() {
            reset(near_write.as_ref());
            reset(far_write.as_ref());
        }
    }
}

/// Makes the close of a connection a reset.
fn reset(stream: &TcpStream) {
    // A connection that is closed already needs none.
    drop(SockRef::from(stream).set_linger(Some(Duration::ZERO)));
}

/// Hands bytes on until either end closes; `loses` is the fault that swallows this direction.
async fn pump(
    mut from: OwnedReadHalf,
    to: &OwnedWriteHalf,
    faults: watch::Receiver<LinkFault>,
    loses: LinkFault,
) {
    let mut part = vec![0; PART_BYTES];
    while let Ok(count) = from.read(&mut part).await {
        let fault = *faults.borrow();
        if fault == loses || fault == LinkFault::Silent {
            // Bytes are missing from here on, so nothing may pass any more.
            std::future::pending::<()>().await;
        }
        if let LinkFault::Delay(ms) = fault {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
        if count == 0 {
            break;
        }
        if write_all(to, &part[..count]).await.is_err() {
            break;
        }
    }
    // A half that was closed tells the other end, which then closes too.
    drop(SockRef::from(to.as_ref()).shutdown(std::net::Shutdown::Write));
}

async fn write_all(to: &OwnedWriteHalf, mut part: &[u8]) -> std::io::Result<()> {
    while !part.is_empty() {
        to.writable().await?;
        match to.try_write(part) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            written => part = &part[written?..],
        }
    }
    Ok(())
}
