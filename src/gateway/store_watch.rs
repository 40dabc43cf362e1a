//! I/O tasks that follow the two topics of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep_until;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, ReadNeed, TopicRecords};
use crate::decide::ids::LogOffset;
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::store_client::{
    OPERATOR_TOPIC, StoreClient, StoreError, StoreRead, UPSTREAM_TOPIC,
};
use crate::platform::store_records::decode_keyed;
use crate::wire::peer_rpc::WireTopic;

/// Longest pause between two calls while the store does not answer.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// First such pause; it doubles with each failure.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How a topic is followed.
#[derive(Debug, Clone, Copy)]
struct WatchPlan {
    name: &'static str,
    topic: WireTopic,
    store_topic: &'static str,
    /// Time that the store holds a read back until there is a record.
    wait: Duration,
    /// Time between two reads; gathers the records of many upstreams into one call.
    pace: Duration,
}

/// What operators write is rare and must be in force soon. Only the end of a wait confirms that nothing
/// newer is there, and others read themselves once that is 1.2 s old.
const OPERATOR_WATCH: WatchPlan = WatchPlan {
    name: "operator-watch",
    topic: WireTopic::Operator,
    store_topic: OPERATOR_TOPIC,
    wait: Duration::from_millis(600),
    pace: Duration::ZERO,
};

/// Upstreams write all the time; a change must be in force within the draining time.
const UPSTREAM_WATCH: WatchPlan = WatchPlan {
    name: "upstream-watch",
    topic: WireTopic::Upstream,
    store_topic: UPSTREAM_TOPIC,
    wait: Duration::from_secs(1),
    pace: Duration::from_millis(400),
};

/// Creates the I/O task that follows what operators write.
#[must_use]
pub fn operator_watch(store: SocketAddr) -> IoTask<GatewayMail> {
    watch_task(OPERATOR_WATCH, store)
}

/// Creates the I/O task that follows what upstreams write.
#[must_use]
pub fn upstream_watch(store: SocketAddr) -> IoTask<GatewayMail> {
    watch_task(UPSTREAM_WATCH, store)
}

fn watch_task(plan: WatchPlan, store: SocketAddr) -> IoTask<GatewayMail> {
    IoTask::new(plan.name, move |inbox, directory| {
        let watch = TopicWatch {
            plan,
            client: StoreClient::new(store),
            store,
            next: None,
            pause: RETRY_PAUSE,
            due: Moment::START,
        };
        watch.run(inbox, directory)
    })
}

/// State of one watch.
#[derive(Debug)]
struct TopicWatch {
    plan: WatchPlan,
    client: StoreClient,
    store: SocketAddr,
    /// Offset to read from; `None` when all newest records are to be read first.
    next: Option<LogOffset>,
    pause: Duration,
    due: Moment,
}

impl TopicWatch {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>, directory: Directory<GatewayMail>) {
        loop {
            let due = directory.clock().instant(self.due);
            let signal = tokio::select! {
                biased;
                signal = inbox.receive() => signal,
                () = sleep_until(due.into()), if !self.due.is_due(directory.now()) => continue,
                () = self.step(&directory), if self.due.is_due(directory.now()) => continue,
            };
            match signal {
                Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                    if settings.store_address != self.store {
                        self.store = settings.store_address;
                        self.client = StoreClient::new(self.store);
                    }
                }
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({"next": self.next.map(|next| next.0)}));
                }
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            }
        }
    }

    /// Makes one call, if one is needed, and tells `dispatch` what it brought.
    async fn step(&mut self, directory: &Directory<GatewayMail>) {
        let topic = self.plan.topic;
        let need = dispatch::ask(directory, |reply_to| {
            DispatchMail::ReadNeed(topic, reply_to)
        });
        match need.await {
            Some(ReadNeed::Later(due)) => {
                self.due = due;
                return;
            }
            // Records that others handed on need not be read again.
            Some(ReadNeed::Now(known)) => self.next = self.next.map(|next| next.max(known)),
            _ => {}
        }
        let started = directory.now();
        match self.call().await {
            Ok(Some(mail)) => {
                self.pause = RETRY_PAUSE;
                self.due = started.after(self.plan.pace);
                dispatch::tell(directory, mail);
            }
            Ok(None) => self.due = Moment::START,
            Err(error) => {
                let failed = DispatchMail::StoreFailed(topic, error.to_string());
                dispatch::tell(directory, failed);
                self.due = directory.now().after(self.pause);
                self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }

    async fn call(&mut self) -> Result<Option<DispatchMail>, StoreError> {
        let topic = self.plan.topic;
        let Some(from) = self.next else {
            let newest = self.client.newest(self.plan.store_topic).await?;
            self.next = Some(newest.end);
            return Ok(Some(DispatchMail::Newest(TopicRecords {
                topic,
                records: newest.records,
                next: newest.end,
            })));
        };
        let read = self
            .client
            .read(self.plan.store_topic, from, self.plan.wait);
        match read.await? {
            StoreRead::Deleted { .. } => {
                self.next = None;
                Ok(None)
            }
            StoreRead::Page(page) => {
                let next = page.next(from);
                self.next = Some(next);
                Ok(Some(DispatchMail::Records(TopicRecords {
                    topic,
                    records: page.records.iter().filter_map(decode_keyed).collect(),
                    next,
                })))
            }
        }
    }
}
