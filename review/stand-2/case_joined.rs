//! The store turns two fronts away, which hear only each other, while servers of a newer software join; then
//! clients take up their streams at these fronts.

use std::sync::{Arc, Mutex};
use std::thread;

use crate::kit::*;

/// Streams of which each is broken off and taken up again.
const STREAMS: usize = 32;

/// Streams that begin at the same time as the others are taken up.
const NEW_STREAMS: usize = 8;

fn stream_request(id: &str, own_part: &str, resumes: Option<(&str, u64)>) -> Message {
    let parts = format!("5c1e07a2:92,{own_part}:29");
    let last = resumes.map_or(String::new(), |(_, last)| last.to_string());
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("X-Model", "m"),
        ("X-Token-Usage", "121,40"),
        ("X-Prompt-Prefix", parts.as_str()),
        ("X-Deadline-Ms", "15000"),
        ("X-Api-Key", "key-sese"),
    ];
    if let Some((first, _)) = resumes {
        headers.extend([("Resumes", first), ("Last-Event-Id", last.as_str())]);
    }
    request("POST", "/review/2f", &headers, "a question")
}

/// What became of a stream of one client.
#[derive(Default, Clone)]
struct Outcome {
    /// Software versions of its events.
    versions: Vec<String>,
    last: u64,
    has_begun: bool,
    is_taken_up: bool,
    goes_on: bool,
}

/// Reads events until the stream ends or breaks.
fn read_events(call: &mut Call, outcome: &mut Outcome) -> bool {
    let mut pending = Vec::new();
    loop {
        match call.next_event(&mut pending) {
            Ok(Some((id, data))) => {
                outcome.last = id;
                let version = data.split(' ').next().unwrap_or("").to_owned();
                if !outcome.versions.contains(&version) {
                    outcome.versions.push(version);
                }
                outcome.has_begun = true;
            }
            Ok(None) => return true,
            Err(()) => return false,
        }
    }
}

