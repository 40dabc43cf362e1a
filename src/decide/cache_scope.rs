//! Which customers may share KV cache with each other under a configuration.

use std::collections::HashMap;

use super::hashing::{first_word, hash_parts};
use super::route_table::CustomerRule;

/// Hash of the names of all isolated customers of a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IsolatedNames(pub u64);

/// Customers that share KV cache with a request.
///
/// What a customer made in a shared scope before it became isolated stays in that scope, and the shared scope
/// of the new configuration is another one. So no scope ever holds KV cache of a customer that is isolated
/// under it, whatever configurations came before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CacheScope<'a> {
    /// One customer alone, with this name.
    Own(&'a str),
    /// All customers but the isolated ones; `None` if none is isolated.
    Shared(Option<IsolatedNames>),
}

/// Scopes of all customers of one configuration.
#[derive(Debug, Default)]
pub struct CacheScopes {
    /// Whether each customer is isolated, by name.
    is_isolated: HashMap<String, bool>,
    isolated: Option<IsolatedNames>,
}

impl CacheScopes {
    /// Builds the scopes of a configuration; the order of its customers does not matter.
    #[must_use]
    pub fn new(customers: &[CustomerRule]) -> Self {
        let isolated = customers.iter().filter(|customer| customer.is_isolated);
        let mut names: Vec<&[u8]> = isolated.map(|customer| customer.name.as_bytes()).collect();
        names.sort_unstable();
        names.dedup();
        let hash = || IsolatedNames(first_word(&hash_parts(&names)));
        let mut is_isolated = HashMap::new();
        for customer in customers {
            *is_isolated.entry(customer.name.clone()).or_default() |= customer.is_isolated;
        }
        Self {
            isolated: (!names.is_empty()).then(hash),
            is_isolated,
        }
    }

    /// Returns the scope of a customer; an empty name stands for requests without one. A customer that the
    /// configuration does not have shares with no other.
    #[must_use]
    pub fn of<'a>(&self, customer: &'a str) -> CacheScope<'a> {
        match self.is_isolated.get(customer) {
            Some(true) => CacheScope::Own(customer),
            None if !customer.is_empty() => CacheScope::Own(customer),
            Some(false) | None => CacheScope::Shared(self.isolated),
        }
    }
}
