//! Idempotency key of one request at an entry: parsing, claim and release.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::HeaderMap;

use crate::decide::claims::{
    ClaimRecord, ClaimTarget, ClaimVerdict, IdempotencyWindow, KeyAge, KeyHash, key_age,
};
use crate::decide::config::Configuration;
use crate::decide::ids::Ticket;
use crate::kernel::Directory;
use crate::services::common::mail::Mail;
use crate::services::common::sidecar_calls::SidecarCalls;

/// Header with the idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the time at which the caller created the key, in Unix seconds.
const CREATED_HEADER: &str = "idempotency-key-created";

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum number of coordinators of a partition that are asked for a verdict.
const MAX_COORDINATORS_ASKED: usize = 3;

/// Time for which the entry waits for the verdict of one coordinator.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which keys are accepted; the log must keep its records for longer (expected: a day).
const WINDOW: IdempotencyWindow = IdempotencyWindow {
    window_s: 2 * 60 * 60,
    skew_s: 60,
};

/// Idempotency key in the headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParsedKey {
    /// The request has no key.
    Absent,
    /// The key, and the time in Unix seconds until which it can be claimed.
    Valid(String, u64),
    /// The key has expired, so it is unknown whether the request ran before.
    Expired,
    /// A header is invalid; the text is the message for the caller.
    Malformed(&'static str),
}

/// Parses the idempotency key and its creation time from the headers.
#[must_use]
pub fn parse_key(headers: &HeaderMap) -> ParsedKey {
    let Some(key) = headers.get(KEY_HEADER) else {
        return ParsedKey::Absent;
    };
    let key = key.to_str().unwrap_or("");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return ParsedKey::Malformed("idempotency-key has 1 to 256 visible ASCII characters");
    }
    let created = match headers.get(CREATED_HEADER) {
        None => None,
        Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
            None => return ParsedKey::Malformed("idempotency-key-created is in Unix seconds"),
            seconds => seconds,
        },
    };
    match key_age(WINDOW, unix_seconds(), created) {
        KeyAge::Valid(expires_s) => ParsedKey::Valid(key.to_owned(), expires_s),
        KeyAge::Expired => ParsedKey::Expired,
        KeyAge::Future => ParsedKey::Malformed("idempotency-key-created lies in the future"),
    }
}

fn unix_seconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_secs())
}

/// Claim of one request on its idempotency key.
#[derive(Debug, Clone)]
pub struct KeyClaim {
    /// Directory of the entry process.
    pub directory: Directory<Mail>,
    /// Name of the customer that sent the request.
    pub customer: String,
    /// Hash of the customer and the key.
    pub key: KeyHash,
    /// Time at which the key expires, in Unix seconds.
    pub expires_s: u64,
    /// Ticket that may hold the key for the request: its own, or that of an equal request.
    pub ticket: Option<Ticket>,
}

impl KeyClaim {
    /// Creates a claim without a ticket; nothing is recorded yet.
    #[must_use]
    pub fn new(directory: Directory<Mail>, customer: &str, key: &str, expires_s: u64) -> Self {
        Self {
            directory,
            customer: customer.to_owned(),
            key: KeyHash::of(customer, key),
            expires_s,
            ticket: None,
        }
    }

    /// Claims the key for a ticket and releases the previous ticket, which is proven not to run.
    pub async fn claim(
        &mut self,
        configuration: &Configuration,
        target: ClaimTarget,
    ) -> ClaimVerdict {
        let record = ClaimRecord {
            customer: self.customer.clone(),
            key: self.key,
            released: self.ticket.take(),
            target: Some(target),
            expires_s: self.expires_s,
        };
        ask_coordinators(
            &self.directory,
            &coordinators(configuration, self.key),
            &record,
        )
        .await
    }

    /// Releases the key from a ticket that has not run and will not run. If the release is lost, a
    /// later request with the key has to prove again that the ticket does not run.
    pub fn release(&mut self, configuration: &Configuration) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let record = ClaimRecord {
            customer: self.customer.clone(),
            key: self.key,
            released: Some(ticket),
            target: None,
            expires_s: self.expires_s,
        };
        let coordinators = coordinators(configuration, self.key);
        let directory = self.directory.clone();
        tokio::spawn(async move { ask_coordinators(&directory, &coordinators, &record).await });
    }
}

async fn ask_coordinators(
    directory: &Directory<Mail>,
    coordinators: &[SocketAddr],
    record: &ClaimRecord,
) -> ClaimVerdict {
    for address in coordinators {
        let calls = SidecarCalls {
            directory: directory.clone(),
            address: *address,
        };
        // Any sidecar can coordinate, so one that does not reply is skipped.
        if let Some(verdict) = calls.claim(record, COORDINATOR_TIMEOUT).await {
            return verdict;
        }
    }
    ClaimVerdict::Unavailable
}

fn coordinators(configuration: &Configuration, key: KeyHash) -> Vec<SocketAddr> {
    let upstreams = configuration.upstreams.iter().map(|(_, upstream)| upstream);
    let active: Vec<_> = upstreams.filter(|upstream| !upstream.retired).collect();
    let names: Vec<&str> = active
        .iter()
        .map(|upstream| upstream.name.as_str())
        .collect();
    let order = key.partition().coordinator_order(&names);
    let address = |name: &&str| {
        let upstream = active.iter().find(|upstream| upstream.name == **name);
        upstream.map(|upstream| upstream.sidecar)
    };
    let addresses = order.iter().filter_map(address);
    addresses.take(MAX_COORDINATORS_ASKED).collect()
}
