//! I/O task `record-reader`: reads store records from other instances that are too large for
//! gossip, one transfer for each topic, and forwards them to `dispatch`.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::task::JoinSet;

use super::dispatch;
use super::mail::{DispatchMail, GatewayMail, RecordSource, TransferredRecords};
use super::peer_connection::{ExchangeError, PeerConnection};
use crate::decide::record_transfer::{RecordPage, RecordTransfer, TransferStep};
use crate::events::{TRANSFER_BROKEN, TRANSFER_ENDED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal, whole_ms};
use crate::wire::peer_rpc::WireTopic;
use crate::wire::records_call::{WireRecordsCall, WireRecordsReply};

/// Name under which the I/O task is registered.
pub const NAME: &str = "record-reader";

/// Time for which an instance that has announced records is called for them; as long as it has them,
/// each exchange announces them again.
const SOURCE_LIFETIME: Duration = Duration::from_secs(2);

/// Time for which an instance that did not deliver a page is not called.
const SOURCE_PAUSE: Duration = Duration::from_millis(500);

/// Time for which an instance is not called that serves enough others.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Creates the I/O task `record-reader` of an instance with the given identifier.
#[must_use]
pub fn record_reader_task(own_id: u64) -> IoTask<GatewayMail> {
    IoTask::new(NAME, move |inbox, directory| {
        let reader = RecordReader {
            own_id,
            directory,
            transfers: Vec::new(),
            calls: JoinSet::new(),
        };
        reader.run(inbox)
    })
}

/// Instance from which records may be read.
#[derive(Debug, Clone, Copy)]
struct KnownSource {
    address: SocketAddr,
    is_local: bool,
    /// Time from which it may be called.
    open_from: Moment,
    /// Time from which it is called only after it has announced records again.
    expires_at: Moment,
}

/// Transfer of the records of one topic.
#[derive(Debug)]
struct TopicTransfer {
    topic: WireTopic,
    progress: RecordTransfer,
    started_at: Moment,
    sources: Vec<KnownSource>,
    is_calling: bool,
}

/// Result of one call for a page.
#[derive(Debug)]
struct CallEnd {
    topic: WireTopic,
    connection: PeerConnection,
    reply: Result<WireRecordsReply, ExchangeError>,
}

/// State of the I/O task.
#[derive(Debug)]
struct RecordReader {
    own_id: u64,
    directory: Directory<GatewayMail>,
    transfers: Vec<TopicTransfer>,
    calls: JoinSet<CallEnd>,
}

