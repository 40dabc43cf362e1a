//! I/O task `cache-watch` of a sidecar: follows the events of the engine's KV cache.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::Method;
use serde::de::DeserializeOwned;

use super::engine_notice::{report, wait_for_pause_end};
use crate::decide::cache_index::{CacheList, CachePage, IndexStep};
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::platform::http_client;
use crate::services::common::mail::{LedgerMail, Mail};
use crate::wire::cache_feed::{WireCacheKeys, WireCachePage};

/// Long-poll wait in milliseconds: the engine responds after it even without events.
const EVENTS_WAIT_MS: u64 = 1_000;

/// Timeout of one fetch, including the long-poll wait.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause after a failed fetch or a gap in the event sequence.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Pause after each fetch, so that a busy engine returns events in batches.
const BATCH_PAUSE: Duration = Duration::from_millis(25);

/// Creates the I/O task `cache-watch` for the engine at the address.
#[must_use]
pub fn cache_watch_task(engine: SocketAddr) -> IoTask<Mail> {
    IoTask::new("cache-watch", move |inbox, directory| {
        run(engine, inbox, directory)
    })
}

async fn run(engine: SocketAddr, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let follower = follow(engine, directory);
    tokio::pin!(follower);
    loop {
        tokio::select! {
            signal = inbox.receive() => match signal {
                Some(Signal::Dump(reply_to)) => reply_to.send(serde_json::Value::Null),
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
            () = &mut follower => return,
        }
    }
}

/// Fetches events from one sequence number to the next, and the full list of keys after a gap.
async fn follow(engine: SocketAddr, directory: Directory<Mail>) {
    let mut step = IndexStep::Resync;
    loop {
        wait_for_pause_end(&directory).await;
        let next = match step {
            IndexStep::Follow(sequence) => fetch_events(engine, &directory, sequence).await,
            IndexStep::Resync => fetch_keys(engine, &directory).await,
        };
        let pause = match next {
            Some(IndexStep::Follow(_)) => BATCH_PAUSE,
            Some(IndexStep::Resync) | None => RETRY_PAUSE,
        };
        step = next.unwrap_or(IndexStep::Resync);
        tokio::time::sleep(pause).await;
    }
}

/// Sends a page of events to the ledger; returns its next step, or `None` if the fetch failed.
async fn fetch_events(
    engine: SocketAddr,
    directory: &Directory<Mail>,
    sequence: u64,
) -> Option<IndexStep> {
    let path = format!("/cache/events?from={sequence}&wait_ms={EVENTS_WAIT_MS}");
    let page: WireCachePage = fetch(engine, directory, &path).await?;
    let page = CachePage::try_from(page).ok()?;
    let request = |reply_to| Mail::Ledger(LedgerMail::CacheEvents(page, reply_to));
    directory.ask("ledger", request).await
}

/// Sends the full list of keys to the ledger; returns its next step, or `None` on failure.
async fn fetch_keys(engine: SocketAddr, directory: &Directory<Mail>) -> Option<IndexStep> {
    let list: WireCacheKeys = fetch(engine, directory, "/cache/keys").await?;
    let list = CacheList::try_from(list).ok()?;
    let request = |reply_to| Mail::Ledger(LedgerMail::CacheKeys(list, reply_to));
    directory.ask("ledger", request).await
}

async fn fetch<T: DeserializeOwned>(
    engine: SocketAddr,
    directory: &Directory<Mail>,
    path: &str,
) -> Option<T> {
    let request = http_client::request(Method::GET, engine, path);
    let request = request.body(Full::default()).ok()?;
    let response = http_client::call(engine, request, FETCH_TIMEOUT).await;
    let response = response.ok()?;
    report(directory, engine, response.status, &response.headers).await;
    serde_json::from_slice(&response.body).ok()
}
