//! Other instances whose exchanges fail, for one log line when they begin to and one when they no
//! longer do.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::peer_connection::ExchangeError;
use crate::events::{PEER_LOST, PEER_REGAINED, log_event};
use crate::kernel::{Moment, whole_ms};

/// Exchanges with one instance that have failed since the last success.
#[derive(Debug, Clone, Copy)]
struct FailureSeries {
    since: Moment,
    count: u32,
}

/// Instances whose last exchange failed.
#[derive(Debug, Default)]
pub struct PeerFailures {
    series: HashMap<SocketAddr, FailureSeries>,
}

impl PeerFailures {
    /// Records a successful exchange.
    pub fn record_success(&mut self, now: Moment, peer: SocketAddr) {
        let Some(series) = self.series.remove(&peer) else {
            return;
        };
        log_event(
            &PEER_REGAINED,
            &[
                ("peer", &peer),
                ("failed_ms", &whole_ms(now.since(series.since))),
                ("failures", &series.count),
            ],
        );
    }

    /// Records a failed exchange that began at `called_at`.
    pub fn record_failure(
        &mut self,
        now: Moment,
        peer: SocketAddr,
        called_at: Moment,
        error: &ExchangeError,
    ) {
        if let Some(series) = self.series.get_mut(&peer) {
            series.count = series.count.saturating_add(1);
            return;
        }
        let series = FailureSeries {
            since: called_at,
            count: 1,
        };
        self.series.insert(peer, series);
        log_event(
            &PEER_LOST,
            &[
                ("peer", &peer),
                ("reason", error),
                ("took_ms", &whole_ms(now.since(called_at))),
            ],
        );
    }

    /// Forgets instances that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&SocketAddr) -> bool) {
        self.series.retain(|peer, _| is_known(peer));
    }
}
