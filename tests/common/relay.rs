//! TCP relay that can lose track of its open connections.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Largest part that is relayed at once, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// What befalls the connections that are open when it is set.
#[derive(Debug, Clone, Copy)]
enum RelayFault {
    None,
    /// Nothing passes any more, and no end is closed.
    Silent,
    /// What is sent arrives, and nothing comes back after so many further parts.
    AnswersLost(u32),
}

/// A running relay to one address; it ends on drop.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    fault: watch::Sender<RelayFault>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (fault, faults) = watch::channel(RelayFault::None);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, faults));
        Self {
            address,
            fault,
            _tasks: tasks,
        }
    }

    /// Swallows all further bytes of the open connections and closes none; new ones work.
    pub fn silence(&self) {
        self.fault.send_replace(RelayFault::Silent);
    }

    /// Swallows the answers on the open connections after so many further parts.
    pub fn lose_answers_after(&self, parts: u32) {
        self.fault.send_replace(RelayFault::AnswersLost(parts));
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: watch::Receiver<RelayFault>) {
    let mut pumps = JoinSet::new();
    while let Ok((near, _peer)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        for stream in [&near, &far] {
            stream.set_nodelay(true).expect("an open connection");
        }
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let mut faults = faults.clone();
        faults.mark_unchanged();
        pumps.spawn(pump(near_read, far_write, faults.clone(), false));
        pumps.spawn(pump(far_read, near_write, faults, true));
    }
}

async fn pump(
    from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<RelayFault>,
    is_answer: bool,
) {
    let mut part = vec![0; PART_BYTES];
    let mut parts_left = u32::MAX;
    loop {
        tokio::select! {
            biased;
            changed = faults.changed() => {
                if changed.is_err() {
                    return;
                }
                parts_left = match *faults.borrow_and_update() {
                    RelayFault::Silent => 0,
                    RelayFault::AnswersLost(parts) if is_answer => parts,
                    RelayFault::AnswersLost(_) | RelayFault::None => parts_left,
                };
            }
            readable = from.readable() => if readable.is_err() {
                break;
            }
        }
        match from.try_read(&mut part) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => break,
            Ok(_) if parts_left == 0 => {}
            Ok(count) => {
                parts_left = parts_left.saturating_sub(u32::from(parts_left != u32::MAX));
                if write_all(&mut to, &part[..count]).await.is_err() {
                    break;
                }
            }
        }
    }
    if parts_left == 0 {
        // The other end never learns that this one has gone.
        std::future::pending::<()>().await;
    }
}

async fn write_all(to: &mut OwnedWriteHalf, mut part: &[u8]) -> Result<()> {
    while !part.is_empty() {
        to.writable().await?;
        match to.try_write(part) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            written => part = &part[written?..],
        }
    }
    Ok(())
}
