//! Average load of the upstreams of each data centre.

use std::collections::HashMap;

use super::fleet::{Fleet, MemberLoad};
use super::route_table::{DataCentreId, ServiceId};
use crate::kernel::Moment;

/// Sums over the upstreams of one data centre.
#[derive(Debug, Clone, Copy, Default)]
struct SiteSum {
    upstreams: u32,
    in_flight: u32,
    unread_tokens: u64,
}

/// Loads of the open upstreams of a service by data centre.
#[derive(Debug, Clone, Default)]
pub struct SiteLoads {
    sums: HashMap<DataCentreId, SiteSum>,
}

impl SiteLoads {
    /// Sums the loads of the open upstreams of a service.
    #[must_use]
    pub fn of(fleet: &Fleet, service: ServiceId, now: Moment) -> Self {
        let mut sums: HashMap<DataCentreId, SiteSum> = HashMap::new();
        for (_, member) in fleet.of_service(service) {
            if !member.is_open(now) {
                continue;
            }
            let load = member.load(now);
            let sum = sums.entry(member.entry.data_centre).or_default();
            sum.upstreams += 1;
            sum.in_flight += load.in_flight;
            sum.unread_tokens += load.unread_tokens;
        }
        Self { sums }
    }

    /// Returns the average load of an open upstream in a data centre; zero if none is open.
    #[must_use]
    pub fn average(&self, site: DataCentreId) -> MemberLoad {
        let sum = self.sums.get(&site).copied().unwrap_or_default();
        let upstreams = sum.upstreams.max(1);
        MemberLoad {
            in_flight: sum.in_flight / upstreams,
            unread_tokens: sum.unread_tokens / u64::from(upstreams),
            ..MemberLoad::default()
        }
    }
}
