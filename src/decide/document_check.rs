//! Check of a configuration document: entries that cannot match and limits that contradict each other.

use std::collections::{HashMap, HashSet};

use super::document_draft::{DraftCustomer, DraftDocument, DraftQuota, DraftRoute};
use super::finding::{DocumentPart, Finding, FindingCode};

/// Amounts and times below this are rounded to 0 when a document takes effect.
const ROUNDED_TO_ZERO: f64 = 0.5;

/// Findings of a check so far.
#[derive(Debug, Default)]
struct FindingList {
    findings: Vec<Finding>,
}

impl FindingList {
    fn add(&mut self, code: FindingCode, part: DocumentPart, text: String) {
        self.findings.push(Finding { code, part, text });
    }

    fn add_if(&mut self, holds: bool, code: FindingCode, part: DocumentPart, text: String) {
        if holds {
            self.add(code, part, text);
        }
    }
}

/// Returns what is wrong with a document.
#[must_use]
pub fn check_document(document: &DraftDocument) -> Vec<Finding> {
    let mut list = FindingList::default();
    check_limits(document, &mut list);
    check_services(document, &mut list);
    check_matches(document, &mut list);
    for (index, route) in document.routes.iter().enumerate() {
        check_targets(document, index, route, &mut list);
        check_times(index, route, &mut list);
    }
    for (index, customer) in document.customers.iter().flatten().enumerate() {
        if let Some(quota) = &customer.quota {
            check_quota(index, customer, quota, &mut list);
        }
    }
    check_keys(document, &mut list);
    list.findings
}

/// Returns what is wrong with the replacement of the document in force by another one.
#[must_use]
pub fn check_replacement(in_force: &DraftDocument, document: &DraftDocument) -> Vec<Finding> {
    let mut list = FindingList::default();
    let (new, old) = (document.version, in_force.version);
    let text = format!("version {new} is not above version {old} in force");
    list.add_if(
        new <= old,
        FindingCode::OldVersion,
        DocumentPart::Whole,
        text,
    );
    let dropped = in_force.customers.is_some() && document.customers.is_none();
    let text = "no customers are declared any more, so every request is accepted without a key";
    let code = FindingCode::KeysDropped;
    list.add_if(dropped, code, DocumentPart::Whole, text.to_owned());
    list.findings
}

fn check_limits(document: &DraftDocument, list: &mut FindingList) {
    let limits = [
        ("request heads", document.head_bytes),
        ("request bodies", document.body_bytes),
    ];
    for (name, bytes) in limits {
        let text = format!("the limit on {name} is 0 bytes");
        list.add_if(
            bytes == 0,
            FindingCode::ZeroLimit,
            DocumentPart::Limits,
            text,
        );
    }
}

fn check_services(document: &DraftDocument, list: &mut FindingList) {
    let targets = document.routes.iter().flat_map(|route| &route.targets);
    let reached: HashSet<&str> = targets
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(service, _)| service.as_str())
        .collect();
    let mut seen = HashSet::new();
    for (index, service) in document.services.iter().enumerate() {
        let part = DocumentPart::Service(index);
        let name = &service.name;
        if !seen.insert(name) {
            let text = format!("service {name} is declared before; only the last one counts");
            list.add(FindingCode::DuplicateName, part, text);
        } else if !service.is_kv_store && !reached.contains(name.as_str()) {
            let text = format!("no route sends requests to service {name}");
            list.add(FindingCode::UnusedService, part, text);
        }
        for field in &service.zero_fields {
            let text = format!("service {name}: {field} is not above 0");
            list.add(FindingCode::ZeroLimit, part, text);
        }
    }
}

/// Checks which requests routes match; among equal prefixes of a host the first one matches.
fn check_matches(document: &DraftDocument, list: &mut FindingList) {
    let mut seen = HashSet::new();
    for (index, route) in document.routes.iter().enumerate() {
        let part = DocumentPart::Route(index);
        let (host, prefix, name) = (&route.host, &route.prefix, title(route));
        let text = format!("{name} never matches: an earlier route has its host and prefix");
        let is_new = seen.insert((host, prefix));
        list.add_if(!is_new, FindingCode::DuplicateRoute, part, text);
        let is_path = prefix.starts_with('/') && !prefix.contains(['?', '#']);
        let text = format!("{name}: the prefix is not the start of a path");
        list.add_if(!is_path, FindingCode::NeverMatches, part, text);
        let text =
            format!("{name}: the prefix does not end with a slash and also matches longer names");
        let is_open = is_path && !prefix.ends_with('/');
        list.add_if(is_open, FindingCode::OpenPrefix, part, text);
        let is_host = !host.is_empty() && !host.contains(|c: char| c == '/' || c.is_whitespace());
        let text = format!("{name} never matches: {host:?} is not a host");
        list.add_if(!is_host, FindingCode::NeverMatches, part, text);
        if let Some(kind) = &route.unknown_kind {
            let text = format!("{name}: kind {kind:?} is unknown; requests run at most once");
            list.add(FindingCode::UnknownWord, part, text);
        }
    }
}

