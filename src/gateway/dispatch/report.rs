//! Metrics and state dump of the service `dispatch`.

use serde_json::{Value, json};

use super::state::DispatchState;
use crate::events::{METRICS_FAILED, log_event};
use crate::gateway::counters::GatewayGauges;
use crate::kernel::Moment;
use crate::wire::peer_rpc::WireTopic;

impl DispatchState {
    /// Returns all metrics in text format, or an empty string if encoding fails.
    pub(super) fn metrics_text(&self, now: Moment) -> String {
        let open = self.fleet.iter().filter(|(_, member)| member.is_open(now));
        let members = self.fleet.iter();
        let paced = members.filter(|(_, member)| member.pace.search().is_some());
        let gauges = GatewayGauges {
            paced_upstreams: paced.count(),
            configuration: self.routes.as_ref().map_or(0, |routes| routes.version),
            open_upstreams: open.count(),
            waiting: self.waiting.len() + self.parked.len(),
            running: self.running.len(),
            peers: self.peers.len(),
            dropped_lines: self.dropped_lines.count(),
            reserved_bytes: self.memory.reserved(),
            unread_bytes: self.memory.unread(),
            suspects: self.suspects.len(),
            suspicions: self.recent_suspicions.len() + self.segment_news.len(),
            refused_segments: self.segments.refused_count(),
        };
        self.counters.text(gauges).unwrap_or_else(|error| {
            log_event(&METRICS_FAILED, &[("reason", &error)]);
            String::new()
        })
    }

    /// Returns a summary of the state for the operator's dump.
    #[must_use]
    pub fn dump(&self, now: Moment) -> Value {
        let members = self.fleet.iter().map(|(_, member)| {
            json!({
                "id": member.entry.id,
                "address": member.entry.address,
                "version": member.version(),
                "open": member.is_open(now),
                "leaving": member.is_leaving(),
                "left_ms_ago": member.notice.left_at.map(|left_at| now.since(left_at).as_millis()),
                "paused_ms": member.notice.paused_until.remaining(now).as_millis(),
                "limit_per_1000_s": member.notice.limit.rate.map(|rate| rate.0),
                "limit_share_per_s": member.notice.limit.own_per_s(),
                "pace": member.pace.search().map(|search| json!({
                    "requests": search.room.requests,
                    "tokens": search.room.tokens,
                    "searched_ms": now.since(search.began_at).as_millis(),
                })),
                "own_in_flight": member.own.in_flight,
                "in_flight": member.load(now).in_flight,
                "failure_share": member.failure_share,
            })
        });
        json!({
            "configuration": self.routes.as_ref().map(|routes| routes.version),
            "operator_view": self.dump_view(now, WireTopic::Operator),
            "upstream_view": self.dump_view(now, WireTopic::Upstream),
            "members": members.collect::<Vec<_>>(),
            "waiting": self.waiting.len(),
            "parked": self.parked.len(),
            "running": self.running.len(),
            "reserved_bytes": self.memory.reserved(),
            "unread_bytes": self.memory.unread(),
            "unread_responses": self.unread.len(),
            "parts": self.parts.len(),
            "suspects": self.suspects.len(),
            "suspicions": self.recent_suspicions.len(),
            "segments": self.segments.len(),
            "refused_segments": self.segments.refused_count(),
            "peers": self.peers.len(),
            "quotas": self.dump_quotas(now),
            "features": {
                "paces_upstreams": self.features.paces_upstreams,
            },
        })
    }

    /// Returns what the dump tells of a topic's view; instances that hold the same have equal digests.
    fn dump_view(&self, now: Moment, topic: WireTopic) -> Value {
        let view = self.view(topic);
        let digest = view.digest();
        let age = now.since(self.health(topic).confirmed_at);
        json!({
            "era": view.next.era.0,
            "offset": view.next.offset.0,
            "keys": digest.keys,
            "digest": format!("{:016x}", digest.hash),
            "confirmed_ms_ago": age.as_millis(),
        })
    }
}
