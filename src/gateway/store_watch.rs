//! I/O tasks that read the two topics of the platform's store and forward the records to
//! `dispatch`.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep_until;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, ReadNeed, TopicRecords};
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::events::{LISTING_INCOMPLETE, STORE_RESTORED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::store_client::{
    OPERATOR_TOPIC, RESPONSE_TIMEOUT, StoreClient, StoreError, StoreRead, UPSTREAM_TOPIC,
};
use crate::platform::store_records::{StorePage, decode_keyed};
use crate::wire::peer_rpc::WireTopic;

/// Maximum delay between two attempts while the store does not respond.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(600);

/// Delay after the first failed attempt; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for the response to a read, in addition to its long poll, while the store responds, and for
/// each part of a large one. A late response counts as a failure, so that requests do not wait for
/// it; the next reads get the client's longer time.
const USUAL_PATIENCE: Duration = Duration::from_millis(500);

/// Parameters for reading a topic.
#[derive(Debug, Clone, Copy)]
struct TopicParameters {
    /// Name under which the I/O task is registered.
    name: &'static str,
    topic: WireTopic,
    /// Name of the topic in the store.
    store_topic: &'static str,
    /// Time for which the store delays its response to a read until there is a record.
    long_poll: Duration,
    /// Minimum time between the starts of two reads; a longer one collects the records of many
    /// upstreams in one read.
    interval: Duration,
}

/// Operators write rarely and their records must take effect soon. Only a read that ends without
/// a record confirms that there is no newer one, and other instances start to read themselves
/// when the last confirmation is 1.2 s old.
const OPERATOR_PARAMETERS: TopicParameters = TopicParameters {
    name: "operator-watch",
    topic: WireTopic::Operator,
    store_topic: OPERATOR_TOPIC,
    long_poll: Duration::from_millis(600),
    interval: Duration::ZERO,
};

/// Upstreams write continuously; a change must take effect while a draining upstream still
/// accepts requests. A read that ends without a record confirms as late as an operators' read.
const UPSTREAM_PARAMETERS: TopicParameters = TopicParameters {
    name: "upstream-watch",
    topic: WireTopic::Upstream,
    store_topic: UPSTREAM_TOPIC,
    long_poll: Duration::from_millis(600),
    interval: Duration::from_millis(400),
};

/// Creates the I/O task that reads the operators' records.
#[must_use]
pub fn operator_watch(store: SocketAddr) -> IoTask<GatewayMail> {
    topic_task(OPERATOR_PARAMETERS, store)
}

/// Creates the I/O task that reads the upstreams' records.
#[must_use]
pub fn upstream_watch(store: SocketAddr) -> IoTask<GatewayMail> {
    topic_task(UPSTREAM_PARAMETERS, store)
}

fn topic_task(parameters: TopicParameters, store: SocketAddr) -> IoTask<GatewayMail> {
    IoTask::new(parameters.name, move |inbox, directory| {
        let watch = TopicWatch {
            parameters,
            client: StoreClient::new(store),
            store,
            era: StoreEra(0),
            next: None,
            retry_delay: INITIAL_RETRY_DELAY,
            due: Moment::START,
            is_current: false,
        };
        watch.run(inbox, directory)
    })
}

/// State of the I/O task that reads one topic.
#[derive(Debug)]
struct TopicWatch {
    parameters: TopicParameters,
    client: StoreClient,
    store: SocketAddr,
    /// Highest era that the store has stated.
    era: StoreEra,
    /// Position of the next read; `None` if a snapshot of all current records is to be read first.
    next: Option<LogPosition>,
    /// Delay after the next failure.
    retry_delay: Duration,
    /// Time of the next read.
    due: Moment,
    /// Whether the last read succeeded and no pause followed, so that what is known is recent.
    is_current: bool,
}

impl TopicWatch {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>, directory: Directory<GatewayMail>) {
        loop {
            let due = directory.clock().instant(self.due);
            let signal = tokio::select! {
                biased;
                signal = inbox.receive() => signal,
                () = sleep_until(due.into()), if !self.due.is_due(directory.now()) => continue,
                () = self.poll(&directory), if self.due.is_due(directory.now()) => continue,
            };
            match signal {
                Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                    if settings.store_address != self.store {
                        self.store = settings.store_address;
                        self.client = StoreClient::new(self.store);
                    }
                }
                Some(Signal::Dump(reply_to)) => {
                    reply_to.send(serde_json::json!({
                        "era": self.era.0,
                        "next": self.next.map(|next| next.offset.0),
                    }));
                }
                Some(Signal::Stop) | None => return,
                Some(_) => {}
            }
        }
    }

    /// Reads once, if `dispatch` asks for it, and forwards the result to `dispatch`.
    async fn poll(&mut self, directory: &Directory<GatewayMail>) {
        let topic = self.parameters.topic;
        let need = dispatch::ask(directory, |reply_to| {
            DispatchMail::ReadNeed(topic, reply_to)
        });
        match need.await {
            Some(ReadNeed::Later(due)) => {
                self.due = due;
                self.is_current = false;
                return;
            }
            // Records that other instances have forwarded are skipped.
            Some(ReadNeed::Now(known)) => {
                let next = self.next.filter(|next| next.era <= known.era);
                self.next = next.map(|next| next.max(known));
            }
            Some(ReadNeed::Listing) => self.next = None,
            None => {}
        }
        let started = directory.now();
        let read = self.read(directory).await;
        self.report_era(directory);
        match read {
            Ok(Some(mail)) => {
                self.retry_delay = INITIAL_RETRY_DELAY;
                self.is_current = true;
                self.due = started.after(self.parameters.interval);
                dispatch::tell(directory, mail);
            }
            Ok(None) => self.due = Moment::START,
            Err(error) => {
                let failure = DispatchMail::StoreFailed(topic, error.to_string());
                dispatch::tell(directory, failure);
                self.is_current = false;
                self.due = directory.now().after(self.retry_delay);
                self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }

    /// Logs that the store has come back from an older copy, and tells `orders`.
    fn report_era(&mut self, directory: &Directory<GatewayMail>) {
        let era = self.client.era();
        if era <= self.era {
            return;
        }
        self.era = era;
        let topic = self.parameters.store_topic;
        let next = self.next.map_or(0, |next| next.offset.0);
        log_event(
            &STORE_RESTORED,
            &[("era", &era.0), ("topic", &topic), ("next", &next)],
        );
        directory.send("orders", GatewayMail::StoreEra(era));
    }

    /// Reads a snapshot or the next records; `None` if the records at `next` have been deleted or the
    /// store has come back from an older copy, so that a snapshot has to be read.
    async fn read(
        &mut self,
        directory: &Directory<GatewayMail>,
    ) -> Result<Option<DispatchMail>, StoreError> {
        let topic = self.parameters.topic;
        let started = directory.now();
        let Some(from) = self.next else {
            self.client.set_patience(RESPONSE_TIMEOUT);
            return self.read_listing(started).await.map(Some);
        };
        // What is known may be too old to wait for the next record.
        let long_poll = if self.is_current {
            self.parameters.long_poll
        } else {
            Duration::ZERO
        };
        let has_failed = self.retry_delay != INITIAL_RETRY_DELAY;
        self.client.set_patience(if has_failed {
            RESPONSE_TIMEOUT
        } else {
            USUAL_PATIENCE
        });
        let read = self
            .client
            .read(self.parameters.store_topic, from.offset, long_poll);
        let read = read.await?;
        let era = self.client.era();
        if era < from.era {
            return Err(StoreError::UnknownEra);
        }
        match read {
            StoreRead::Page(page) if era == from.era => {
                let offset = page.next(from.offset);
                let next = LogPosition { era, offset };
                self.next = Some(next);
                let read = ReadTimes {
                    started,
                    long_poll,
                    ended: directory.now(),
                };
                let confirmed_at = read.confirmed_at(&page, from.offset);
                let keyed = |record| decode_keyed(era, record);
                Ok(Some(DispatchMail::Records(TopicRecords {
                    topic,
                    records: page.records.iter().filter_map(keyed).collect(),
                    next,
                    confirmed_at,
                })))
            }
            StoreRead::Page(_) | StoreRead::Deleted { .. } => {
                self.next = None;
                Ok(None)
            }
        }
    }

    /// Reads all current records; if they cannot all be listed, those that can, to be followed by the
    /// records of the topic from the oldest one on.
    async fn read_listing(&mut self, started: Moment) -> Result<DispatchMail, StoreError> {
        let store_topic = self.parameters.store_topic;
        let listed = self.client.list(store_topic).await?;
        if !listed.is_complete || listed.skipped > 0 {
            log_event(
                &LISTING_INCOMPLETE,
                &[
                    ("topic", &store_topic),
                    ("listed", &listed.records.len()),
                    ("skipped", &listed.skipped),
                    ("complete", &listed.is_complete),
                ],
            );
        }
        let next = if listed.is_complete {
            listed.end
        } else {
            LogPosition {
                era: listed.end.era,
                offset: self.client.oldest(store_topic).await?,
            }
        };
        self.next = Some(next);
        let records = |confirmed_at| TopicRecords {
            topic: self.parameters.topic,
            records: listed.records,
            next,
            confirmed_at,
        };
        Ok(if listed.is_complete {
            DispatchMail::Snapshot(records(started))
        } else {
            DispatchMail::PartialSnapshot(records(Moment::START))
        })
    }
}

/// Times of a read from a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimes {
    /// Time before the read was sent.
    pub started: Moment,
    /// Time for which the store was asked to wait for a record.
    pub long_poll: Duration,
    /// Time at which the response was received.
    pub ended: Moment,
}

impl ReadTimes {
    /// Returns a time at which the topic had no record after the page that was read from the
    /// offset `from`; [`Moment::START`] if it had more. The response may have been in transit for
    /// any time, so only the start of the read counts, and the long poll if it brought no record.
    #[must_use]
    pub fn confirmed_at(self, page: &StorePage, from: LogOffset) -> Moment {
        let poll_end = self.started.after(self.long_poll);
        if page.next(from) < page.end {
            Moment::START
        } else if page.records.is_empty() && poll_end.is_due(self.ended) {
            poll_end
        } else {
            self.started
        }
    }
}
