//! Transfer of store records between instances in pieces, against the log that they come from.

use std::time::Duration;

use bulrushslip::decide::ids::{LogOffset, LogPosition};
use bulrushslip::decide::keyed_view::{KeyedRecord, KeyedView};
use bulrushslip::decide::record_transfer::{
    PAGE_BYTES, ReaderSeats, RecordPage, RecordTransfer, TransferStep, page_at,
};
use bulrushslip::kernel::Moment;
use bulrushslip::wire::records_call::WireRecordPage;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEEDS: u64 = 2_000;

/// Pages after which a transfer has to be complete once the log grows no more.
const MAX_PAGES: usize = 400;

/// Returns a position in a store that has never come back from a copy.
fn position(offset: u64) -> LogPosition {
    LogOffset(offset).into()
}

fn record(key: &str, offset: u64, value: Option<Vec<u8>>) -> KeyedRecord {
    KeyedRecord {
        key: key.to_owned(),
        value: value.map(Bytes::from),
        position: position(offset),
    }
}

/// Log with the records of a few keys; some records repeat the value of their key.
#[derive(Default)]
struct KeyedLog {
    records: Vec<KeyedRecord>,
}

impl KeyedLog {
    fn append(&mut self, random: &mut StdRng) {
        let key = format!("k{}", random.random_range(0..8));
        let known = self.newest(&key, self.records.len());
        let value = match random.random_range(0..10) {
            0 => None,
            1..=4 if known.is_some() => known.map(|bytes| bytes.to_vec()),
            5 => Some(vec![
                random.random();
                random.random_range(1..4 * PAGE_BYTES)
            ]),
            _ => Some(vec![random.random(); random.random_range(1..2_000)]),
        };
        self.records
            .push(record(&key, self.records.len() as u64, value));
    }

    /// Returns the value of a key after so many records.
    fn newest(&self, key: &str, count: usize) -> Option<Bytes> {
        let mut records = self.records[..count].iter().rev();
        records.find(|record| record.key == key)?.value.clone()
    }

    /// Applies the records up to an offset to a view.
    fn advance(&self, view: &mut KeyedView, next: usize) {
        for record in &self.records[..next] {
            view.apply(record);
        }
        view.advance(position(next as u64));
    }
}

/// Guards against records that a reader misses when it goes on at another source, or when they are
/// replaced on the way.
#[test]
fn a_complete_transfer_has_all_newest_records_whatever_its_sources() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let mut log = KeyedLog::default();
        for _ in 0..random.random_range(1..40) {
            log.append(&mut random);
        }
        let mut reader = KeyedView::default();
        let known = random.random_range(0..=log.records.len());
        log.advance(&mut reader, known);
        let mut sources: Vec<KeyedView> = Vec::new();
        sources.resize_with(3, KeyedView::default);
        let mut transfer = RecordTransfer::new(reader.next);
        let mut pages = 0;
        let next = loop {
            pages += 1;
            assert!(pages < MAX_PAGES, "seed {seed}: no end");
            if pages < 20 && random.random_bool(0.5) {
                log.append(&mut random);
            }
            let index = random.random_range(0..sources.len());
            let own = usize::try_from(sources[index].next.offset.0).expect("a short log");
            let newest = random.random_range(own..=log.records.len());
            let newest = if pages < 20 {
                newest
            } else {
                log.records.len()
            };
            log.advance(&mut sources[index], newest);
            if sources[index].next < reader.next {
                continue;
            }
            let Some(page) = page_at(&sources[index], transfer.cursor()) else {
                continue;
            };
            let bytes: usize = page.pieces.iter().map(|piece| piece.part.len()).sum();
            assert!(bytes <= PAGE_BYTES, "seed {seed}: {bytes} bytes in a page");
            // A page may be lost on the way.
            if random.random_bool(0.2) {
                continue;
            }
            match transfer.apply(page) {
                TransferStep::Continue(records) => {
                    for record in &records {
                        reader.apply(record);
                    }
                }
                TransferStep::Complete(records, next) => {
                    for record in &records {
                        reader.apply(record);
                    }
                    break next;
                }
                TransferStep::Mismatch => panic!("seed {seed}: mismatch"),
            }
        };
        let count = usize::try_from(next.offset.0).expect("a short log");
        for key in 0..8 {
            let key = format!("k{key}");
            let expected = log.newest(&key, count);
            let is_newer = reader.position(&key).is_some_and(|known| known >= next);
            assert!(
                is_newer || reader.value(&key) == expected.as_ref(),
                "seed {seed}: {key} at {next:?}"
            );
        }
    }
}

#[test]
fn a_value_is_continued_at_another_source_where_the_first_one_stopped() {
    let value = vec![7; 3 * PAGE_BYTES];
    let mut sources = [KeyedView::default(), KeyedView::default()];
    for source in &mut sources {
        source.apply(&record("config", 4, Some(value.clone())));
        source.advance(position(5));
    }
    let mut transfer = RecordTransfer::new(position(4));
    let first = page_at(&sources[0], transfer.cursor()).expect("a page");
    assert_eq!(transfer.apply(first), TransferStep::Continue(Vec::new()));
    let second = page_at(&sources[1], transfer.cursor()).expect("a page");
    assert_eq!(second.pieces[0].start, PAGE_BYTES as u64);
    assert_eq!(transfer.apply(second), TransferStep::Continue(Vec::new()));
    let third = page_at(&sources[0], transfer.cursor()).expect("a page");
    let expected = vec![record("config", 4, Some(value))];
    assert_eq!(
        transfer.apply(third),
        TransferStep::Complete(expected, position(5))
    );
}

