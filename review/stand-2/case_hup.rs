//! The settings file names a new address of the store; then a machine is added, and clients take up their
//! streams there.

use std::sync::{Arc, Mutex};
use std::thread;

use crate::kit::*;

/// Streams of which each is broken off and taken up again.
const STREAMS: usize = 32;

/// Streams that begin at the same time as the others are taken up.
const NEW_STREAMS: usize = 32;

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
    let old_address = Relay::start(origin);
    let new_address = Relay::start(origin);
    store.put(
        "keyed.op",
        "config",
        &configuration(3, &[("sese880", "key-sese", false)]),
    );
    let engines = Engines::default();
    let zones = ["caerdydd", "abertawe", "aberystwyth", "bangor"];
    for number in 0..8 {
        let software = ["v1", "v2"][number % 2];
        let id = format!("i-e{number}");
        let server = Engine::start(&engines, record, &id, software, 60, 200);
        Heart::start(&store, server.entry(zones[number / 2]));
    }
    let ips = front_addresses(2);
    let start = |number: usize, store: std::net::SocketAddr| {
        let name = format!("front-{}-1", zones[number]);
        Front::start(
            &setting.scratch,
            &name,
            zones[number],
            ips[number],
            &ips,
            store,
        )
    };
    let mut fronts = vec![start(0, old_address.address)];
    fronts.iter().for_each(Front::wait_ready);
    sleep_ms(6_000);
    if setting.has_trouble {
        fronts[0].write_settings(new_address.address);
        fronts[0].signal(SIGHUP);
        record.note(format!(
            "platform.address becomes {} in the settings file, SIGHUP to the front",
            new_address.address
        ));
        sleep_ms(3_000);
        old_address.close();
        record.note(format!(
            "the store's old address {} is closed",
            old_address.address
        ));
    } else {
        sleep_ms(3_000);
    }
    // More than stable-window-ms, and the time in which a version is published.
    sleep_ms(10_000);
    // Clients reach the first front by the platform's ingress; the connections break, and the ingress
    // takes the next ones to the front that was added.
    let ingress = Relay::start(fronts[0].callers);
    let added = std::net::SocketAddr::new(ips[1].into(), fronts[0].callers.port());
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, outcomes) = (record.clone(), Arc::clone(&outcomes));
            let (first, second) = (ingress.address, added);
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
    sleep_ms(2_500);
    let store_address = if setting.has_trouble {
        new_address.address
    } else {
        old_address.address
    };
    fronts.push(start(1, store_address));
    record.note("a front is added");
    fronts[1].wait_ready();
    // The added front is in touch after stable-window-ms.
    sleep_ms(4_000);
    ingress.cut();
    record.note("the connections of the clients to the first front break");
    // New streams at the added front, at the same time.
    let newcomers: Vec<_> = (0..NEW_STREAMS)
        .map(|number| {
            let (record, second) = (record.clone(), added);
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
    if taken_up < 12 || begun == 0 {
        fail("too few streams");
    }
    let share = gone_on as f64 / taken_up as f64;
    let share_begun = begun as f64 / NEW_STREAMS as f64;
    let broken = if mixed > 2 {
        Some(format!(
            "ORDER: {mixed} streams hold events of two software versions"
        ))
    } else {
        (share < share_begun / 2.0).then(|| {
            format!("LOST: {gone_on} of {taken_up} streams that were taken up go on; {begun} of {NEW_STREAMS} new streams begin")
        })
    };
    finish(setting, fronts, broken)
}
