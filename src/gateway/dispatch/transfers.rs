//! Records of the store that instances read from each other in pieces, because they are too large
//! for a gossip message.

use std::time::Duration;

use super::gossip::is_continued;
use super::state::DispatchState;
use crate::decide::ids::LogPosition;
use crate::decide::keyed_view::{KeyedRecord, KeyedView};
use crate::decide::record_transfer::{TransferCursor, page_at};
use crate::events::{TRANSFER_BROKEN, log_event};
use crate::gateway::mail::{GatewayMail, RecordSource, TransferredRecords};
use crate::kernel::{Moment, Turn};
use crate::wire::peer_rpc::{GossipMessage, WireTopic};
use crate::wire::records_call::{WireRecordPage, WireRecordsCall, WireRecordsReply};

/// Most bytes of values of one topic in a gossip message. The messages of one round arrive together,
/// and together they have to fit through a link of 10 Mbps well within the time of an exchange.
const MAX_GOSSIP_BYTES: usize = 16 * 1024;

/// Time after a page of a transfer for which this instance does not read the topic from the store
/// itself, which would halve the bandwidth of the transfer.
const TRANSFER_PATIENCE: Duration = Duration::from_millis(600);

/// Time after a response without records for which callers that have them count as their sources too.
const WANTED_TIME: Duration = Duration::from_secs(1);

/// Returns the records of a topic from a position on, if they are complete and fit into a gossip
/// message.
pub(super) fn gossip_records(view: &KeyedView, from: LogPosition) -> Option<Vec<KeyedRecord>> {
    if !view.covers(from) {
        return None;
    }
    let records = view.since(from);
    let values = records.iter().filter_map(|record| record.value.as_ref());
    let bytes: usize = values.map(bytes::Bytes::len).sum();
    (bytes <= MAX_GOSSIP_BYTES).then_some(records)
}

impl DispatchState {
    /// Returns records at the request of another instance.
    pub(super) fn read_records(&mut self, now: Moment, call: &WireRecordsCall) -> WireRecordsReply {
        if self.is_leaving || !self.reader_seats.admit(now, call.caller) {
            return WireRecordsReply::Busy;
        }
        let Some(page) = page_at(self.view(call.topic), TransferCursor::from(call)) else {
            self.reader_seats.release(call.caller);
            return WireRecordsReply::Behind;
        };
        if page.is_last {
            self.reader_seats.release(call.caller);
        }
        let bytes = page.pieces.iter().map(|piece| piece.part.len()).sum();
        self.counters.count_record_bytes("sent", bytes);
        match WireRecordPage::try_from(page) {
            Ok(page) => WireRecordsReply::Page(page),
            Err(error) => {
                log_event(&TRANSFER_BROKEN, &[("reason", &error)]);
                WireRecordsReply::Busy
            }
        }
    }

    /// Tells the I/O task that reads records which instance has records that this one lacks.
    pub(super) fn announce_source(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        topic: WireTopic,
        gossip: &GossipMessage,
        is_response: bool,
    ) {
        let now = turn.now;
        let health = self.health_mut(topic);
        if is_response {
            // The response has left the records out for their size.
            health.wanted_until = now.after(WANTED_TIME);
        } else if health.wanted_until.is_due(now) {
            // The next response brings the records unless they are large.
            return;
        }
        let Some(address) = gossip.address else {
            return;
        };
        let source = RecordSource {
            topic,
            from: self.view(topic).next,
            address,
            is_local: gossip.data_centre() == Some(self.identity.data_centre),
        };
        turn.send("record-reader", GatewayMail::RecordSource(source));
    }

    /// Applies records that were read from another instance.
    pub(super) fn apply_transferred(
        &mut self,
        turn: &mut Turn<'_, GatewayMail>,
        transferred: &TransferredRecords,
    ) {
        let TransferredRecords {
            topic,
            from,
            ref records,
            end,
        } = *transferred;
        self.health_mut(topic).transferred_at = turn.now;
        let values = records.iter().filter_map(|record| record.value.as_ref());
        let bytes = values.map(bytes::Bytes::len).sum();
        self.counters.count_record_bytes("received", bytes);
        let own = self.view(topic).next;
        let end = end.filter(|end| is_continued(own, from, *end));
        self.apply_forwarded(turn, topic, records, end.unwrap_or_default());
    }

    /// Returns until when a transfer of a topic counts as running.
    pub(super) fn transfer_end(&self, topic: WireTopic) -> Moment {
        self.health(topic).transferred_at.after(TRANSFER_PATIENCE)
    }
}
