//! Encoding of the messages between entries and sidecars, and between gateways. All run in several builds during a rolling
//! upgrade, and bincode encodes no names, so that a field more or less makes a message unreadable.

use std::fmt::Write;
use std::pin::pin;

use bulrushslip::wire::claim_record::{WireClaim, WireClaimTarget};
use bulrushslip::wire::claim_rpc::{ClaimCall, ClaimReply};
use bulrushslip::wire::config_page::{
    ConfigPage, ConfigSinceCall, WireEvidence, WireNumberedRecord,
};
use bulrushslip::wire::lease_record::{decode_lease, encode_lease};
use bulrushslip::wire::origin_news::{WireStreamKey, WireStreamOrigin};
use bulrushslip::wire::pace_news::{WirePace, WirePaceSearch};
use bulrushslip::wire::peer_rpc::{
    GossipMessage, PeerRpcRequest, PeerRpcResponse, WireSegmentNews, WireSuspicion, WireTopic,
    WireUpstreamLimit,
};
use bulrushslip::wire::position::WirePosition;
use bulrushslip::wire::records_call::{
    WireRecordPage, WireRecordPiece, WireRecordsCall, WireRecordsReply,
};
use bulrushslip::wire::rpc::{
    AttachReply, AttachVerdict, QuoteCall, QuoteReply, ReadCall, ReadReply, ReadVerdict, ReplyHead,
    SidecarRpcRequest, SidecarRpcResponse, StreamItem, SubmitCall, SubmitReply, SubmitVerdict,
    WireRank, WireRefusalReason, WireStreamEnd, WireTicket, WithdrawReply, WithdrawVerdict,
};
use bulrushslip::wire::suspect_news::WireSuspectNews;
use bulrushslip::wire::suspect_rpc::{WireCrash, WireSuspectUpdate};
use serde::{Deserialize, Serialize};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

const TICKET: WireTicket = WireTicket {
    entry: 0x11,
    sequence: 0x12,
};

const HEAD: ReplyHead = ReplyHead {
    incarnation: 0x21,
    epoch: 0x22,
    next_offset: 0x23,
    pause_us: 0x24,
};

/// Encodes a value as the transport does, in hexadecimal.
fn encode<T: Serialize + for<'de> Deserialize<'de>>(value: &T) -> String {
    let codec = pin!(Bincode::<T, T>::default());
    let bytes = codec.serialize(value).expect("a message");
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("a string accepts all writes");
        text
    })
}

fn check<T: Serialize + for<'de> Deserialize<'de>>(name: &str, value: &T, expected: &str) {
    let encoded = encode(value);
    assert_eq!(
        encoded, expected,
        "{name}: processes of earlier builds no longer understand this message, so calls between \
         builds fail during a rolling upgrade; keep the fields, variants and methods in place, and \
         send what is new in a call added at the end of the interface"
    );
}

fn head_item() -> StreamItem {
    let headers = vec![("a".to_owned(), "b".to_owned())];
    StreamItem::Head {
        status: 200,
        headers,
    }
}

fn claim_target() -> WireClaimTarget {
    WireClaimTarget {
        ticket: TICKET,
        upstream: "u".to_owned(),
        sidecar: 0x31,
        fingerprint: 0x32,
    }
}

fn reply(verdict: ReadVerdict) -> SidecarRpcResponse {
    SidecarRpcResponse::Read(ReadReply {
        head: HEAD,
        from_index: 0x51,
        verdict,
    })
}

fn ended(end: WireStreamEnd) -> SidecarRpcResponse {
    let items = Vec::new();
    let end = Some(end);
    reply(ReadVerdict::Items { items, end })
}

