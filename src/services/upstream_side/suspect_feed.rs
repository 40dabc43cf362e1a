//! I/O task `suspect-feed` of a sidecar: sends suspect updates to the other sidecars of the model.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::task::JoinSet;

use crate::decide::config::{Configuration, Upstream};
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::services::common::mail::{ConfigMail, Mail};
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::services::configuration::config::CONFIG;

/// Name of the I/O task `suspect-feed`.
pub const SUSPECT_FEED: &str = "suspect-feed";

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of concurrent calls in one broadcast.
const MAX_CALLS: usize = 32;

/// Maximum number of concurrent broadcasts; further updates wait in the mailbox.
const MAX_BROADCASTS: usize = 16;

/// Creates the I/O task `suspect-feed` of the sidecar of `upstream`.
#[must_use]
pub fn suspect_feed_task(upstream: String) -> IoTask<Mail> {
    IoTask::new(SUSPECT_FEED, move |inbox, directory| {
        run(upstream, inbox, directory)
    })
}

async fn run(upstream: String, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut broadcasts = JoinSet::new();
    loop {
        tokio::select! {
            Some(_ended) = broadcasts.join_next() => {}
            signal = inbox.receive(), if broadcasts.len() < MAX_BROADCASTS => match signal {
                Some(Signal::Mail(Mail::SuspectFeed(updates))) => {
                    broadcasts.spawn(broadcast(upstream.clone(), updates, directory.clone()));
                }
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"rounds": broadcasts.len()}));
                }
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
        }
    }
}

/// Sends updates to all other sidecars of the model in the current configuration.
async fn broadcast(upstream: String, updates: Vec<SuspectUpdate>, directory: Directory<Mail>) {
    let request = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
    let Some(configuration) = directory.ask(CONFIG, request).await else {
        return;
    };
    let updates = Arc::new(updates);
    let calls = peers(&configuration, &upstream).into_iter().map(|address| {
        let calls = SidecarCalls {
            directory: directory.clone(),
            address,
        };
        let updates = Arc::clone(&updates);
        async move {
            // Retried once; an update that is lost costs at most one more engine crash.
            if calls.suspect(&updates, CALL_TIMEOUT).await.is_err() {
                let _retried = calls.suspect(&updates, CALL_TIMEOUT).await;
            }
        }
    });
    let mut calls = futures::stream::iter(calls).buffer_unordered(MAX_CALLS);
    while calls.next().await.is_some() {}
}

/// Returns the sidecar addresses of the other upstreams that serve the model of `own`.
fn peers(configuration: &Configuration, own: &str) -> Vec<SocketAddr> {
    let upstreams = || configuration.upstreams.iter().map(|(_, upstream)| upstream);
    let own_model = upstreams()
        .find(|upstream| upstream.name == own)
        .and_then(Upstream::model);
    let Some(own_model) = own_model else {
        return Vec::new();
    };
    upstreams()
        .filter(|upstream| upstream.name != own && upstream.model() == Some(own_model))
        .map(|upstream| upstream.sidecar)
        .collect()
}
