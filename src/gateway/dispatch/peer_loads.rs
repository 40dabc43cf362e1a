//! Loads and holds of upstreams that instances tell each other.

use std::time::Duration;

use super::state::DispatchState;
use crate::decide::fleet::MemberLoad;
use crate::kernel::Moment;
use crate::wire::peer_rpc::{GossipMessage, WireLoad, WireLoadCall};

impl DispatchState {
    /// Applies the sender's load to each upstream.
    pub(super) fn apply_loads(&mut self, now: Moment, gossip: &GossipMessage) {
        let keys: Vec<_> = self.fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            let load = gossip
                .loads
                .iter()
                .find(|load| load.upstream == member.id_hash);
            let load = load.map_or_else(MemberLoad::default, MemberLoad::from);
            member.record_peer_load(now, gossip.sender, load);
        }
    }

    /// Returns the requests of this instance that have not ended, by upstream.
    pub(super) fn own_loads(&self) -> WireLoadCall {
        let members = self.fleet.iter().map(|(_, member)| member);
        let busy = members.filter(|member| member.own.is_busy());
        WireLoadCall {
            sender: self.identity.id,
            loads: busy
                .map(|member| WireLoad::new(member.id_hash, member.own))
                .collect(),
        }
    }

    /// Applies the requests of another instance of this data centre that have not ended.
    pub(super) fn apply_peer_requests(&mut self, now: Moment, call: &WireLoadCall) {
        if call.sender == self.identity.id {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&call.sender) {
            peer.heard_at = now;
        }
        let keys: Vec<_> = self.fleet.iter().map(|(key, _)| key).collect();
        for key in keys {
            let Some(member) = self.fleet.get_mut(key) else {
                continue;
            };
            let mut loads = call.loads.iter();
            let load = loads.find(|load| load.upstream == member.id_hash);
            member.record_peer_requests(now, call.sender, load.map(MemberLoad::from));
        }
    }

    /// Applies the holds that the sender announces.
    pub(super) fn apply_holds(&mut self, now: Moment, gossip: &GossipMessage) {
        for (upstream, left_ms) in &gossip.holds {
            let key = self.fleet.find_hash(*upstream);
            let Some(member) = key.and_then(|key| self.fleet.get_mut(key)) else {
                continue;
            };
            let until = now.after(Duration::from_millis((*left_ms).into()));
            member.held_until = member.held_until.max(until);
        }
    }
}