#[test]
fn requests_keep_their_encoding() {
    let quote = QuoteCall {
        prefix_keys: vec![0x41],
        rank: WireRank(1),
        customer: "c".to_owned(),
        version: "v".to_owned(),
    };
    let submit = SubmitCall {
        ticket: TICKET,
        incarnation: 0x42,
        customer: "c".to_owned(),
        rank: WireRank(1),
        idempotent: true,
        version: "v".to_owned(),
        fingerprint: 0x43,
        prefix_keys: vec![0x44],
        start_budget_us: 0x45,
        wait_limit_us: 0x46,
        output_tokens: 0x47,
        method: "m".to_owned(),
        path: "p".to_owned(),
        headers: vec![("a".to_owned(), "b".to_owned())],
        body: b"d".to_vec(),
    };
    let read = ReadCall {
        ticket: TICKET,
        incarnation: 0x48,
        from_index: 0x49,
        wait_us: 0x4a,
    };
    let update = WireSuspectUpdate {
        fingerprint: 0x4b,
        seen_in: Some(WireCrash {
            sidecar: 0x4c,
            epoch: 0x4d,
        }),
        cleared_of: vec![WireCrash {
            sidecar: 0x4e,
            epoch: 0x4f,
        }],
    };
    let claim = ClaimCall {
        claim: WireClaim {
            customer: "c".to_owned(),
            key: "k".to_owned(),
            released: Some(TICKET),
            target: Some(claim_target()),
            expires_s: 0x33,
        },
        budget_us: 0x34,
    };
    let since = ConfigSinceCall {
        from_offset: 0x35,
        wait_us: 0x36,
    };
    let withdraw = SidecarRpcRequest::Withdraw {
        ticket: TICKET,
        incarnation: 0x37,
    };
    let attach = SidecarRpcRequest::Attach {
        ticket: TICKET,
        idempotent: true,
    };
    let updates = vec![update];
    check(
        "quote",
        &SidecarRpcRequest::Quote { call: quote },
        "0001410101630176",
    );
    check(
        "submit",
        &SidecarRpcRequest::Submit { call: submit },
        "01111242016301010176430144454647016d017001016101620164",
    );
    check(
        "read",
        &SidecarRpcRequest::Read { call: read },
        "02111248494a",
    );
    check("withdraw", &withdraw, "03111237");
    check(
        "suspect",
        &SidecarRpcRequest::Suspect { updates },
        "04014b014c4d014e4f",
    );
    check(
        "claim",
        &SidecarRpcRequest::Claim { call: claim },
        "050163016b011112011112017531323334",
    );
    check("attach", &attach, "06111201");
    check(
        "config_since",
        &SidecarRpcRequest::ConfigSince { call: since },
        "073536",
    );
}

#[test]
fn replies_keep_their_encoding() {
    let quote = SidecarRpcResponse::Quote(QuoteReply {
        head: HEAD,
        open: true,
        wait_us: 0x52,
        missing_pieces: 0x53,
        piece_us: 0x54,
    });
    let submit = |verdict| {
        let head = HEAD;
        SidecarRpcResponse::Submit(SubmitReply { head, verdict })
    };
    let refused = SubmitVerdict::NotRun {
        reason: WireRefusalReason(0x55),
        retry_after_ms: 0x56,
    };
    let items = reply(ReadVerdict::Items {
        items: vec![head_item(), StreamItem::Data(b"d".to_vec())],
        end: None,
    });
    let not_run = WireStreamEnd::NotRun(WireRefusalReason(0x57));
    let page = ConfigPage {
        next_offset: 0x58,
        evidence: Some(WireEvidence {
            reader: 0x59,
            age_ms: 0x5a,
        }),
        records: vec![WireNumberedRecord {
            offset: 0x5b,
            body: Some("r".to_owned()),
        }],
        snapshot: vec!["s".to_owned()],
    };
    check("quote", &quote, "002122232401525354");
    check("accepted", &submit(SubmitVerdict::Accepted), "012122232400");
    check("refused", &submit(refused), "0121222324015556");
    check("items", &items, "022122232451000200c8010161016201016400");
    check(
        "complete",
        &ended(WireStreamEnd::Complete),
        "02212223245100000100",
    );
    check("not run", &ended(not_run), "0221222324510000010157");
    check(
        "engine lost",
        &ended(WireStreamEnd::EngineLost),
        "02212223245100000102",
    );
    check(
        "uncertain",
        &ended(WireStreamEnd::Uncertain),
        "02212223245100000103",
    );
    check(
        "cancelled",
        &ended(WireStreamEnd::Cancelled),
        "02212223245100000104",
    );
    check(
        "unknown ticket",
        &reply(ReadVerdict::UnknownTicket),
        "02212223245101",
    );
    check("suspect", &SidecarRpcResponse::Suspect(()), "04");
    check(
        "config_since",
        &SidecarRpcResponse::ConfigSince(page),
        "075801595a015b010172010173",
    );
}

#[test]
fn replies_about_tickets_and_claims_keep_their_encoding() {
    let withdraw = |verdict| {
        let head = HEAD;
        SidecarRpcResponse::Withdraw(WithdrawReply { head, verdict })
    };
    let attach = |verdict| {
        let head = HEAD;
        SidecarRpcResponse::Attach(AttachReply { head, verdict })
    };
    let claim = SidecarRpcResponse::Claim;
    check(
        "withdrawn",
        &withdraw(WithdrawVerdict::NotRun),
        "032122232400",
    );
    check(
        "running",
        &withdraw(WithdrawVerdict::Running),
        "032122232401",
    );
    check(
        "cancelled",
        &withdraw(WithdrawVerdict::Cancelled),
        "032122232402",
    );
    check("done", &withdraw(WithdrawVerdict::Done), "032122232403");
    check(
        "forgotten",
        &withdraw(WithdrawVerdict::Forgotten),
        "032122232404",
    );
    let wrong = withdraw(WithdrawVerdict::WrongIncarnation);
    check("wrong incarnation", &wrong, "032122232405");
    check("attached", &attach(AttachVerdict::Attached), "062122232400");
    check(
        "not found",
        &attach(AttachVerdict::NotFound),
        "062122232401",
    );
    check(
        "engine down",
        &attach(AttachVerdict::EngineDown),
        "062122232402",
    );
    check("won", &claim(ClaimReply::Won), "0500");
    check(
        "held",
        &claim(ClaimReply::Held(claim_target())),
        "0501111201753132",
    );
    check("released", &claim(ClaimReply::Released), "0502");
    check("unavailable", &claim(ClaimReply::Unavailable), "0503");
}

