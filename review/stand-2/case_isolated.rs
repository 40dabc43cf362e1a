//! A configuration makes a tenant isolated whose requests have filled the KV cache before.

use std::sync::Arc;
use std::time::Instant;

use crate::kit::*;

const PARTS: &str = "5c1e07a2:8000,91bd3f06:5300";

fn review(front: &Front, key: &str, own_part: &str, record: &Record) -> u16 {
    let id = next_id("q");
    let parts = format!("{PARTS},{own_part}:400");
    let headers = [
        ("Host", HOST),
        ("X-Request-Id", id.as_str()),
        ("X-Model", "m"),
        ("X-Token-Usage", "13700,4"),
        ("X-Prompt-Prefix", parts.as_str()),
        ("X-Deadline-Ms", "10000"),
        ("X-Api-Key", key),
    ];
    let message = request("POST", "/review/2f", &headers, "a review");
    let status = match Call::send(front.callers, &message, ms(10_000)) {
        Ok(mut call) => {
            let _whole = call.body();
            call.head.status()
        }
        Err(_error) => 0,
    };
    record.note(format!(
        "client: {id} with key {key} at {} is answered {status}",
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
    let tenants = |is_isolated| {
        [
            ("sese880", "key-sese", is_isolated),
            ("lani12", "key-lani", false),
        ]
    };
    store.put("keyed.op", "config", &configuration(3, &tenants(false)));
    let engines = Engines::default();
    let servers: Vec<Arc<Engine>> = ["i-e1", "i-e2"]
        .iter()
        .map(|id| Engine::start(&engines, record, id, "v1", 4, 10))
        .collect();
    let zones = ["caerdydd", "abertawe"];
    for (server, zone) in servers.iter().zip(zones) {
        Heart::start(&store, server.entry(zone));
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
    for number in 0..6 {
        review(
            &fronts[number % 2],
            "key-sese",
            &format!("a{number}"),
            record,
        );
        sleep_ms(100);
    }
    // Without the trouble, the same version is sent, which changes no tenant.
    store.put(
        "keyed.op",
        "config",
        &configuration(7, &tenants(setting.has_trouble)),
    );
    let acknowledged = Instant::now();
    record.note(format!(
        "the store acknowledges version 7 of the configuration: sese880 is isolated: {}",
        setting.has_trouble
    ));
    // config-apply-ms is 2,000.
    sleep_ms(4_000);
    let mut served = 0;
    for number in 0..6 {
        served += u32::from(
            review(
                &fronts[number % 2],
                "key-lani",
                &format!("b{number}"),
                record,
            ) == 200,
        );
        sleep_ms(100);
    }
    if served < 6 {
        fail("not all requests are served");
    }
    let applied = acknowledged + ms(2_000);
    let mut broken = 0;
    for server in &servers {
        let uses = server.foreign_uses.lock().unwrap();
        let after = uses
            .iter()
            .filter(|(at, ..)| setting.has_trouble && *at > applied);
        broken += after
            .filter(|(_, user, maker, _)| user == "sese880" || maker == "sese880")
            .count();
    }
    let broken = (broken > 0).then(|| {
        format!("WALL: {broken} times a part that one of sese880 and lani12 made was used by the other, \
                 more than config-apply-ms after sese880 was isolated")
    });
    finish(setting, fronts, broken)
}
