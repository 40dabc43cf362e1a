//! Idempotency key of one request in an entry: its claim, its holder, its release.

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

/// Header with the key.
const KEY_HEADER: &str = "idempotency-key";

/// Header with the time in Unix seconds at which the caller made the key.
const CREATED_HEADER: &str = "idempotency-key-created";

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Homes of a partition that are asked for a verdict.
const MAX_HOMES_ASKED: usize = 3;

/// Time for one home.
const HOME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long keys are honoured; the log is expected to keep its records for a day.
const WINDOW: IdempotencyWindow = IdempotencyWindow {
    window_s: 2 * 60 * 60,
    skew_s: 60,
};

/// What the headers of a request say about its key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatedKey {
    /// There is none.
    Absent,
    /// A key that may be claimed until this time in Unix seconds.
    Valid(String, u64),
    /// A key that is too old to tell whether its request ran.
    Expired,
    /// A header cannot be understood.
    Malformed(&'static str),
}

/// Reads the key from the headers.
#[must_use]
pub fn stated_key(headers: &HeaderMap) -> StatedKey {
    let Some(key) = headers.get(KEY_HEADER) else {
        return StatedKey::Absent;
    };
    let key = key.to_str().unwrap_or("");
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return StatedKey::Malformed("idempotency-key has 1 to 256 visible ASCII characters");
    }
    let created = match headers.get(CREATED_HEADER) {
        None => None,
        Some(value) => match value.to_str().ok().and_then(|text| text.parse().ok()) {
            None => return StatedKey::Malformed("idempotency-key-created is in Unix seconds"),
            seconds => seconds,
        },
    };
    match key_age(WINDOW, unix_seconds(), created) {
        KeyAge::Valid(expires_s) => StatedKey::Valid(key.to_owned(), expires_s),
        KeyAge::Expired => StatedKey::Expired,
        KeyAge::Future => StatedKey::Malformed("idempotency-key-created lies in the future"),
    }
}

fn unix_seconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_secs())
}

/// The key of one request.
#[derive(Debug, Clone)]
pub struct KeyClaim {
    /// Mailboxes of the entry.
    pub directory: Directory<Mail>,
    /// Name of the customer.
    pub customer: String,
    /// Hash of customer and key.
    pub key: KeyHash,
    /// End of the key's validity, in Unix seconds.
    pub expires_s: u64,
    /// The ticket that may hold the key on behalf of the request, its own or one that it follows.
    pub ticket: Option<Ticket>,
}

impl KeyClaim {
    /// Creates the claim of a request that has yet to be made.
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

    /// Claims the key for a ticket and releases the one before, which is proved not to run.
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
        ask_homes(&self.directory, &homes(configuration, self.key), &record).await
    }

    /// Releases the key from a ticket that never ran and never will; a lost release only means
    /// that whoever sends the request again has to prove it anew.
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
        let homes = homes(configuration, self.key);
        let directory = self.directory.clone();
        tokio::spawn(async move { ask_homes(&directory, &homes, &record).await });
    }
}

async fn ask_homes(
    directory: &Directory<Mail>,
    homes: &[SocketAddr],
    record: &ClaimRecord,
) -> ClaimVerdict {
    for address in homes {
        let calls = SidecarCalls {
            directory: directory.clone(),
            address: *address,
        };
        // A home that cannot be asked is passed over; safety does not depend on who it is.
        if let Some(verdict) = calls.claim(record, HOME_TIMEOUT).await {
            return verdict;
        }
    }
    ClaimVerdict::Unavailable
}

fn homes(configuration: &Configuration, key: KeyHash) -> Vec<SocketAddr> {
    let upstreams = configuration.upstreams.iter().map(|(_, upstream)| upstream);
    let open: Vec<_> = upstreams.filter(|upstream| !upstream.retired).collect();
    let names: Vec<&str> = open.iter().map(|upstream| upstream.name.as_str()).collect();
    let order = key.partition().coordinator_order(&names);
    let address = |name: &&str| {
        let upstream = open.iter().find(|upstream| upstream.name == **name);
        upstream.map(|upstream| upstream.sidecar)
    };
    let addresses = order.iter().filter_map(address);
    addresses.take(MAX_HOMES_ASKED).collect()
}