#[test]
fn refused_requests_between_gateways_are_encoded_as_by_earlier_builds() {
    let news = WireSuspectNews {
        fingerprint: 0x11,
        upstream: 0x12,
        born: 0x13,
        ago_ms: 0x14,
        refused_ms: Some(0x15),
    };
    check(
        "ReportSuspects",
        &PeerRpcRequest::ReportSuspects { news: vec![news] },
        "0a01111213140115",
    );
}

#[test]
fn origins_of_streams_between_gateways_are_encoded_as_by_earlier_builds() {
    let stream = WireStreamKey {
        service: 0x11,
        request: 0x12,
    };
    let origin = WireStreamOrigin {
        service: 0x11,
        request: 0x12,
        software: 0x13,
    };
    check(
        "ReportOrigins",
        &PeerRpcRequest::ReportOrigins {
            origins: vec![origin],
        },
        "0801111213",
    );
    check(
        "FindOrigins",
        &PeerRpcRequest::FindOrigins {
            streams: vec![stream],
        },
        "09011112",
    );
    check(
        "FindOrigins response",
        &PeerRpcResponse::FindOrigins(vec![origin]),
        "0901111213",
    );
}

#[test]
fn gossip_between_gateways_is_encoded_as_by_earlier_builds() {
    let gossip = GossipMessage {
        sender: 0x11,
        holds: vec![(0x12, 0x13)],
        suspicions: vec![WireSuspicion {
            fingerprint: 0x14,
            upstream: 0x15,
            born: 0x16,
        }],
        ..GossipMessage::default()
    };
    check(
        "Exchange",
        &PeerRpcRequest::Exchange { gossip },
        "00110000000000000000000000000000011213000000000114151600",
    );
    let news = vec![WireSegmentNews {
        segment: 0x11,
        depth: 0x12,
        upstream: 0x13,
        born: 0x14,
        is_cleared: false,
        ago_ms: 0x15,
        refused_ms: Some(0x16),
    }];
    check(
        "ReportSegments",
        &PeerRpcRequest::ReportSegments { news },
        "01011112131400150116",
    );
    let limits = vec![WireUpstreamLimit {
        upstream: 0x11,
        born: 0x12,
        per_1000_s: Some(0x13),
        ago_ms: 0x14,
    }];
    check(
        "ReportLimits",
        &PeerRpcRequest::ReportLimits { limits },
        "03011112011314",
    );
    let search = WirePaceSearch {
        began_ago_ms: 0x15,
        requests: 0x16,
        tokens: 0x17,
    };
    let paces = vec![WirePace {
        upstream: 0x11,
        born: 0x12,
        weights: 0x13,
        answered_ago_ms: 0x14,
        search: Some(search),
    }];
    check(
        "ReportPaces",
        &PeerRpcRequest::ReportPaces { paces },
        "06011112131401151617",
    );
    let call = WireRecordsCall {
        caller: 0x11,
        topic: WireTopic::Upstream,
        from: WirePosition(0x12),
        at: WirePosition(0x13),
        held: 0x14,
        as_of: WirePosition(0x15),
    };
    check(
        "ReadRecords",
        &PeerRpcRequest::ReadRecords { call },
        "02110112131415",
    );
    let page = WireRecordPage {
        pieces: vec![WireRecordPiece {
            key: "k".to_owned(),
            position: WirePosition(0x21),
            value_bytes: Some(0x22),
            start: 0x23,
            part_bytes: 0x24,
        }],
        parts: vec![0x25],
        next: WirePosition(0x26),
        is_last: true,
    };
    let page = PeerRpcResponse::ReadRecords(WireRecordsReply::Page(page));
    check("page", &page, "020001016b210122232401252601");
    let busy = PeerRpcResponse::ReadRecords(WireRecordsReply::Busy);
    check("busy", &busy, "0201");
    let behind = PeerRpcResponse::ReadRecords(WireRecordsReply::Behind);
    check("behind", &behind, "0202");
}

#[test]
fn lease_records_keep_their_form() {
    let records = [
        r#"{"acquire":{"upstream":"u","holder":1}}"#,
        r#"{"release":{"lease":2}}"#,
        r#"{"end_of_lost":{"era":3}}"#,
    ];
    for text in records {
        let record = decode_lease(text).expect("a lease record");
        assert_eq!(encode_lease(record), text);
    }
}
