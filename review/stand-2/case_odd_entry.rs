//! Another writer writes an entry with missing fields under the id of a server.

use crate::kit::*;

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
    let clone = Application::start(record, "i-c1", "clone-api", 30);
    let audit = Application::start(record, "i-a1", "audit-api", 30);
    Heart::start(&store, clone.entry(zones[0]));
    let audit_heart = Heart::start(&store, audit.entry(zones[1]));
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
    for number in 0..200 {
        if number == 50 && setting.has_trouble {
            // The server's own heartbeats go on; this entry lacks `version`, `cold-left-ms`, `sequence`
            // and `born`.
            audit_heart.beat();
            let odd = format!(
                "{{\"service\":\"clone-api\",\"address\":\"{}\",\"zone\":\"{}\",\"slots\":6,\"state\":\"ready\"}}",
                audit.address, zones[1]
            );
            store.put("keyed.servers", "i-a1", &odd);
            record.note(format!("another writer writes servers/i-a1: {odd}"));
        }
        let front = &fronts[number % 2];
        let id = next_id("q");
        let deadline = "1000";
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", deadline),
            ("X-Api-Key", "key-sese"),
        ];
        let message = request(
            "POST",
            "/commit/2f",
            &headers,
            "push the configuration to the unit",
        );
        let status =
            Call::send(front.callers, &message, ms(2_000)).map_or(0, |call| call.head.status());
        record.note(format!(
            "client: {id} POST /commit/2f at {} is answered {status}",
            front.name
        ));
        sleep_ms(20);
    }
    let wrong = audit
        .runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.path.starts_with("/commit/"))
        .count();
    let own = clone.runs.lock().unwrap().len();
    if own == 0 {
        fail("no request is served");
    }
    let broken = (wrong > 0).then(|| {
        format!("ROUTE: {wrong} requests of a route to clone-api were run by i-a1 of audit-api; {own} ran at clone-api")
    });
    finish(setting, fronts, broken)
}
