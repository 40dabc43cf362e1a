//! Upstreams at which requests with a short shared prefix meet.
//!
//! Instances do not tell each other which upstreams hold short prefixes. Each data centre has a few homes
//! for each of them, chosen by rendezvous hashing, so that all instances agree without messages.

use std::collections::HashMap;

use super::fleet::{Fleet, MemberKey};
use super::prompt_parts::PromptShape;
use super::route_table::{DataCentreId, ServiceId};

/// Number of homes of a prefix in each data centre, so that the less loaded one can be chosen.
const HOMES: usize = 2;

/// Upstreams at which the requests with one prefix meet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixHomes {
    members: Vec<MemberKey>,
}

impl PrefixHomes {
    /// Chooses the homes of a prompt's shared segments among the upstreams of a service that stay.
    #[must_use]
    pub fn of(fleet: &Fleet, service: ServiceId, prompt: &PromptShape) -> Self {
        let segments = prompt.shared().iter();
        let subject = segments.fold(0, |hash: u64, segment| {
            (hash ^ segment.id)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                .rotate_left(29)
        });
        let mut by_place: HashMap<DataCentreId, Vec<(u64, MemberKey)>> = HashMap::new();
        for (key, member) in fleet.of_service(service) {
            if member.is_leaving() {
                continue;
            }
            let weight = rendezvous_weight(subject, member.id_hash);
            let homes = by_place.entry(member.entry.data_centre).or_default();
            homes.push((weight, key));
            homes.sort_unstable_by_key(|(weight, _)| *weight);
            homes.truncate(HOMES);
        }
        let members = by_place.into_values().flatten().map(|(_, key)| key);
        Self {
            members: members.collect(),
        }
    }

    /// Returns whether an upstream is a home of the prefix.
    #[must_use]
    pub fn contains(&self, key: MemberKey) -> bool {
        self.members.contains(&key)
    }
}

/// Returns the weight of an upstream for a prefix; the lowest ones are its homes.
const fn rendezvous_weight(subject: u64, id_hash: u64) -> u64 {
    (subject ^ id_hash)
        .wrapping_mul(0xff51_afd7_ed55_8ccd)
        .rotate_left(31)
        .wrapping_mul(0xc4ce_b9fe_1a85_ec53)
}
