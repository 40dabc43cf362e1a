//! Whole events from a byte stream, however it is cut.

mod property;

use bolero::TypeGenerator;
use bulrushslip::wire::event_cutter::{CutStep, EventCutter, RawEvent};

/// Generated inputs of each property.
const CASES: u64 = 2_000;

#[derive(Debug, Clone, TypeGenerator)]
struct CutStream {
    events: Vec<(u16, u8)>,
    cuts: Vec<u8>,
    carriage_returns: bool,
    rest: u8,
}

fn drain(cutter: &mut EventCutter, found: &mut Vec<RawEvent>) {
    while let CutStep::Event(event) = cutter.next_event() {
        found.push(event);
    }
}

#[test]
fn events_come_out_whole_wherever_the_bytes_are_cut() {
    property::check(CASES, |stream: &CutStream| {
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
        bytes.extend(std::iter::repeat_n(b'y', usize::from(stream.rest)));
        let mut cutter = EventCutter::default();
        let mut found = Vec::new();
        let mut left = bytes.as_slice();
        for cut in &stream.cuts {
            let (part, rest) = left.split_at(usize::from(*cut).min(left.len()));
            cutter.push(part);
            drain(&mut cutter, &mut found);
            left = rest;
        }
        cutter.push(left);
        drain(&mut cutter, &mut found);
        let ids: Vec<_> = found.iter().map(|event| event.id).collect();
        let expected: Vec<_> = stream
            .events
            .iter()
            .map(|(id, _)| Some(u64::from(*id)))
            .collect();
        assert_eq!(ids, expected);
        let whole: Vec<u8> = found
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .collect();
        assert_eq!(whole, texts.concat().into_bytes());
        assert_eq!(cutter.is_mid_event(), stream.rest > 0);
    });
}
