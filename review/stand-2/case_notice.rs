//! A server is cut off from the store and leaves meanwhile; its late heartbeat lists it again.
use crate::kit::*;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

fn commit(front: &Front, number: usize, record: &Record) -> (u16, bool) {
    let id = next_id("c");
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "6000"),
        ("X-Api-Key", "key-sese"),
    ];
    let path = format!("/commit/unit-{number}");
    let answer = Call::send(
        front.callers,
        &request("POST", &path, &headers, &id),
        ms(7_000),
    );
    let (status, leaving) = answer.map_or((0, false), |call| {
        (
            call.head.status(),
            call.head.header("server-leaving") == Some("1"),
        )
    });
    record.note(format!(
        "client: {id} POST {path} is answered {status}, Server-Leaving: {leaving}"
    ));
    (status, leaving)
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
    let s = Application::start(record, "i-c1", "clone-api", 1_500);
    let t = Application::start(record, "i-c2", "clone-api", 1_500);
    let heart = Heart::start(&store, s.entry("caerdydd"));
    let _other = Heart::start(&store, t.entry("caerdydd"));
    let ips = front_addresses(1);
    let front = Arc::new(Front::start(
        &setting.scratch,
        "front-caerdydd-1",
        "caerdydd",
        ips[0],
        &ips,
        store_address,
    ));
    front.wait_ready();
    sleep_ms(4_000);
    heart.beat();
    heart.pause();
    record.note("i-c1 is cut off from the store, its next heartbeat is held up");
    sleep_ms(3_300);
    let early: Vec<_> = (0..4)
        .map(|n| {
            let (f, r) = (Arc::clone(&front), record.clone());
            thread::spawn(move || commit(&f, n, &r))
        })
        .collect();
    sleep_ms(300);
    heart.remove();
    record.note("three heartbeat intervals of silence: the entry of i-c1 is removed");
    sleep_ms(400);
    s.is_leaving.store(true, Ordering::SeqCst);
    record.note("i-c1 leaves");
    let mut told = None;
    for client in early {
        if client.join().unwrap().1 {
            told = Some(Instant::now());
        }
    }
    sleep_ms(100);
    heart.entry.lock().unwrap().state = "ready".into();
    if setting.has_trouble {
        heart.beat();
        record.note("the cut heals: the heartbeat of i-c1 that was held up reaches the store");
    }
    sleep_ms(2_200);
    let sent = Instant::now();
    let late: Vec<_> = (10..14)
        .map(|n| {
            let (f, r) = (Arc::clone(&front), record.clone());
            thread::spawn(move || commit(&f, n, &r))
        })
        .collect();
    sleep_ms(700);
    s.has_exited.store(true, Ordering::SeqCst);
    record.note("i-c1 exits");
    let lost = late
        .into_iter()
        .map(|client| client.join().unwrap().0)
        .filter(|status| *status != 200)
        .count();
    let Some(told) = told else {
        fail("no answer said that i-c1 leaves")
    };
    let reached = s
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.at > sent)
        .count();
    let broken = (reached > 0 && sent > told + ms(2_000)).then(|| format!("DRAIN: {reached} requests that were sent {} ms after the front had passed on an answer with Server-Leaving reached i-c1; {lost} of 4 were lost", sent.duration_since(told).as_millis()));
    let front = Arc::into_inner(front).unwrap();
    finish(setting, vec![front], broken)
}
