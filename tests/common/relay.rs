//! TCP relay that can lose track of its open connections.

use std::io::{ErrorKind, Result};
use std::net::SocketAddr;

use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Largest part that is relayed at once, in bytes.
const PART_BYTES: usize = 16 * 1024;

/// A running relay to one address; it ends on drop.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    silence: watch::Sender<()>,
    _tasks: JoinSet<()>,
}

impl Relay {
    /// Starts a relay on a free port.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound port");
        let (silence, silenced) = watch::channel(());
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, silenced));
        Self {
            address,
            silence,
            _tasks: tasks,
        }
    }

    /// Swallows all further bytes of the open connections and closes none; new ones work.
    pub fn silence(&self) {
        self.silence.send_replace(());
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, silenced: watch::Receiver<()>) {
    let mut pumps = JoinSet::new();
    while let Ok((near, _peer)) = listener.accept().await {
        let Ok(far) = TcpStream::connect(target).await else {
            continue;
        };
        let (near_read, near_write) = near.into_split();
        let (far_read, far_write) = far.into_split();
        let mut silenced = silenced.clone();
        silenced.mark_unchanged();
        pumps.spawn(pump(near_read, far_write, silenced.clone()));
        pumps.spawn(pump(far_read, near_write, silenced));
    }
}

async fn pump(from: OwnedReadHalf, mut to: OwnedWriteHalf, mut silenced: watch::Receiver<()>) {
    let mut part = vec![0; PART_BYTES];
    let mut is_silent = false;
    loop {
        tokio::select! {
            biased;
            _ = silenced.changed(), if !is_silent => is_silent = true,
            readable = from.readable() => if readable.is_err() {
                break;
            }
        }
        match from.try_read(&mut part) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => break,
            Ok(_) if is_silent => {}
            Ok(count) => {
                if write_all(&mut to, &part[..count]).await.is_err() {
                    break;
                }
            }
        }
    }
    if is_silent {
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
