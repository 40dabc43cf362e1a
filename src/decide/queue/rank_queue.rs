//! Start-time fair queueing of the customers of one rank.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use super::item::{CustomerId, QueueItem};
use crate::kernel::{Arena, Key};

/// Units of virtual time per microsecond at weight 1; reduces rounding errors of the division by
/// the weight.
const VIRTUAL_SCALE: u64 = 1_024;

/// Maximum cost charged for one request, in microseconds.
const MAX_COST_US: u64 = 3_600_000_000;

/// Arena key of a customer's queue.
pub type CustomerQueueKey = Key<CustomerQueue>;

/// Arena key of a waiting request.
pub type ItemKey = Key<WaitingItem>;

/// Waiting request and the queue that contains it.
#[derive(Debug, Clone, Copy)]
pub struct WaitingItem {
    /// The request.
    pub item: QueueItem,
    /// Customer queue in which the request waits.
    pub queue: CustomerQueueKey,
}

/// Waiting requests of one customer, in order of arrival.
#[derive(Debug, Clone)]
pub struct CustomerQueue {
    /// Keys of the waiting requests.
    pub waiting: VecDeque<ItemKey>,
    /// Sum of the estimated costs of the waiting requests, in microseconds.
    pub waiting_cost_us: u64,
    /// Weight of the customer, from its latest request.
    pub weight: u32,
    /// Virtual time at which the next request starts.
    pub start_tag: u64,
}

/// Customer queues of one rank, served in the order of their start tags.
#[derive(Debug, Clone, Default)]
pub struct RankQueue {
    /// One queue for each customer that has sent a request.
    pub customers: Arena<CustomerQueue>,
    by_customer: BTreeMap<CustomerId, CustomerQueueKey>,
    /// Customer queues with waiting requests, ordered by start tag.
    backlogged: BTreeSet<(u64, CustomerQueueKey)>,
    virtual_time: u64,
    /// Number of waiting requests of all customers.
    pub waiting: usize,
    /// Sum of the estimated costs of all waiting requests, in microseconds.
    pub waiting_cost_us: u64,
}

impl RankQueue {
    /// Returns the queue of the customer, if there is one.
    #[must_use]
    pub fn find(&self, customer: CustomerId) -> Option<&CustomerQueue> {
        let key = self.by_customer.get(&customer)?;
        self.customers.get(*key)
    }

    /// Returns the request that is served next.
    #[must_use]
    pub fn head(&self) -> Option<ItemKey> {
        let (_, key) = self.backlogged.first()?;
        self.customers.get(*key)?.waiting.front().copied()
    }

    /// Returns the key of the customer's queue, which is created if needed, and sets its weight.
    pub fn customer_queue(&mut self, customer: CustomerId, weight: u32) -> CustomerQueueKey {
        let customers = &mut self.customers;
        let key = *self.by_customer.entry(customer).or_insert_with(|| {
            customers.insert(CustomerQueue {
                waiting: VecDeque::new(),
                waiting_cost_us: 0,
                weight: 1,
                start_tag: 0,
            })
        });
        queue_mut(customers, key).weight = weight.max(1);
        key
    }

    /// Appends a request to its customer queue.
    pub fn push(&mut self, key: CustomerQueueKey, item: ItemKey, cost_us: u64) {
        let queue = queue_mut(&mut self.customers, key);
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(self.virtual_time);
            self.backlogged.insert((queue.start_tag, key));
        }
        queue.waiting.push_back(item);
        queue.waiting_cost_us += cost_us;
        self.waiting += 1;
        self.waiting_cost_us += cost_us;
    }

    /// Removes a waiting request without charging the customer.
    pub fn remove(&mut self, key: CustomerQueueKey, item: ItemKey, cost_us: u64) {
        let queue = queue_mut(&mut self.customers, key);
        let Some(position) = queue.waiting.iter().position(|waiting| *waiting == item) else {
            return;
        };
        queue.waiting.remove(position);
        queue.waiting_cost_us -= cost_us;
        self.waiting -= 1;
        self.waiting_cost_us -= cost_us;
        if queue.waiting.is_empty() {
            self.backlogged.remove(&(queue.start_tag, key));
        }
    }

    /// Removes a request that starts, and charges its estimated cost to the customer.
    pub fn start(&mut self, key: CustomerQueueKey, item: ItemKey, cost_us: u64) {
        let tag = queue_mut(&mut self.customers, key).start_tag;
        self.virtual_time = self.virtual_time.max(tag);
        self.remove(key, item, cost_us);
        self.charge(key, cost_us, 0);
    }

    /// Replaces the charge for `estimate_us` by that for `actual_us`.
    pub fn correct(&mut self, key: CustomerQueueKey, estimate_us: u64, actual_us: u64) {
        self.charge(key, actual_us, estimate_us);
    }

    fn charge(&mut self, key: CustomerQueueKey, added_us: u64, returned_us: u64) {
        let queue = queue_mut(&mut self.customers, key);
        let was_backlogged = self.backlogged.remove(&(queue.start_tag, key));
        let returned = virtual_cost(returned_us, queue.weight);
        let added = virtual_cost(added_us, queue.weight);
        queue.start_tag = (queue.start_tag + added).saturating_sub(returned);
        if was_backlogged {
            self.backlogged.insert((queue.start_tag, key));
        }
    }
}

fn queue_mut(customers: &mut Arena<CustomerQueue>, key: CustomerQueueKey) -> &mut CustomerQueue {
    customers
        .get_mut(key)
        .expect("customer queues are never removed")
}

const fn virtual_cost(cost_us: u64, weight: u32) -> u64 {
    let cost_us = if cost_us > MAX_COST_US {
        MAX_COST_US
    } else {
        cost_us
    };
    cost_us * VIRTUAL_SCALE / weight as u64
}
