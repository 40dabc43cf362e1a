//! I/O task `suspect-feed` of a sidecar: tells the other sidecars of the model about suspects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::task::JoinSet;

use crate::decide::config::{Configuration, UpstreamKind};
use crate::decide::suspect_guard::SuspectUpdate;
use crate::kernel::{Directory, Inbox, IoTask, Signal};
use crate::services::common::mail::{ConfigMail, Mail};
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::services::configuration::config::CONFIG;

/// Name of the task.
pub const SUSPECT_FEED: &str = "suspect-feed";

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Calls under way at the same time for one piece of news.
const MAX_CALLS: usize = 32;

/// Rounds of news under way at the same time; further news wait in the mailbox.
const MAX_ROUNDS: usize = 16;

/// Creates the task `suspect-feed` of the named upstream's sidecar.
#[must_use]
pub fn suspect_feed_task(upstream: String) -> IoTask<Mail> {
    IoTask::new(SUSPECT_FEED, move |inbox, directory| {
        run(upstream, inbox, directory)
    })
}

async fn run(upstream: String, mut inbox: Inbox<Mail>, directory: Directory<Mail>) {
    let mut rounds = JoinSet::new();
    loop {
        tokio::select! {
            Some(_ended) = rounds.join_next() => {}
            signal = inbox.receive(), if rounds.len() < MAX_ROUNDS => match signal {
                Some(Signal::Mail(Mail::SuspectFeed(news))) => {
                    rounds.spawn(tell(upstream.clone(), news, directory.clone()));
                }
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"rounds": rounds.len()}));
                }
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            },
        }
    }
}

async fn tell(upstream: String, news: Vec<SuspectUpdate>, directory: Directory<Mail>) {
    let question = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
    let Some(configuration) = directory.ask(CONFIG, question).await else {
        return;
    };
    let news = Arc::new(news);
    let calls = peers(&configuration, &upstream).into_iter().map(|address| {
        let calls = SidecarCalls {
            directory: directory.clone(),
            address,
        };
        let news = Arc::clone(&news);
        async move {
            // Sent again once; news that is lost costs another crash at most.
            if !calls.suspect(&news, CALL_TIMEOUT).await {
                calls.suspect(&news, CALL_TIMEOUT).await;
            }
        }
    });
    let mut calls = futures::stream::iter(calls).buffer_unordered(MAX_CALLS);
    while calls.next().await.is_some() {}
}

fn peers(configuration: &Configuration, own: &str) -> Vec<SocketAddr> {
    let upstreams = || configuration.upstreams.iter().map(|(_, upstream)| upstream);
    let model_of = |kind: &UpstreamKind| match kind {
        UpstreamKind::Engine { model, .. } => Some(model.clone()),
        UpstreamKind::Plain { .. } => None,
    };
    let own_model = upstreams()
        .find(|upstream| upstream.name == own)
        .and_then(|upstream| model_of(&upstream.kind));
    let Some(own_model) = own_model else {
        return Vec::new();
    };
    upstreams()
        .filter(|upstream| upstream.name != own)
        .filter(|upstream| model_of(&upstream.kind).as_ref() == Some(&own_model))
        .map(|upstream| upstream.sidecar)
        .collect()
}
