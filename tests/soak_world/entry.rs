//! State of a soak upstream, and its entry in the store.

use std::net::SocketAddr;

use bulrushslip::platform::store_client::{StoreClient, UPSTREAM_TOPIC};
use bulrushslip::platform::store_records::encode_keyed;
use serde_json::json;
use tokio::sync::watch;

use super::weights::MODEL;

/// State of an upstream, of which its entry and its reports tell a part.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamState {
    /// Address that it is reached under.
    pub address: SocketAddr,
    /// Whether it leaves.
    pub is_leaving: bool,
    /// Version of its weights.
    pub version: u64,
    /// Whether it carries out an order.
    pub is_busy: bool,
    /// Orders that it has accepted in this life.
    pub orders: u64,
    /// Highest fencing token that it has seen in this life.
    pub fence: u64,
    /// Requests that run on its weights.
    pub running: u64,
    /// Number of its life, counted from 1; it grows with each crash and each return.
    pub life: u64,
}

impl UpstreamState {
    /// Returns the state of an upstream that has just started for the first time.
    pub const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            is_leaving: false,
            version: 1,
            is_busy: false,
            orders: 0,
            fence: 0,
            running: 0,
            life: 1,
        }
    }

    /// Begins the next life, with the weights of the one before.
    pub const fn restart(&mut self) {
        self.is_busy = false;
        self.orders = 0;
        self.fence = 0;
        self.running = 0;
        self.life += 1;
    }
}

/// Client of the store, and the count of the writes of one life.
#[derive(Debug)]
struct CountedStore {
    client: StoreClient,
    life: u64,
    sequence: u64,
}

/// Writes an upstream's entry in the store; one writer at a time, each with the newest state.
#[derive(Debug)]
pub struct EntryWriter {
    name: String,
    store: tokio::sync::Mutex<CountedStore>,
    /// State of the upstream.
    pub state: watch::Sender<UpstreamState>,
}

impl EntryWriter {
    /// Creates the writer of the upstream with a name.
    pub fn new(name: &str, store: SocketAddr, state: UpstreamState) -> Self {
        Self {
            name: name.to_owned(),
            store: tokio::sync::Mutex::new(CountedStore {
                client: StoreClient::new(store),
                life: 0,
                sequence: 0,
            }),
            state: watch::channel(state).0,
        }
    }

    /// Writes the entry and waits until the store has confirmed it.
    pub async fn write(&self) {
        let mut store = self.store.lock().await;
        loop {
            let state = *self.state.borrow();
            let word = if state.is_leaving {
                "draining"
            } else {
                "ready"
            };
            if store.life != state.life {
                store.life = state.life;
                store.sequence = 0;
            }
            store.sequence += 1;
            let entry = json!({"service": "s", "address": state.address, "zone": "near",
                "slots": 16, "version": "v1", "cold-left-ms": 0, "state": word, "born": state.life,
                "sequence": store.sequence, "models": [{"name": MODEL, "version": state.version}]});
            let record = encode_keyed(&self.name, entry.to_string().as_bytes());
            let record = record.expect("a short key");
            if store.client.append(UPSTREAM_TOPIC, &record).await.is_ok() {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    }

    /// Says from now on that the upstream leaves.
    pub async fn leave(&self) {
        self.state.send_modify(|state| state.is_leaving = true);
        self.write().await;
    }

    /// Announces the next life of an upstream that has left.
    pub async fn come_back(&self) {
        self.state.send_modify(|state| {
            state.is_leaving = false;
            state.restart();
        });
        self.write().await;
    }

    /// Returns the version of its weights.
    pub fn version(&self) -> u64 {
        self.state.borrow().version
    }
}
