//! Load of an upstream, and who reports it.

use std::time::Duration;

use super::fleet::FleetMember;
use super::route_table::DataCentreId;
use crate::kernel::Moment;

/// Age up to which a load that another instance or data centre has reported counts.
const PEER_LOAD_LIFETIME: Duration = Duration::from_millis(3_500);

/// Load that one instance puts on an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MemberLoad {
    /// Requests that were sent and have not ended.
    pub in_flight: u32,
    /// Prompt tokens still to be prefilled, of requests without any output yet.
    pub unread_tokens: u64,
    /// KV cache tokens of all requests in flight, prompts and answers.
    pub memory_tokens: u64,
    /// Tokens that the instance has added to the KV cache since it first listed the upstream.
    pub added_tokens: u64,
}

impl MemberLoad {
    /// Returns the sum of two loads.
    pub(super) const fn with(self, other: Self) -> Self {
        Self {
            in_flight: self.in_flight + other.in_flight,
            unread_tokens: self.unread_tokens + other.unread_tokens,
            memory_tokens: self.memory_tokens + other.memory_tokens,
            added_tokens: self.added_tokens + other.added_tokens,
        }
    }

    /// Returns what the load has added to the KV cache, without requests.
    pub(super) const fn only_added(self) -> Self {
        Self {
            in_flight: 0,
            unread_tokens: 0,
            memory_tokens: 0,
            added_tokens: self.added_tokens,
        }
    }

    /// Reports whether requests are in flight.
    #[must_use]
    pub const fn is_busy(self) -> bool {
        self.in_flight > 0
    }
}

/// Who reports a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum LoadSource {
    /// Another instance, for itself.
    Instance(u64),
    /// An instance of another data centre, for all in that data centre.
    DataCentre(DataCentreId),
}

impl FleetMember {
    /// Returns the load from all instances, as far as reported recently.
    #[must_use]
    pub fn load(&self, now: Moment) -> MemberLoad {
        let live = self
            .peer_loads
            .values()
            .filter(|(_, reported)| now.since(*reported) < PEER_LOAD_LIFETIME);
        live.fold(self.own, |sum, (load, _)| MemberLoad {
            added_tokens: sum.added_tokens,
            ..sum.with(*load)
        })
    }

    /// Returns the load from the instances of this data centre, and what they have added to the KV
    /// cache.
    #[must_use]
    pub fn local_load(&self, now: Moment) -> MemberLoad {
        let peers = self.peer_loads.iter();
        let local = peers.filter(|(source, _)| matches!(source, LoadSource::Instance(_)));
        local.fold(self.own, |sum, (_, (load, reported))| {
            let is_live = now.since(*reported) < PEER_LOAD_LIFETIME;
            let load = if is_live { *load } else { load.only_added() };
            sum.with(load)
        })
    }

    /// Records the load from all instances of another data centre, and what they have added to the
    /// KV cache, if that is known.
    pub fn record_site_load(
        &mut self,
        reported: Moment,
        site: DataCentreId,
        load: MemberLoad,
        added_tokens: Option<u64>,
    ) {
        let source = LoadSource::DataCentre(site);
        let known = self.peer_loads.get(&source);
        let previous = known.map_or(0, |(known, _)| known.added_tokens);
        let total = match added_tokens {
            // Instances of the data centre may have restarted; what they add from now on counts.
            Some(total) if total < previous / 2 => total,
            Some(total) => total.max(previous),
            None => previous,
        };
        self.total_added_tokens += total.saturating_sub(previous);
        let load = MemberLoad {
            added_tokens: total,
            ..load
        };
        self.peer_loads.insert(source, (load, reported));
    }

    /// Records the load from another instance of this data centre and what it has added to the KV
    /// cache since its last report.
    pub fn record_peer_load(&mut self, now: Moment, peer: u64, load: MemberLoad) {
        let peer = LoadSource::Instance(peer);
        if load == MemberLoad::default() {
            self.peer_loads.remove(&peer);
            return;
        }
        let known = self.peer_loads.insert(peer, (load, now));
        let previous = known.map_or(0, |(known, _)| known.added_tokens);
        // A smaller total means that the instance has restarted.
        let increase = load.added_tokens.checked_sub(previous);
        self.total_added_tokens += increase.unwrap_or(load.added_tokens);
    }

    /// Records the requests of another instance of this data centre that have not ended; `None` if
    /// there are none.
    pub fn record_peer_requests(&mut self, now: Moment, peer: u64, load: Option<MemberLoad>) {
        if let Some(load) = load {
            self.record_peer_load(now, peer, load);
            return;
        }
        if let Some(known) = self.peer_loads.get_mut(&LoadSource::Instance(peer)) {
            *known = (known.0.only_added(), now);
        }
    }
}