impl RecordReader {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>) {
        loop {
            tokio::select! {
                Some(ended) = self.calls.join_next() => {
                    if let Ok(end) = ended {
                        self.finish_call(end).await;
                    }
                }
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::RecordSource(source))) => self.add_source(source),
                    Some(Signal::Dump(reply_to)) => {
                        reply_to.send(serde_json::json!({"transfers": self.transfers.len()}));
                    }
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
            }
        }
    }

    /// Adds an instance that has announced records, and begins a transfer if none is running.
    fn add_source(&mut self, source: RecordSource) {
        let now = self.directory.now();
        let is_same = |transfer: &TopicTransfer| transfer.topic == source.topic;
        if !self.transfers.iter().any(is_same) {
            self.transfers.push(TopicTransfer {
                topic: source.topic,
                progress: RecordTransfer::new(source.from),
                started_at: now,
                sources: Vec::new(),
                is_calling: false,
            });
        }
        let Some(transfer) = self.transfers.iter_mut().find(|transfer| is_same(transfer)) else {
            return;
        };
        // The records before this offset have come on another way.
        if !transfer.is_calling && transfer.progress.cursor().from < source.from {
            transfer.progress = RecordTransfer::new(source.from);
        }
        transfer.add_source(now, source);
        self.call_next(source.topic, None);
    }

    /// Calls a source for the next page: the one of the last page, or else another one.
    fn call_next(&mut self, topic: WireTopic, current: Option<PeerConnection>) {
        let now = self.directory.now();
        let Some(transfer) = self.transfers.iter_mut().find(|known| known.topic == topic) else {
            return;
        };
        if transfer.is_calling {
            return;
        }
        let next = current.or_else(|| transfer.next_source(now).map(PeerConnection::new));
        let Some(mut connection) = next else {
            return;
        };
        transfer.is_calling = true;
        let call = WireRecordsCall::new(self.own_id, topic, transfer.progress.cursor());
        self.calls.spawn(async move {
            let reply = connection.read_records(call).await;
            CallEnd {
                topic,
                connection,
                reply,
            }
        });
    }

    async fn finish_call(&mut self, end: CallEnd) {
        let CallEnd {
            topic,
            connection,
            reply,
        } = end;
        let now = self.directory.now();
        let Some(transfer) = self.transfers.iter_mut().find(|known| known.topic == topic) else {
            return;
        };
        transfer.is_calling = false;
        let address = connection.address;
        let next = match reply {
            Ok(WireRecordsReply::Page(page)) => match RecordPage::try_from(page) {
                Ok(page) => self.apply_page(topic, page, connection).await,
                Err(error) => {
                    transfer.refuse_source(now, address, &error);
                    None
                }
            },
            Ok(WireRecordsReply::Busy | WireRecordsReply::Behind) => {
                transfer.pause_source(now, address, BUSY_PAUSE);
                None
            }
            Err(error) => {
                transfer.refuse_source(now, address, &error);
                None
            }
        };
        self.call_next(topic, next);
    }

    /// Applies a page; returns the connection for the next one if more is to come from its source.
    async fn apply_page(
        &mut self,
        topic: WireTopic,
        page: RecordPage,
        connection: PeerConnection,
    ) -> Option<PeerConnection> {
        let now = self.directory.now();
        let index = self
            .transfers
            .iter()
            .position(|known| known.topic == topic)?;
        let transfer = &mut self.transfers[index];
        let from = transfer.progress.cursor().from;
        let (records, end) = match transfer.progress.apply(page) {
            TransferStep::Continue(records) => (records, None),
            TransferStep::Complete(records, end) => (records, Some(end)),
            TransferStep::Mismatch => {
                transfer.refuse_source(now, connection.address, &"not a continuation");
                return None;
            }
        };
        let known = dispatch::ask(&self.directory, |reply_to| {
            let transferred = TransferredRecords {
                topic,
                from,
                records,
                end,
            };
            DispatchMail::TransferredRecords(transferred, reply_to)
        });
        // `dispatch` does not reply while the process shuts down.
        let known = known.await?;
        if end.is_none() && known <= from {
            return Some(connection);
        }
        let transfer = self.transfers.swap_remove(index);
        let took = now.since(transfer.started_at);
        log_event(
            &TRANSFER_ENDED,
            &[
                ("peer", &connection.address),
                ("next", &known.offset.0),
                ("complete", &end.is_some()),
                ("took_ms", &whole_ms(took)),
            ],
        );
        None
    }
}

impl TopicTransfer {
    fn add_source(&mut self, now: Moment, source: RecordSource) {
        self.sources.retain(|known| !known.expires_at.is_due(now));
        let expires_at = now.after(SOURCE_LIFETIME);
        let mut known = self.sources.iter_mut();
        if let Some(known) = known.find(|known| known.address == source.address) {
            known.expires_at = expires_at;
            return;
        }
        self.sources.push(KnownSource {
            address: source.address,
            is_local: source.is_local,
            open_from: now,
            expires_at,
        });
    }

    /// Returns the source to call next, which is one in the own data centre if there is one.
    fn next_source(&mut self, now: Moment) -> Option<SocketAddr> {
        self.sources.retain(|known| !known.expires_at.is_due(now));
        let open = self
            .sources
            .iter()
            .filter(|known| known.open_from.is_due(now));
        let best = open.min_by_key(|known| !known.is_local);
        best.map(|known| known.address)
    }

    /// Does not call a source for a time that did not deliver a page.
    fn refuse_source(&mut self, now: Moment, address: SocketAddr, reason: &dyn Display) {
        self.pause_source(now, address, SOURCE_PAUSE);
        let held = self.progress.cursor().held;
        log_event(
            &TRANSFER_BROKEN,
            &[("peer", &address), ("reason", &reason), ("held", &held)],
        );
    }

    fn pause_source(&mut self, now: Moment, address: SocketAddr, pause: Duration) {
        let mut known = self.sources.iter_mut();
        if let Some(known) = known.find(|known| known.address == address) {
            known.open_from = now.after(pause);
        }
    }
}