fn check_targets(
    document: &DraftDocument,
    index: usize,
    route: &DraftRoute,
    list: &mut FindingList,
) {
    let part = DocumentPart::Route(index);
    let name = title(route);
    for (service, weight) in &route.targets {
        let text = format!("{name}: service {service} is not declared");
        let declared = document.services.iter().any(|other| other.name == *service);
        list.add_if(!declared, FindingCode::UnknownService, part, text);
        let text = format!("{name}: the weight of service {service} is negative");
        list.add_if(*weight < 0.0, FindingCode::NegativeWeight, part, text);
    }
    let has_target = route.targets.iter().any(|(_, weight)| *weight > 0.0);
    let text = format!("{name} has no service with a weight above 0");
    list.add_if(!has_target, FindingCode::NoTarget, part, text);
}

fn check_times(index: usize, route: &DraftRoute, list: &mut FindingList) {
    let part = DocumentPart::Route(index);
    let name = title(route);
    let (timeout, target) = (route.timeout_ms, route.target_latency_ms);
    let has_timeout = timeout >= ROUNDED_TO_ZERO;
    let text = format!("{name}: the timeout is 0");
    list.add_if(!has_timeout, FindingCode::ZeroTime, part, text);
    let text = format!("{name}: the target latency is 0");
    list.add_if(target < ROUNDED_TO_ZERO, FindingCode::ZeroTime, part, text);
    let text =
        format!("{name}: the target latency of {target} ms is above the timeout of {timeout} ms");
    let is_above = has_timeout && target > timeout;
    list.add_if(is_above, FindingCode::TargetAboveTimeout, part, text);
    let text = format!("{name}: at most 0 attempts are written, 1 is made");
    list.add_if(
        route.max_attempts == 0,
        FindingCode::ZeroAttempts,
        part,
        text,
    );
}

fn check_quota(index: usize, customer: &DraftCustomer, quota: &DraftQuota, list: &mut FindingList) {
    let part = DocumentPart::Customer(index);
    let name = &customer.name;
    let (per_s, burst, plain) = (quota.per_s, quota.burst, quota.plain);
    if let Some(unit) = &quota.unknown_unit {
        let text = format!("customer {name}: unit {unit:?} is unknown; the quota counts requests");
        list.add(FindingCode::UnknownWord, part, text);
    }
    if per_s < ROUNDED_TO_ZERO {
        let text = format!("customer {name}: the rate of the quota is 0, so it limits nothing");
        list.add(FindingCode::ZeroRate, part, text);
        return;
    }
    if burst < ROUNDED_TO_ZERO {
        let text = format!("customer {name}: the burst of the quota is 0");
        list.add(FindingCode::ZeroBurst, part, text);
    }
    if !quota.counts_tokens {
        return;
    }
    let is_free = plain < ROUNDED_TO_ZERO;
    let text = format!("customer {name}: requests without a prompt count as 0 tokens");
    list.add_if(is_free, FindingCode::FreePlain, part, text);
    let is_above = burst >= ROUNDED_TO_ZERO && plain > burst;
    let text = format!(
        "customer {name}: a request without a prompt counts as {plain} tokens, above the burst of {burst}"
    );
    list.add_if(is_above, FindingCode::PlainAboveBurst, part, text);
    let text = format!(
        "customer {name}: a request without a prompt counts as {plain} tokens, above the rate of {per_s} a second"
    );
    list.add_if(plain > per_s, FindingCode::PlainAboveRate, part, text);
}

fn check_keys(document: &DraftDocument, list: &mut FindingList) {
    let Some(customers) = &document.customers else {
        return;
    };
    let mut names = HashSet::new();
    let mut holders: HashMap<&str, &DraftCustomer> = HashMap::new();
    for (index, customer) in customers.iter().enumerate() {
        let part = DocumentPart::Customer(index);
        let name = &customer.name;
        let text = format!("customer {name} is declared before");
        list.add_if(!names.insert(name), FindingCode::DuplicateName, part, text);
        let text =
            format!("customer {name} has no key, so none of its requests is accepted as its own");
        list.add_if(customer.keys.is_empty(), FindingCode::NoKey, part, text);
        let text = format!("customer {name} has an empty key");
        let has_empty = customer.keys.iter().any(String::is_empty);
        list.add_if(has_empty, FindingCode::EmptyKey, part, text);
        let others: HashSet<&str> = customer
            .keys
            .iter()
            .filter_map(|key| holders.insert(key, customer))
            .filter(|other| !std::ptr::eq(*other, customer))
            .map(|other| other.name.as_str())
            .collect();
        for other in others {
            let text =
                format!("customer {name} holds a key of customer {other}; the last one gets it");
            list.add(FindingCode::SharedKey, part, text);
        }
    }
    if !holders.is_empty() {
        return;
    }
    for (index, route) in document.routes.iter().enumerate() {
        let text = format!("{} accepts nobody: no customer has a key", title(route));
        let part = DocumentPart::Route(index);
        list.add_if(!route.is_public, FindingCode::NoCustomer, part, text);
    }
}

fn title(route: &DraftRoute) -> String {
    format!("route {}{}", route.host, route.prefix)
}
