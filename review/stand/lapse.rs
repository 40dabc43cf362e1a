//! Case: entries of servers expire while the platform's store is down, and return with it.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::rig::{
    await_ready, machine_ip, plain_configuration, plain_server, Balancer, Dice, Gateway, Ports,
    Record, ZONES,
};
use crate::store::Store;

/// Front machines, as many as the sheet of arpc-clonio-grown names.
const GATEWAYS: usize = 31;
const SERVERS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the store's return to the first heartbeat after it, for the first server and the
/// further time for each other one: all entries are back 1.8 s after the return. The pages give
/// about two seconds.
const RETURN_LAG: Duration = Duration::from_millis(1_400);
const RETURN_STEP: Duration = Duration::from_millis(80);
const OUTAGE: Duration = Duration::from_secs(8);
const RECOVERY: Duration = Duration::from_secs(15);
const STABLE: Duration = Duration::from_secs(4);
/// Bounds of the sheet of arpc-clonio-grown.
const BOUNDS: &str = "bounds.stable-window-ms=4000\nbounds.drain-ms=3000\nbounds.grace-s=8\n\
    bounds.lost-slack-ms=200\nbounds.config-apply-ms=3000\nbounds.retry-budget-ratio=0.2\n\
    bounds.budget-window-s=10\nbounds.budget-extra-retries=102\nbounds.recovery-s=15\n\
    bounds.lease-ms=3000\nbounds.version-ms=10000\nbounds.version-all-ms=14000\n";

/// Request of a client: when its first attempt was sent, and how its attempts ended.
struct Sent {
    at: Instant,
    statuses: Vec<u16>,
}

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(folder) else {
        return 2;
    };
    let temporary = std::env::temp_dir().join(format!("review-lapse-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return 2;
    }
    let code = play(&record, &temporary, has_trouble);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    code
}

fn play(record: &Record, temporary: &Path, has_trouble: bool) -> i32 {
    let ports = Ports::free();
    let Ok(listener) = std::net::TcpListener::bind(("127.0.0.1", ports.store)) else {
        return 2;
    };
    let store = Store::start(listener);
    store.put("keyed.op", "config", Some(&plain_configuration()));
    let last_return = Arc::new(Mutex::new(None));
    for index in 0..SERVERS {
        let id = format!("i-{index}");
        let address = plain_server(&id, record);
        keep_registered(index, id, address, &store, Arc::clone(&last_return), record);
    }
    let ips: Vec<_> = (0..GATEWAYS).map(machine_ip).collect();
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|index| Gateway::new(index, ports, &ips[..3], temporary, BOUNDS))
        .collect();
    gateways.iter_mut().for_each(Gateway::start);
    if !await_ready(&ips, ports) {
        record.say("the gateways did not become ready");
        return 2;
    }
    let balancer = Arc::new(Balancer::start(&ips, ports));
    std::thread::sleep(Duration::from_millis(1_500));
    record.say(&format!("{GATEWAYS} gateways are ready"));
    let sent = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients = start_clients(ports, &balancer, &sent, &is_over, record);

    let began = Instant::now();
    std::thread::sleep(Duration::from_secs(8));
    record.say("final fault: all gateways are killed");
    let fault = Instant::now();
    gateways.iter_mut().for_each(Gateway::kill);
    std::thread::sleep(Duration::from_secs(1));
    gateways.iter_mut().for_each(Gateway::start);
    let back = Instant::now();
    record.say("all gateways are started again");
    std::thread::sleep(Duration::from_secs(6));
    if has_trouble {
        record.say("the store is down");
        store.set_down(true);
    }
    std::thread::sleep(OUTAGE);
    if has_trouble {
        *last_return.lock().expect("the lock") = Some(Instant::now());
        store.set_down(false);
        record.say("the store is back");
    }
    // Every machine is in touch again after this, and the time for the recovery starts anew.
    let judged_from = (back + RECOVERY).max(Instant::now() + STABLE + RECOVERY);
    std::thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    record.say("requests are judged from here");
    std::thread::sleep(Duration::from_secs(15));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let has_crashed = gateways.iter_mut().any(|gateway| gateway.ended().is_some());
    drop(gateways);
    let sent = sent.lock().expect("the lock");
    let before = share(record, "before the final fault", &sent, |at| {
        at >= began && at < fault
    });
    let after = share(record, "judged", &sent, |at| at >= judged_from);
    if has_crashed || before < 0.25 {
        record.say("the case could not run");
        return 2;
    }
    if after < 0.25 {
        record.say("RECOVER is broken: less than a quarter is served");
        return 1;
    }
    record.say("RECOVER holds");
    0
}

