//! Weighted fair queueing over the customers of one rank.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::item::{CustomerId, QueueItem};
use crate::kernel::{Arena, Key};

/// Units of virtual time for one microsecond at weight 1; it keeps the remainders of weights.
const VIRTUAL_SCALE: u64 = 1_024;

/// Longest cost that one request is charged, in microseconds.
const MAX_COST_US: u64 = 3_600_000_000;

/// Addresses one lane.
pub type LaneKey = Key<CustomerLane>;

/// Addresses one waiting request.
pub type ItemKey = Key<WaitingItem>;

/// A waiting request and its lane.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// The request.
    pub item: QueueItem,
    /// Lane in which it waits.
    pub lane: LaneKey,
}

/// Waiting requests of one customer, in order of arrival.
#[derive(Debug, Clone)]
pub struct CustomerLane {
    /// Keys of the waiting requests.
    pub waiting: VecDeque<ItemKey>,
    /// Sum of the estimated costs of the waiting requests, in microseconds.
    pub waiting_cost_us: u64,
    /// Weight of the customer, from its latest request.
    pub weight: u32,
    /// Virtual time at which the next request starts.
    pub start_tag: u64,
}

/// Lanes of one rank, served in the order of their start tags.
#[derive(Debug, Clone, Default)]
pub struct RankLanes {
    /// One lane for each customer seen.
    pub lanes: Arena<CustomerLane>,
    by_customer: BTreeMap<CustomerId, LaneKey>,
    backlogged: BTreeSet<(u64, LaneKey)>,
    virtual_time: u64,
    /// Requests that wait in all lanes.
    pub waiting: usize,
    /// Sum of the estimated costs of all waiting requests, in microseconds.
    pub waiting_cost_us: u64,
}

impl RankLanes {
    /// Returns the lane of the customer, if it has been seen.
    #[must_use]
    pub fn find(&self, customer: CustomerId) -> Option<&CustomerLane> {
        let key = self.by_customer.get(&customer)?;
        self.lanes.get(*key)
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn head(&self) -> Option<ItemKey> {
        let (_, key) = self.backlogged.first()?;
        self.lanes.get(*key)?.waiting.front().copied()
    }

    /// Returns the lane of the customer and creates it when it is missing.
    pub fn lane_key(&mut self, customer: CustomerId, weight: u32) -> LaneKey {
        let lanes = &mut self.lanes;
        let key = *self.by_customer.entry(customer).or_insert_with(|| {
            lanes.insert(CustomerLane {
                waiting: VecDeque::new(),
                waiting_cost_us: 0,
                weight: 1,
                start_tag: 0,
            })
        });
        lane_mut(lanes, key).weight = weight.max(1);
        key
    }

    /// Appends a request to its lane.
    pub fn push(&mut self, key: LaneKey, item: ItemKey, cost_us: u64) {
        let lane = lane_mut(&mut self.lanes, key);
        if lane.waiting.is_empty() {
            lane.start_tag = lane.start_tag.max(self.virtual_time);
            self.backlogged.insert((lane.start_tag, key));
        }
        lane.waiting.push_back(item);
        lane.waiting_cost_us += cost_us;
        self.waiting += 1;
        self.waiting_cost_us += cost_us;
    }

    /// Takes a request out of its lane without charging the customer.
    pub fn remove(&mut self, key: LaneKey, item: ItemKey, cost_us: u64) {
        let lane = lane_mut(&mut self.lanes, key);
        let Some(position) = lane.waiting.iter().position(|waiting| *waiting == item) else {
            return;
        };
        lane.waiting.remove(position);
        lane.waiting_cost_us -= cost_us;
        self.waiting -= 1;
        self.waiting_cost_us -= cost_us;
        if lane.waiting.is_empty() {
            self.backlogged.remove(&(lane.start_tag, key));
        }
    }

    /// Takes a request out of its lane because it starts, and charges its estimated cost.
    pub fn start(&mut self, key: LaneKey, item: ItemKey, cost_us: u64) {
        let tag = lane_mut(&mut self.lanes, key).start_tag;
        self.virtual_time = self.virtual_time.max(tag);
        self.remove(key, item, cost_us);
        self.charge(key, cost_us, 0);
    }

    /// Replaces the charge for `estimate_us` by that for `actual_us`.
    pub fn correct(&mut self, key: LaneKey, estimate_us: u64, actual_us: u64) {
        self.charge(key, actual_us, estimate_us);
    }

    fn charge(&mut self, key: LaneKey, added_us: u64, returned_us: u64) {
        let lane = lane_mut(&mut self.lanes, key);
        let was_backlogged = self.backlogged.remove(&(lane.start_tag, key));
        let returned = virtual_cost(returned_us, lane.weight);
        let added = virtual_cost(added_us, lane.weight);
        lane.start_tag = (lane.start_tag + added).saturating_sub(returned);
        if was_backlogged {
            self.backlogged.insert((lane.start_tag, key));
        }
    }
}

fn lane_mut(lanes: &mut Arena<CustomerLane>, key: LaneKey) -> &mut CustomerLane {
    lanes.get_mut(key).expect("lanes are never removed")
}

const fn virtual_cost(cost_us: u64, weight: u32) -> u64 {
    let cost_us = if cost_us > MAX_COST_US {
        MAX_COST_US
    } else {
        cost_us
    };
    cost_us * VIRTUAL_SCALE / weight as u64
}
