//! A request crashes each server that begins to run it and comes again, at a service that gets few others.

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

use crate::kit::*;

/// Time for which a server is down after a crash.
const DOWN_MS: u64 = 3_000;

/// Time between two arrivals of the request at the fronts.
const PAUSE_MS: u64 = 5_000;

#[derive(Default)]
struct Incidents {
    arrivals: Mutex<Vec<Instant>>,
    crashes: Mutex<Vec<Instant>>,
}

fn ask(front: &Front, prefix: &str, method: &str, path: &str, record: &Record) -> u16 {
    let id = next_id(prefix);
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "2000"),
        ("X-Api-Key", "key-sese"),
    ];
    let body = if method == "POST" { id.as_str() } else { "" };
    let status = Call::send(
        front.callers,
        &request(method, path, &headers, body),
        ms(3_000),
    );
    let status = status.map_or(0, |call| call.head.status());
    record.note(format!(
        "client: {id} {method} {path} at {} is answered {status}",
        front.name
    ));
    status
}

pub fn run(setting: &Setting) -> ! {
    let record = &setting.record;
    let store = Store::default();
    let listener = listen_any();
    let store_address = listener.local_addr().unwrap();
    store.serve(listener);
    store.put(
        "keyed.op",
        "config",
        &configuration(3, &[("sese880", "key-sese", false)]),
    );
    let zones = ["caerdydd", "abertawe"];
    let incidents: Arc<Incidents> = Arc::default();
    for number in 0..4 {
        start_server(setting, &store, &incidents, number, zones[number % 2]);
    }
    let ips = front_addresses(2);
    let fronts: Vec<Front> = (0..2)
        .map(|number| {
            let name = format!("front-{}-1", zones[number]);
            Front::start(
                &setting.scratch,
                &name,
                zones[number],
                ips[number],
                &ips,
                store_address,
            )
        })
        .collect();
    fronts.iter().for_each(Front::wait_ready);
    sleep_ms(4_000);
    let fronts = Arc::new(fronts);
    let (mut served, mut commits, mut lost) = (0, 0, 0);
    for number in 0..12 {
        let running: Vec<_> = (0..4)
            .map(|client| {
                let (fronts, record) = (Arc::clone(&fronts), record.clone());
                let path = format!("/commit/unit-{number}-{client}");
                thread::spawn(move || ask(&fronts[client % 2], "c", "POST", &path, &record))
            })
            .collect();
        sleep_ms(200);
        ask(&fronts[number % 2], "x", "GET", "/status/unit-7", record);
        for client in running {
            commits += 1;
            lost += u32::from(client.join().unwrap_or(0) != 200);
        }
        sleep_ms(PAUSE_MS / 2);
        let path = format!("/status/unit-{}", 100 + number);
        served += u32::from(ask(&fronts[number % 2], "q", "GET", &path, record) == 200);
        sleep_ms(PAUSE_MS / 2);
    }
    if served < 6 {
        fail("too few sound requests are served");
    }
    let crashes = incidents.crashes.lock().unwrap();
    let broken = crashes.get(2).and_then(|third| {
        let from = *third + ms(3_000);
        let arrivals = incidents.arrivals.lock().unwrap();
        let late = arrivals.iter().filter(|at| **at > from).count();
        (late > 3).then(|| {
            format!(
                "BUDGET: a request that crashes the servers that run it reached servers in {late} retries later \
                 than stable-window-ms after it had crashed the third; {} crashes in all, in which {lost} of \
                 {commits} non-idempotent requests were lost",
                crashes.len()
            )
        })
    });
    let fronts = Arc::into_inner(fronts).unwrap_or_else(|| fail("a client still runs"));
    finish(setting, fronts, broken)
}

fn start_server(
    setting: &Setting,
    store: &Store,
    incidents: &Arc<Incidents>,
    number: usize,
    zone: &'static str,
) {
    let id = Arc::new(Mutex::new(format!("i-c{number}a")));
    let port: Arc<Mutex<Option<Port>>> = Arc::default();
    let heart: Arc<Mutex<Option<Heart>>> = Arc::default();
    let (record, has_trouble) = (setting.record.clone(), setting.has_trouble);
    let (own_id, incidents, own_store) = (Arc::clone(&id), Arc::clone(incidents), store.clone());
    let (own_port, own_heart) = (Arc::clone(&port), Arc::clone(&heart));
    let opened = Port::serve(move |request, stream| {
        let name = own_id.lock().unwrap().clone();
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let instance = ("X-Instance-Id", name.clone());
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != name)
        {
            return send(
                stream,
                &response(421, &[instance, ("X-Request-Id", id)], b""),
            );
        }
        let is_deadly = request.path() == "/status/unit-7";
        record.note(format!("server {name} runs {id} {}", request.line[1]));
        if is_deadly {
            incidents.arrivals.lock().unwrap().push(Instant::now());
        }
        sleep_ms(if request.path().starts_with("/commit/") {
            700
        } else {
            30
        });
        let process = own_port.lock().unwrap().clone().unwrap();
        if !is_deadly || !has_trouble {
            let seal = ("X-Server-Seal", format!("seal-{name}"));
            return process.is_up()
                && send(
                    stream,
                    &response(200, &[("X-Request-Id", id), seal], b"done"),
                );
        }
        if process.is_up() {
            record.note(format!("server {name} crashes as it runs {id}"));
            incidents.crashes.lock().unwrap().push(Instant::now());
            process.crash();
            let old = own_heart.lock().unwrap().take();
            let (own_id, record, store) = (Arc::clone(&own_id), record.clone(), own_store.clone());
            let own_heart = Arc::clone(&own_heart);
            thread::spawn(move || {
                if let Some(old) = &old {
                    old.pause();
                }
                sleep_ms(DOWN_MS);
                // Each start of a server is a new incarnation, mostly with a new id.
                let next = format!("{name}b");
                *own_id.lock().unwrap() = next.clone();
                process.restart();
                *own_heart.lock().unwrap() =
                    Some(Heart::start(&store, entry(&next, process.address, zone)));
                record.note(format!("server {next} is back"));
                // The old entry expires after three heartbeat intervals of silence.
                sleep_ms(3 * HEARTBEAT_MS - DOWN_MS);
                if let Some(old) = old {
                    old.remove();
                }
            });
        }
        false
    });
    let address = opened.address;
    *port.lock().unwrap() = Some(opened);
    let name = id.lock().unwrap().clone();
    *heart.lock().unwrap() = Some(Heart::start(store, entry(&name, address, zone)));
}

fn send(stream: &mut std::net::TcpStream, bytes: &[u8]) -> bool {
    std::io::Write::write_all(stream, bytes).is_ok()
}

fn entry(id: &str, address: std::net::SocketAddr, zone: &str) -> Entry {
    Entry {
        id: id.to_owned(),
        service: "clone-api".to_owned(),
        address,
        zone: zone.to_owned(),
        software: "v1".to_owned(),
        slots: 6,
        state: "ready".to_owned(),
        model: None,
        sequence: 0,
        born: unix_ms(),
    }
}
