//! What is known of other instances and of the reads from the store.

use std::net::SocketAddr;

use crate::decide::route_table::DataCentreId;
use crate::kernel::Moment;

/// State of another gateway instance, as it last reported it.
#[derive(Debug, Clone, Copy)]
pub struct PeerState {
    /// Time of its last gossip message.
    pub heard_at: Moment,
    /// Whether it reaches the store; it can claim upstreams for a rollout only then.
    pub reaches_store: bool,
    /// Its data centre.
    pub data_centre: Option<DataCentreId>,
    /// Address at which it serves gossip.
    pub address: Option<SocketAddr>,
}

/// Health of reads from one topic of the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct TopicHealth {
    /// Last time at which the store confirmed, to this instance or another, that no newer record
    /// exists; `START` if it never did.
    pub confirmed_at: Moment,
    /// Time of the first failure since the last successful read; `None` while reads succeed.
    pub failing_since: Option<Moment>,
    /// Time of the last failed read; `START` if none has failed.
    pub failed_at: Moment,
    /// Time of the first successful read after the last outage.
    pub recovered_at: Option<Moment>,
    /// Time of the last page of records from another instance; `START` if there was none.
    pub transferred_at: Moment,
    /// Time until which another instance is wanted that sends records in pieces.
    pub wanted_until: Moment,
}
