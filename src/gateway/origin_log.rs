//! I/O task `origin-log`: publishes in the store at which software versions streams began, and reads what
//! other instances have published.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep_until;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, OriginNews};
use crate::decide::ids::{LogOffset, StoreEra};
use crate::decide::stream_origins::OriginRecord;
use crate::events::{RECORD_SKIPPED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, ReplyTo, Signal};
use crate::platform::settings_file::StoreLimits;
use crate::platform::store_client::{ORIGIN_TOPIC, StoreClient, StoreError, StoreRead};

/// Name under which the task is registered.
pub const NAME: &str = "origin-log";

/// Shortest time between two calls for the same purpose.
const MIN_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two steps per four instances while a version is not published, so that most instances
/// read that another one has published it.
const UNPUBLISHED_INTERVAL: Duration = Duration::from_millis(20);

/// Time after a failed call.
const FAILURE_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the calls that the store allows all instances, in percent.
const CALL_PERCENT: u64 = 5;

/// Number of times that a version is published in the time for which the store keeps records.
const REPEATS_IN_HISTORY: u32 = 4;

/// Maximum number of pages of one read.
const MAX_PAGES: usize = 64;

/// Creates the I/O task `origin-log`.
#[must_use]
pub fn origin_log_task(store: SocketAddr, limits: StoreLimits) -> IoTask<GatewayMail> {
    IoTask::new(NAME, move |inbox, directory| {
        let task = OriginLog {
            client: StoreClient::new(store),
            store,
            limits,
            next: LogOffset::default(),
            era: StoreEra(0),
            waiting: Vec::new(),
        };
        task.run(inbox, directory)
    })
}

/// State of the I/O task.
#[derive(Debug)]
struct OriginLog {
    client: StoreClient,
    store: SocketAddr,
    limits: StoreLimits,
    /// Offset below which all records were read.
    next: LogOffset,
    /// Era of the store to which `next` belongs.
    era: StoreEra,
    /// Requests that wait for a read.
    waiting: Vec<ReplyTo<bool>>,
}

impl OriginLog {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>, directory: Directory<GatewayMail>) {
        let mut due = directory.now();
        let mut earliest = due;
        loop {
            tokio::select! {
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::ReadOrigins(reply_to))) => {
                        self.waiting.push(reply_to);
                        due = earliest.max(directory.now()).min(due);
                    }
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        if settings.store_address != self.store {
                            self.store = settings.store_address;
                            self.client = StoreClient::new(self.store);
                        }
                    }
                    Some(Signal::Dump(reply_to)) => reply_to.send(
                        serde_json::json!({"next": self.next.0, "waiting": self.waiting.len()}),
                    ),
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
                () = sleep_until(directory.clock().instant(due).into()) => {
                    let pause = self.step(&directory).await;
                    earliest = directory.now().after(pause);
                    due = earliest;
                }
            }
        }
    }

    /// Reads and publishes what is due, and returns the time until the next step.
    async fn step(&mut self, directory: &Directory<GatewayMail>) -> Duration {
        let Some(mut news) = ask_news(directory, self.limits).await else {
            return MIN_INTERVAL;
        };
        let waiting = std::mem::take(&mut self.waiting);
        let mut is_failed = false;
        // Another instance may have published the versions.
        if news.needs_read || !waiting.is_empty() || !news.record.listed.is_empty() {
            is_failed = self.read(directory, &news).await.is_err();
            for reply_to in waiting {
                reply_to.send(!is_failed);
            }
            match ask_news(directory, self.limits).await {
                Some(newer) => news = newer,
                None => return MIN_INTERVAL,
            }
        }
        if !is_failed && !news.needs_read && !news.record.is_empty() {
            is_failed = self.publish(directory, news.record).await.is_err();
        }
        if is_failed {
            FAILURE_INTERVAL
        } else if news.is_published {
            self.interval(news.fleet_size)
        } else {
            UNPUBLISHED_INTERVAL
                * u32::try_from(news.fleet_size)
                    .unwrap_or(u32::MAX)
                    .div_ceil(4)
        }
    }

    /// Returns the time between two steps, with which all instances keep to their share of the calls.
    fn interval(&self, fleet_size: usize) -> Duration {
        let share = (self.limits.writes_per_s * CALL_PERCENT).max(1);
        let interval_ms = fleet_size as u64 * 100_000 / share;
        Duration::from_millis(interval_ms).max(MIN_INTERVAL)
    }

    /// Publishes a record.
    async fn publish(
        &mut self,
        directory: &Directory<GatewayMail>,
        record: OriginRecord,
    ) -> Result<(), StoreError> {
        let appended = self
            .client
            .append(ORIGIN_TOPIC, &Bytes::from(&record))
            .await;
        if self.enter_era(directory) {
            return Ok(());
        }
        appended?;
        dispatch::tell(directory, DispatchMail::OriginsPublished(record));
        Ok(())
    }

    /// Reads all that was published since the last read.
    async fn read(
        &mut self,
        directory: &Directory<GatewayMail>,
        news: &OriginNews,
    ) -> Result<(), StoreError> {
        for _page in 0..MAX_PAGES {
            let read = self
                .client
                .read(ORIGIN_TOPIC, self.next, Duration::ZERO)
                .await;
            if self.enter_era(directory) {
                continue;
            }
            let page = match read? {
                StoreRead::Page(page) => page,
                StoreRead::Deleted { first } => {
                    self.next = first;
                    continue;
                }
            };
            let records = page.records.iter();
            let records: Vec<OriginRecord> = records
                .filter_map(
                    |record| match OriginRecord::try_from(record.body.as_ref()) {
                        Ok(decoded) => Some(decoded),
                        Err(error) => {
                            let fields = [record.offset.0.to_string(), error.to_string()];
                            log_event(
                                &RECORD_SKIPPED,
                                &[("offset", &fields[0]), ("reason", &fields[1])],
                            );
                            None
                        }
                    },
                )
                .collect();
            self.next = page.next(self.next);
            let is_end = page.records.is_empty() || self.next >= page.end;
            let complete_since = is_end.then_some(news.gaps);
            dispatch::tell(
                directory,
                DispatchMail::OriginsRead(records, complete_since),
            );
            if is_end {
                return Ok(());
            }
        }
        Err(StoreError::TooManyPages)
    }

    /// Enters an era in which the store has come back from an older copy; returns `false` if it is known.
    fn enter_era(&mut self, directory: &Directory<GatewayMail>) -> bool {
        let era = self.client.era();
        if era <= self.era {
            return false;
        }
        let is_first = self.era == StoreEra(0) && self.next == LogOffset::default();
        self.era = era;
        if is_first {
            return false;
        }
        self.next = LogOffset::default();
        dispatch::tell(directory, DispatchMail::OriginsLost);
        true
    }
}

async fn ask_news(directory: &Directory<GatewayMail>, limits: StoreLimits) -> Option<OriginNews> {
    let repeat_interval = limits.history / REPEATS_IN_HISTORY;
    let news = dispatch::ask(directory, |reply_to| {
        DispatchMail::BuildOriginNews(repeat_interval, reply_to)
    });
    news.await
}
