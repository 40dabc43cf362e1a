//! A part of prompts crashes each server that begins to write an answer on it; sound requests share the
//! caller and the part that follows it.

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use crate::case_deadly::{review, start_server, Incidents};
use crate::kit::*;

const SOUND: &str = "5c1e07a2:800,91bd3f06:410";
const DEADLY: &str = "dead0001:800,91bd3f06:410";

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
    for number in 0..8 {
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
    // A sound request every 2 s; requests with the deadly part come in the pauses.
    let mut sound: Vec<(Instant, bool)> = Vec::new();
    let mut deadly = Vec::new();
    let mut sent = 0;
    for number in 0..46 {
        let start = Instant::now();
        let begins = review(
            &fronts[number % 2],
            "q",
            &format!("a{number:04}"),
            SOUND,
            record,
        );
        sound.push((start, begins));
        let pauses: &[u64] = match number {
            21 => &[500, 850, 1_200],
            22.. if number % 2 == 0 => &[700],
            _ => &[],
        };
        for pause in pauses {
            let left = (start + ms(*pause)).saturating_duration_since(Instant::now());
            thread::sleep(left);
            sent += 1;
            let (fronts, record) = (Arc::clone(&fronts), record.clone());
            let client = thread::spawn(move || {
                review(
                    &fronts[sent % 2],
                    "x",
                    &format!("b{sent:04}"),
                    DEADLY,
                    &record,
                );
            });
            deadly.push(client);
        }
        thread::sleep((start + ms(2_000)).saturating_duration_since(Instant::now()));
    }
    for client in deadly {
        let _ = client.join();
    }
    let share =
        |sent: &[bool]| sent.iter().filter(|begins| **begins).count() as f64 / sent.len() as f64;
    let before: Vec<bool> = sound[..21].iter().map(|(_, begins)| *begins).collect();
    if share(&before) < 0.9 {
        fail("too few sound requests are served");
    }
    let crashes = incidents.crashes.lock().unwrap();
    let counted = crashes.get(4).or(crashes.last()).copied();
    let broken = counted.and_then(|crash| {
        let late = sound.iter().filter(|(at, _)| *at > crash + ms(6_000));
        let after: Vec<bool> = late.map(|(_, begins)| *begins).collect();
        record.note(format!(
            "{} crashes; sound requests that begin at the first attempt: {:.2} of {} before, {:.2} of {} later",
            crashes.len(),
            share(&before),
            before.len(),
            share(&after),
            after.len()
        ));
        (after.len() >= 20 && share(&after) < share(&before) / 2.0).then(|| {
            format!(
                "LOST: {:.2} of {} sound requests begin at the first attempt later than 2 x stable-window-ms after \
                 the last of {} crashes, {:.2} of {} before",
                share(&after),
                after.len(),
                crashes.len(),
                share(&before),
                before.len()
            )
        })
    });
    let fronts = Arc::into_inner(fronts).unwrap_or_else(|| fail("a client still runs"));
    finish(setting, fronts, broken)
}
