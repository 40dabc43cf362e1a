//! Link to one address that can be cut.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Running link.
#[derive(Debug)]
pub struct CutLink {
    /// Address that it listens on.
    pub address: SocketAddr,
    is_cut: watch::Sender<bool>,
}

impl CutLink {
    /// Starts a link to an address.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (is_cut, cuts) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(pass(near, target, cuts.clone()));
            }
        });
        Self { address, is_cut }
    }

    /// Lets nothing pass and closes no connection, until the link is restored.
    pub fn cut(&self) {
        self.is_cut.send_replace(true);
    }

    /// Closes the connections that were cut; new ones work.
    pub fn restore(&self) {
        self.is_cut.send_replace(false);
    }
}

async fn pass(mut near: TcpStream, target: SocketAddr, mut cuts: watch::Receiver<bool>) {
    let is_cut = *cuts.borrow();
    if !is_cut {
        let Ok(mut far) = TcpStream::connect(target).await else {
            return;
        };
        tokio::select! {
            _ended = copy_bidirectional(&mut near, &mut far) => return,
            _cut = cuts.wait_for(|is_cut| *is_cut) => {}
        }
    }
    drop(cuts.wait_for(|is_cut| !is_cut).await);
}