#[test]
fn a_source_behind_an_earlier_one_is_not_used() {
    let mut ahead = KeyedView::default();
    ahead.apply(&record("a", 9, Some(vec![1; 2 * PAGE_BYTES])));
    ahead.advance(position(10));
    let mut transfer = RecordTransfer::new(position(2));
    let page = page_at(&ahead, transfer.cursor()).expect("a page");
    transfer.apply(page);
    let mut behind = KeyedView::default();
    behind.apply(&record("a", 3, Some(vec![2])));
    behind.advance(position(9));
    assert_eq!(page_at(&behind, transfer.cursor()), None);
}

#[test]
fn pages_that_do_not_continue_a_transfer_are_refused() {
    let mut source = KeyedView::default();
    source.apply(&record("a", 3, Some(vec![1; 2 * PAGE_BYTES])));
    source.advance(position(4));
    let page = page_at(&source, RecordTransfer::new(position(0)).cursor()).expect("a page");
    let changed = |change: fn(&mut RecordPage)| {
        let mut page = page.clone();
        change(&mut page);
        let mut transfer = RecordTransfer::new(position(2));
        transfer.apply(page)
    };
    let mismatch = TransferStep::Mismatch;
    assert_eq!(changed(|page| page.pieces[0].start = 1), mismatch);
    assert_eq!(
        changed(|page| page.pieces[0].value_bytes = Some(1)),
        mismatch
    );
    assert_eq!(changed(|page| page.pieces[0].value_bytes = None), mismatch);
    assert_eq!(
        changed(|page| page.pieces[0].value_bytes = Some(u64::MAX)),
        mismatch
    );
    assert_eq!(
        changed(|page| page.pieces[0].position = position(1)),
        mismatch
    );
}

#[test]
fn a_source_serves_few_readers_until_they_are_done_or_silent() {
    let mut seats = ReaderSeats::default();
    let at = |ms| Moment::START.after(Duration::from_millis(ms));
    for reader in 1..=3 {
        assert!(seats.admit(at(0), reader));
    }
    assert!(!seats.admit(at(10), 4));
    assert!(seats.admit(at(300), 1), "a reader keeps its seat");
    seats.release(2);
    assert!(seats.admit(at(310), 4));
    assert!(!seats.admit(at(320), 5));
    assert!(seats.admit(at(450), 5), "reader 3 was silent");
}

/// Guards against pages of a peer that would fill the memory, or end the process.
#[test]
fn compressed_pages_are_bounded_and_must_match_their_pieces() {
    let mut source = KeyedView::default();
    for offset in 0..5 {
        let value = vec![u8::try_from(offset).expect("small"); 10_000];
        source.apply(&record(&format!("k{offset}"), offset, Some(value)));
    }
    source.advance(position(5));
    let page = page_at(&source, RecordTransfer::new(position(0)).cursor()).expect("a page");
    let wire = WireRecordPage::try_from(page.clone()).expect("a page");
    assert!(wire.parts.len() < 1_000, "{} bytes", wire.parts.len());
    assert_eq!(RecordPage::try_from(wire.clone()).expect("a page"), page);

    let mut short = wire.clone();
    short.pieces[4].part_bytes += 1;
    let mut long = wire.clone();
    long.pieces.pop();
    let mut garbled = wire.clone();
    garbled.parts = vec![0xff; 100];
    let mut bomb = page;
    bomb.pieces[0].part = Bytes::from(vec![0; 100 * PAGE_BYTES]);
    let bomb = WireRecordPage::try_from(bomb).expect("a page");
    for wire in [short, long, garbled, bomb] {
        RecordPage::try_from(wire).unwrap_err();
    }
}

/// Deletions that follow from one listing share a position.
#[test]
fn a_transfer_brings_all_deletions_that_share_a_position() {
    let mut source = KeyedView::default();
    let mut reader = KeyedView::default();
    for view in [&mut source, &mut reader] {
        for offset in 0..5 {
            let key = format!("k{offset}");
            view.apply(&record(&key, offset, Some(vec![1])));
        }
        view.advance(position(5));
    }
    source.apply(&record("large", 8, Some(vec![2; PAGE_BYTES])));
    let listed = [record("large", 8, Some(vec![2; PAGE_BYTES]))];
    for deletion in source.deletions_for_missing_keys(&listed, position(9)) {
        source.apply_newest(&deletion);
    }
    source.apply(&record("k9", 9, Some(vec![3; PAGE_BYTES])));
    source.advance(position(10));
    let mut transfer = RecordTransfer::new(reader.next);
    for _ in 0..MAX_PAGES {
        let page = page_at(&source, transfer.cursor()).expect("a page");
        match transfer.apply(page) {
            TransferStep::Continue(records) => {
                for record in &records {
                    reader.apply_newest(record);
                }
            }
            TransferStep::Complete(records, next) => {
                for record in &records {
                    reader.apply_newest(record);
                }
                reader.advance(next);
                break;
            }
            TransferStep::Mismatch => panic!("a mismatch at {:?}", transfer.cursor()),
        }
    }
    assert_eq!(reader.digest(), source.digest());
    assert_eq!(reader.digest().keys, 2);
}

#[test]
fn a_page_that_does_not_continue_a_transfer_takes_nothing_from_it() {
    let mut source = KeyedView::default();
    source.apply(&record("a", 0, Some(vec![1])));
    source.apply(&record("b", 1, Some(vec![2])));
    source.advance(position(2));
    let mut transfer = RecordTransfer::new(position(0));
    let begun = transfer.cursor();
    let mut page = page_at(&source, begun).expect("a page");
    page.pieces[1].start = 7;
    assert_eq!(transfer.apply(page), TransferStep::Mismatch);
    assert_eq!(transfer.cursor(), begun);
}