/// Returns the share of requests that were served at any of their attempts.
fn share(record: &Record, name: &str, sent: &[Sent], counts: impl Fn(Instant) -> bool) -> f64 {
    let chosen: Vec<&Sent> = sent.iter().filter(|request| counts(request.at)).collect();
    let served = chosen
        .iter()
        .filter(|request| request.statuses.contains(&200))
        .count();
    let attempts: usize = chosen.iter().map(|request| request.statuses.len()).sum();
    let refused = chosen.iter().flat_map(|request| &request.statuses);
    let refused = refused.filter(|status| **status == 503).count();
    record.say(&format!(
        "{name}: {served} of {} requests served, in {attempts} attempts, {refused} of them refused with 503",
        chosen.len()
    ));
    served as f64 / chosen.len().max(1) as f64
}

/// Writes a server's heartbeats, and removes its entry after three intervals of silence.
fn keep_registered(
    index: usize,
    id: String,
    address: SocketAddr,
    store: &Store,
    last_return: Arc<Mutex<Option<Instant>>>,
    record: &Record,
) {
    let (store, record) = (store.clone(), record.clone());
    let zone = ZONES[index % ZONES.len()];
    std::thread::spawn(move || {
        let key = id;
        let place = u32::try_from(index).unwrap_or(0);
        std::thread::sleep(HEARTBEAT * place / SERVERS as u32);
        let mut sequence = 0;
        let mut accepted = Instant::now();
        let mut due = Instant::now();
        let mut is_listed = false;
        let mut was_down = false;
        loop {
            std::thread::sleep(Duration::from_millis(20));
            if store.is_down() {
                was_down = true;
                if is_listed && accepted.elapsed() >= HEARTBEAT * 3 {
                    store.put("keyed.servers", &key, None);
                    record.say(&format!("the entry of {key} has expired"));
                    is_listed = false;
                }
                continue;
            }
            if std::mem::take(&mut was_down) {
                let returned = last_return
                    .lock()
                    .expect("the lock")
                    .unwrap_or_else(Instant::now);
                due = returned + RETURN_LAG + RETURN_STEP * place;
            }
            if Instant::now() < due {
                continue;
            }
            due += HEARTBEAT;
            sequence += 1;
            let entry = format!(
                "{{\"service\":\"clone-api\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"born\":1700000000000,\"sequence\":{sequence}}}"
            );
            store.put("keyed.servers", &key, Some(&entry));
            if !is_listed {
                record.say(&format!("the entry of {key} is listed"));
            }
            accepted = Instant::now();
            is_listed = true;
        }
    });
}

/// Starts clients that each send a request, wait, and retry once after a refusal.
fn start_clients(
    ports: Ports,
    balancer: &Arc<Balancer>,
    sent: &Arc<Mutex<Vec<Sent>>>,
    is_over: &Arc<AtomicBool>,
    record: &Record,
) -> Vec<std::thread::JoinHandle<()>> {
    let mut clients = Vec::new();
    for client in 0..12_u64 {
        let (balancer, sent) = (Arc::clone(balancer), Arc::clone(sent));
        let (is_over, record) = (Arc::clone(is_over), record.clone());
        clients.push(std::thread::spawn(move || {
            let mut dice = Dice(0x9e37_79b9 + client * 7919);
            let mut number = 0_u64;
            while !is_over.load(Ordering::Relaxed) {
                number += 1;
                let is_idempotent = dice.roll(3) == 0;
                let mut request = Sent {
                    at: Instant::now(),
                    statuses: Vec::new(),
                };
                let mut used = usize::MAX;
                for attempt in 0..2 {
                    let targets = balancer.targets();
                    let others: Vec<usize> = targets
                        .iter()
                        .copied()
                        .filter(|index| *index != used)
                        .collect();
                    used = others[dice.roll(others.len())];
                    let id = format!("{client:04x}{number:08x}{attempt:04x}");
                    let line = if is_idempotent {
                        "GET /status/unit"
                    } else {
                        "POST /commit/unit"
                    };
                    let head = format!(
                        "{line} HTTP/1.1\r\nHost: unit.example\r\nX-Request-Id: {id}\r\n\
                         X-Deadline-Ms: 1000\r\n"
                    );
                    let body: &[u8] = if is_idempotent { b"" } else { b"configuration" };
                    let address = SocketAddr::new(machine_ip(used), ports.front);
                    let answer = http::call(address, &head, body, Duration::from_millis(1_200));
                    let status = answer.as_ref().map_or(0, |answer| answer.status());
                    let is_sealed = answer.as_ref().is_ok_and(|answer| {
                        answer.header("x-server-seal").is_some() && answer.body == b"done"
                    });
                    let status = if status == 200 && !is_sealed {
                        599
                    } else {
                        status
                    };
                    record.line(&format!("sent {id} to gateway {used}: {status}"));
                    request.statuses.push(status);
                    let may_retry = status == 503 || (is_idempotent && status != 200);
                    if !may_retry {
                        break;
                    }
                    let wait = answer.ok().and_then(|answer| {
                        answer
                            .header("retry-after")
                            .and_then(|text| text.parse::<f64>().ok())
                    });
                    std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.0).min(0.3)));
                }
                sent.lock().expect("the lock").push(request);
                std::thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    clients
}
