//! Encoding of what instances tell each other of the paces of upstreams. Bincode encodes no names, so the
//! order of fields is part of the format.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::decide::upstream_pace::{PaceLoad, PaceNews, PaceSearch};
use crate::kernel::{Moment, whole_ms};

/// What the sender knows of the pace of one run of an upstream, on one version of its weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePace {
    /// Hash of the identity of the upstream.
    pub upstream: u64,
    /// Start time that identifies the run of the upstream.
    pub born: u64,
    /// Version of its weights; 0 for plain upstreams.
    pub weights: u64,
    /// Time since the newest answer that counts, in milliseconds.
    pub answered_ago_ms: u64,
    /// Search for the pace; `None` if the upstream does full work.
    pub search: Option<WirePaceSearch>,
}

/// Search for the pace of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WirePaceSearch {
    /// Time since its beginning, in milliseconds.
    pub began_ago_ms: u64,
    /// Requests that the upstream may have from all instances.
    pub requests: u32,
    /// Unread prompt tokens that the upstream may have from all instances.
    pub tokens: u64,
}

impl WirePace {
    /// Encodes what is known at `now` of a run of an upstream.
    #[must_use]
    pub fn new(now: Moment, (upstream, born, weights): (u64, u64, u64), news: PaceNews) -> Self {
        let (answered_at, search) = match news {
            PaceNews::Found(answered_at) => (answered_at, None),
            PaceNews::Searching(search) => {
                let wire = WirePaceSearch {
                    began_ago_ms: whole_ms(now.since(search.began_at)),
                    requests: search.room.requests,
                    tokens: search.room.tokens,
                };
                (search.answered_at, Some(wire))
            }
        };
        Self {
            upstream,
            born,
            weights,
            // Rounded up, so that no instance makes news younger by passing it on.
            answered_ago_ms: whole_ms(now.since(answered_at)).saturating_add(1),
            search,
        }
    }

    /// Decodes what was told at `now`.
    #[must_use]
    pub fn news(&self, now: Moment) -> PaceNews {
        let answered_at = now.before(Duration::from_millis(self.answered_ago_ms));
        let Some(search) = self.search else {
            return PaceNews::Found(answered_at);
        };
        PaceNews::Searching(PaceSearch {
            began_at: now.before(Duration::from_millis(search.began_ago_ms)),
            answered_at,
            room: PaceLoad {
                requests: search.requests,
                tokens: search.tokens,
            },
        })
    }
}
