//! Splitting a byte stream of server-sent events, independently of read boundaries.

mod property;

use bolero::TypeGenerator;
use bulrushslip::wire::event_scanner::StreamPosition;
use bulrushslip::wire::event_splitter::{EventSplitter, RawEvent, SplitStep};
use bulrushslip::wire::sse::MAX_EVENT_BYTES;

/// Number of generated inputs per property.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct GeneratedStream {
    /// Identifier and length of the data of each event.
    events: Vec<(u16, u8)>,
    read_lengths: Vec<u8>,
    carriage_returns: bool,
    /// Number of bytes of an incomplete event at the end.
    incomplete_length: u8,
}

fn drain(splitter: &mut EventSplitter, received: &mut Vec<RawEvent>) {
    while let SplitStep::Event(event) = splitter.next_event() {
        received.push(event);
    }
}

#[test]
fn complete_events_do_not_depend_on_read_boundaries() {
    property::check(CASES, |stream: &GeneratedStream| {
        let end = if stream.carriage_returns {
            "\r\n"
        } else {
            "\n"
        };
        let texts = stream.events.iter().map(|(id, length)| {
            let data = "x".repeat(usize::from(*length));
            format!("id: {id}{end}data: {data}{end}{end}")
        });
        let texts: Vec<String> = texts.collect();
        let mut bytes = texts.concat().into_bytes();
        bytes.extend(std::iter::repeat_n(
            b'y',
            usize::from(stream.incomplete_length),
        ));
        let mut splitter = EventSplitter::default();
        let mut received = Vec::new();
        let mut left = bytes.as_slice();
        for length in &stream.read_lengths {
            let (part, rest) = left.split_at(usize::from(*length).min(left.len()));
            splitter.push(part);
            drain(&mut splitter, &mut received);
            left = rest;
        }
        splitter.push(left);
        drain(&mut splitter, &mut received);
        let ids: Vec<_> = received.iter().map(|event| event.id).collect();
        let expected: Vec<_> = stream
            .events
            .iter()
            .map(|(id, _)| Some(u64::from(*id)))
            .collect();
        assert_eq!(ids, expected);
        let received_bytes: Vec<u8> = received
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        assert_eq!(received_bytes, texts.concat().into_bytes());
        let is_mid_event = splitter.position() == StreamPosition::InsideEvent;
        assert_eq!(is_mid_event, stream.incomplete_length > 0);
        let rest = vec![b'y'; usize::from(stream.incomplete_length)];
        assert_eq!(splitter.take_rest(), rest);
    });
}

/// Guards against a stream that is forwarded unsplit and sends one event without end.
#[test]
fn unsplit_bytes_are_limited_by_event() {
    for end in ["\n", "\r\n"] {
        let event = format!("data: {}{end}{end}", "x".repeat(MAX_EVENT_BYTES / 2));
        for length in [1, 7, 4_096, usize::MAX] {
            let mut splitter = EventSplitter::default();
            let events = event.repeat(4);
            for part in events.as_bytes().chunks(length) {
                assert!(splitter.pass(part), "reads of {length}");
            }
            let long = "data: x\n".repeat(MAX_EVENT_BYTES / 8 + 1);
            let mut parts = long.as_bytes().chunks(length);
            assert!(!parts.all(|part| splitter.pass(part)), "reads of {length}");
        }
    }
}

/// Guards against a truncated event that counts as the end of a stream.
#[test]
fn each_prefix_of_a_stream_ends_inside_an_event_except_after_a_blank_line() {
    for end in ["\n", "\r\n", "\r"] {
        let events =
            format!(": c{end}id: 1{end}data: a{end}{end}: d{end}data: b{end}{end}: e{end}");
        let whole_at: Vec<usize> = [
            format!(": c{end}"),
            format!(": c{end}id: 1{end}data: a{end}{end}"),
            format!(": c{end}id: 1{end}data: a{end}{end}: d{end}"),
            format!(": c{end}id: 1{end}data: a{end}{end}: d{end}data: b{end}{end}"),
            events.clone(),
        ]
        .map(|text| text.len())
        .to_vec();
        for length in 1..=events.len() {
            let mut passed = EventSplitter::default();
            assert!(passed.pass(&events.as_bytes()[..length]));
            let mut split = EventSplitter::default();
            split.push(&events.as_bytes()[..length]);
            drain(&mut split, &mut Vec::new());
            let expected = if whole_at.contains(&length) && (length > end.len() + 3 || end != "\r")
            {
                StreamPosition::BetweenEvents
            } else {
                StreamPosition::InsideEvent
            };
            assert_eq!(passed.position(), expected, "{:?}", &events[..length]);
            assert_eq!(split.position(), expected, "{:?}", &events[..length]);
        }
    }
    assert_eq!(EventSplitter::default().position(), StreamPosition::Empty);
}
