//! Which customers share KV cache, over all sequences of configurations.

mod property;

use std::collections::{HashMap, HashSet};

use bulrushslip::decide::cache_scope::CacheScopes;
use bulrushslip::decide::prompt_parts::CacheDomain;
use bulrushslip::decide::route_table::CustomerRule;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Number of instances, each of which may be late to apply a configuration.
const INSTANCES: usize = 3;

/// Step of a play: a kind and a value that it interprets.
type PlayStep = (u8, u8);

/// Returns a configuration in which each customer is present and isolated as the bits tell.
fn customers(bits: u8) -> Vec<CustomerRule> {
    let rules = NAMES.iter().enumerate().map(|(index, name)| CustomerRule {
        name: (*name).to_owned(),
        priority: None,
        is_isolated: bits >> index & 1 == 1,
        keys: Vec::new(),
        quota: None,
    });
    let present = rules
        .enumerate()
        .filter(|(index, _)| bits >> (index + 4) & 1 == 0);
    present.map(|(_, rule)| rule).collect()
}

fn play(steps: &[PlayStep]) {
    let mut newest = customers(0);
    let mut applied: [Vec<CustomerRule>; INSTANCES] = std::array::from_fn(|_| newest.clone());
    let mut makers: HashMap<CacheDomain, HashSet<&str>> = HashMap::new();
    for (kind, value) in steps {
        let instance = usize::from(*value) % INSTANCES;
        match kind % 4 {
            0 => newest = customers(*value),
            1 => applied[instance].clone_from(&newest),
            _ => {
                let user = NAMES[usize::from(*value) / INSTANCES % NAMES.len()];
                let rules = &applied[instance];
                let is_isolated = |name: &str| {
                    rules
                        .iter()
                        .any(|rule| rule.name == name && rule.is_isolated)
                };
                let domain = CacheDomain::of(1, 1, CacheScopes::new(rules).of(user));
                let makers = makers.entry(domain).or_default();
                for maker in makers.iter().filter(|maker| **maker != user) {
                    assert!(
                        !is_isolated(maker) && !is_isolated(user),
                        "{user} uses what {maker} made under {rules:?}"
                    );
                }
                makers.insert(user);
            }
        }
    }
}

/// Guards against domains that hold KV cache of a customer which is isolated where they are used.
#[test]
fn no_customer_uses_what_another_made_while_one_of_them_is_isolated() {
    property::check::<Vec<PlayStep>>(2_000, |steps| play(steps));
}

/// Guards against instances that read the same customers in another order and share nothing.
#[test]
fn the_order_of_customers_does_not_matter() {
    let rules = customers(0b0101);
    let mut reversed = rules.clone();
    reversed.reverse();
    for name in NAMES {
        let domain =
            |rules: &[CustomerRule]| CacheDomain::of(1, 1, CacheScopes::new(rules).of(name));
        assert_eq!(domain(&rules), domain(&reversed));
    }
}