pub fn run(setting: &Setting) -> ! {
    let record = &setting.record;
    let store = Store::default();
    let listener = listen_any();
    let origin = listener.local_addr().unwrap();
    store.serve(listener);
    // The two fronts reach the store through a relay, which turns them away later.
    let relay = Relay::start(origin);
    store.put(
        "keyed.op",
        "config",
        &configuration(3, &[("sese880", "key-sese", false)]),
    );
    let engines = Engines::default();
    let zones = ["caerdydd", "abertawe"];
    let join = |number: usize, software: &str| {
        let id = format!("i-e{number}");
        let server = Engine::start(&engines, record, &id, software, 60, 200);
        Heart::start(&store, server.entry(zones[number % 2]));
    };
    (0..4).for_each(|number| join(number, "v1"));
    let ips = front_addresses(8);
    // The seeds of the settings name at most three machines, and may be stale or down: ips[6] and ips[7] are.
    let start = |number: usize, seeds: &[std::net::Ipv4Addr], store: std::net::SocketAddr| {
        let name = format!("front-{}-{number}", zones[number % 2]);
        Front::start(
            &setting.scratch,
            &name,
            zones[number % 2],
            ips[number],
            seeds,
            store,
        )
    };
    let mut fronts: Vec<Front> = (0..4)
        .map(|number| start(number, &[ips[0], ips[1], ips[6]], origin))
        .collect();
    fronts.extend((4..6).map(|number| start(number, &[ips[4], ips[5], ips[7]], relay.address)));
    fronts.iter().for_each(Front::wait_ready);
    sleep_ms(6_000);
    if setting.has_trouble {
        relay.block(true);
        record.note("the store resets the connections of the last two of six fronts");
    }
    sleep_ms(1_000);
    (4..8).for_each(|number| join(number, "v2"));
    record.note("four servers of software v2 join");
    sleep_ms(2_500);
    // Clients reach the first front by the platform's ingress; the connections break, and the ingress
    // takes the next ones to the last two fronts.
    let ingress = Relay::start(fronts[0].callers);
    let others = [fronts[4].callers, fronts[5].callers];
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let (first, second) = (ingress.address, others[number % 2]);
            thread::spawn(move || {
                let mut outcome = Outcome::default();
                let part = format!("c{number:03}");
                let id = next_id("s");
                let sent = Call::send(first, &stream_request(&id, &part, None), ms(15_000));
                let is_whole = match sent {
                    Ok(mut call) if call.head.status() == 200 => {
                        read_events(&mut call, &mut outcome)
                    }
                    Ok(call) => {
                        record.note(format!("client: {id} is answered {}", call.head.status()));
                        true
                    }
                    Err(error) => {
                        record.note(format!("client: {id} gets no answer: {error}"));
                        true
                    }
                };
                if !is_whole && outcome.has_begun {
                    record.note(format!(
                        "client: {id} breaks off after event {} of {:?}",
                        outcome.last, outcome.versions
                    ));
                    outcome.is_taken_up = true;
                    let again = next_id("s");
                    let before = outcome.last;
                    let message = stream_request(&again, &part, Some((&id, before)));
                    match Call::send(second, &message, ms(15_000)) {
                        Ok(mut call) if call.head.status() == 200 => {
                            read_events(&mut call, &mut outcome);
                            outcome.goes_on = outcome.last > before;
                        }
                        Ok(mut call) => {
                            let status = call.head.status();
                            let body = call.body().unwrap_or_default();
                            let text = String::from_utf8_lossy(&body).into_owned();
                            record.note(format!(
                                "client: {again} takes up {id} and is answered {status} {text}"
                            ));
                        }
                        Err(error) => {
                            record.note(format!("client: {again} gets no answer: {error}"))
                        }
                    }
                    if outcome.goes_on {
                        record.note(format!(
                            "client: {again} takes up {id}, which goes on to event {} with {:?}",
                            outcome.last, outcome.versions
                        ));
                    }
                }
                outcomes.lock().unwrap().push(outcome);
            })
        })
        .collect();
    sleep_ms(2_000);
    ingress.cut();
    record.note("the connections of the clients to the first front break");
    // New streams there, at the same time.
    let newcomers: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, second) = (record.clone(), others[number % 2]);
            thread::spawn(move || {
                let id = next_id("n");
                let message = stream_request(&id, &format!("d{number:03}"), None);
                let mut outcome = Outcome::default();
                if let Ok(mut call) = Call::send(second, &message, ms(15_000)) {
                    record.note(format!(
                        "client: new stream {id} is answered {}",
                        call.head.status()
                    ));
                    if call.head.status() == 200 {
                        read_events(&mut call, &mut outcome);
                    }
                }
                outcome.has_begun
            })
        })
        .collect();
    sleep_ms(2_500);
    relay.block(false);
    record.note("the store serves all fronts");
    let begun = newcomers
        .into_iter()
        .map(|client| client.join().unwrap_or(false))
        .filter(|begun| *begun)
        .count();
    for client in clients {
        let _ = client.join();
    }
    let outcomes = outcomes.lock().unwrap();
    let taken_up = outcomes
        .iter()
        .filter(|outcome| outcome.is_taken_up)
        .count();
    let gone_on = outcomes.iter().filter(|outcome| outcome.goes_on).count();
    let mixed = outcomes
        .iter()
        .filter(|outcome| outcome.versions.len() > 1)
        .count();
    record.note(format!(
        "{taken_up} streams are taken up, {gone_on} go on, {mixed} hold events of two versions; {begun} of {NEW_STREAMS} new streams begin"
    ));
    if taken_up < 12 {
        fail("too few streams");
    }
    let broken = (mixed > 2).then(|| {
        format!("ORDER: {mixed} of {taken_up} streams that were taken up hold events from servers of two software versions")
    });
    if broken.is_none() && gone_on * 2 < taken_up && !setting.has_trouble {
        fail("too few streams go on without the disruption");
    }
    finish(setting, fronts, broken)
}
