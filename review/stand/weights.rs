//! Case: model servers spoil the weights header of a few answers before new weights are named.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::rig::{await_ready, machine_ip, Balancer, Dice, Gateway, Ports, Record, ZONES};
use crate::store::Store;

/// Front machines of the sheet of arpc-clonio.
const GATEWAYS: usize = 4;
const SERVERS: usize = 10;
/// Servers that spoil answers: a share of 0.3.
const SPOILING: usize = 3;
/// One of this many answers of such a server is spoiled: x = 0.02.
const SPOILED_ONE_IN: usize = 50;
const SPOILING_TIME: Duration = Duration::from_millis(5_500);
const CLIENTS: u64 = 24;
const LOAD_TIME: Duration = Duration::from_millis(570);
/// 1.5 x `version-ms`, and `stable-window-ms` beside it.
const VERSION_TIME: Duration = Duration::from_millis(12_000 + 3_000);
const BOUNDS: &str = "bounds.stable-window-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
    bounds.lost-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.retry-budget-ratio=0.2\n\
    bounds.budget-window-s=10\nbounds.budget-extra-retries=56\nbounds.recovery-s=12\n\
    bounds.lease-ms=3000\nbounds.version-ms=8000\nbounds.version-all-ms=11000\n";

/// Model server.
#[derive(Debug)]
struct Engine {
    id: String,
    version: u64,
    loads: Option<(u64, Instant)>,
    orders: u64,
    answers: usize,
}

impl Engine {
    fn update(&mut self) {
        if let Some((version, due)) = self.loads {
            if Instant::now() >= due {
                self.version = version;
                self.loads = None;
            }
        }
    }

    fn models(&mut self) -> String {
        self.update();
        format!(
            "[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}]",
            self.version
        )
    }
}

type SharedEngine = Arc<Mutex<Engine>>;

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(folder) else {
        return 2;
    };
    let temporary = std::env::temp_dir().join(format!("review-weights-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return 2;
    }
    let code = play(&record, &temporary, has_trouble);
    let _ = std::fs::remove_dir_all(&temporary);
    code
}

fn play(record: &Record, temporary: &Path, has_trouble: bool) -> i32 {
    let ports = Ports::free();
    let Ok(listener) = TcpListener::bind(("127.0.0.1", ports.store)) else {
        return 2;
    };
    let store = Store::start(listener);
    store.put("keyed.op", "config", Some(&configuration()));
    store.put(
        "keyed.op",
        "version/m0",
        Some("{\"model\":\"m0\",\"version\":1}"),
    );
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let spoiled = Arc::new(AtomicUsize::new(0));
    let engines: Vec<SharedEngine> = (0..SERVERS)
        .map(|index| start_engine(index, &store, &is_spoiling, &spoiled, record))
        .collect();
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
    std::thread::sleep(Duration::from_millis(4_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new([0_usize; 2]));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (balancer, is_over) = (Arc::clone(&balancer), Arc::clone(&is_over));
        let (answers, record) = (Arc::clone(&answers), record.clone());
        clients.push(std::thread::spawn(move || {
            run_client(number, ports, &balancer, &is_over, &answers, &record);
        }));
    }
    std::thread::sleep(Duration::from_secs(1));
    is_spoiling.store(has_trouble, Ordering::Relaxed);
    record.say("servers begin to spoil answers");
    std::thread::sleep(SPOILING_TIME);
    is_spoiling.store(false, Ordering::Relaxed);
    record.say("servers spoil no more answers");
    std::thread::sleep(Duration::from_secs(4));
    store.put(
        "keyed.op",
        "version/m0",
        Some("{\"model\":\"m0\",\"version\":2}"),
    );
    record.say("version 2 is named and acknowledged");
    std::thread::sleep(VERSION_TIME);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let mut old = 0;
    for engine in &engines {
        let mut engine = engine.lock().expect("the lock");
        engine.update();
        old += usize::from(engine.version < 2);
        record.say(&format!(
            "{} has version {}, got {} orders",
            engine.id, engine.version, engine.orders
        ));
    }
    drop(gateways);
    let answers = *answers.lock().expect("the lock");
    record.say(&format!(
        "{} requests served, {} not; {} answers spoiled; {old} of {SERVERS} servers have an older version",
        answers[0],
        answers[1],
        spoiled.load(Ordering::Relaxed),
    ));
    if answers[0] == 0 || has_trouble && spoiled.load(Ordering::Relaxed) == 0 {
        return 2;
    }
    if old > 1 && old * 10 > SERVERS {
        record.say("VERSION is broken");
        return 1;
    }
    record.say("VERSION holds");
    0
}

fn configuration() -> String {
    "{\"version\":1,\"routes\":[{\"name\":\"r1\",\"host\":\"unit.example\",\"path-prefix\":\"/query/\",\
     \"kind\":\"streaming\",\"timeout-ms\":5000,\"target-latency-ms\":500,\"priority\":0,\
     \"service\":\"llm-fleet\",\"max-attempts\":1,\"public\":true,\"sticky\":true,\
     \"resumable\":false,\"gap-aim-ms\":500}],\"services\":[{\"name\":\"llm-fleet\",\
     \"health-path\":\"/healthz\",\"max-connections\":240,\"protocol\":\"h1\",\"tls\":false,\
     \"engine\":{\"slots\":32,\"kv-capacity-tokens\":162770,\"token-kv-bytes\":327680,\
     \"link-mbps\":280000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"max-inflight\":8,\
     \"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m0\"}]}}],\
     \"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
     \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}"
        .to_owned()
}

/// Starts a model server that serves streams, takes orders and registers itself.
fn start_engine(
    index: usize,
    store: &Store,
    is_spoiling: &Arc<AtomicBool>,
    spoiled: &Arc<AtomicUsize>,
    record: &Record,
) -> SharedEngine {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let id = format!("i-{index}");
    let engine = Arc::new(Mutex::new(Engine {
        id: id.clone(),
        version: 1,
        loads: None,
        orders: 0,
        answers: 0,
    }));
    let (served, record) = (Arc::clone(&engine), record.clone());
    let (is_spoiling, spoiled) = (Arc::clone(is_spoiling), Arc::clone(spoiled));
    let own_id = id.clone();
    http::serve(listener, move |request, stream| {
        let request_id = request.header("x-request-id").unwrap_or_default();
        let mut engine = served.lock().expect("the lock");
        engine.update();
        let version = engine.version.to_string();
        let expected = request.header("x-expect-version");
        let is_other = request
            .header("x-expect-instance")
            .is_some_and(|known| known != own_id);
        if is_other || expected.is_some_and(|expected| expected != version) {
            drop(engine);
            let headers = [
                ("x-instance-id", own_id.as_str()),
                ("x-request-id", request_id),
                ("x-weight-versions", version.as_str()),
            ];
            let headers = if is_other {
                &headers[..2]
            } else {
                &headers[..]
            };
            return http::respond(stream, "421 Misdirected Request", headers, b"").is_ok();
        }
        match request.path() {
            "/report" => {
                let busy = engine.loads.is_some();
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":{},\"busy\":{busy},\"sequence\":{},\"waiting\":0,\
                     \"running\":1,\"kv-used\":1000,\"kv-total\":162770,\"handles\":0}}",
                    engine.models(),
                    engine.orders
                );
                drop(engine);
                let headers = [("content-type", "application/json")];
                http::respond(stream, "200 OK", &headers, body.as_bytes()).is_ok()
            }
            "/order" => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                record.line(&format!("order at {own_id}: {text}"));
                let status = order(&mut engine, &text);
                drop(engine);
                http::respond(stream, status, &[], b"{}").is_ok()
            }
            _ => {
                engine.answers += 1;
                let is_spoiled = index < SPOILING
                    && is_spoiling.load(Ordering::Relaxed)
                    && engine.answers % SPOILED_ONE_IN == 0;
                drop(engine);
                record.line(&format!(
                    "run {request_id} at {own_id} with version {version}"
                ));
                std::thread::sleep(Duration::from_millis(20));
                let mut stated = version.clone();
                if is_spoiled {
                    spoiled.fetch_add(1, Ordering::Relaxed);
                    // One wrong byte.
                    stated = "9".to_owned();
                    record.line(&format!(
                        "the answer to {request_id} says X-Weight-Versions: {stated}"
                    ));
                }
                let headers = [
                    ("content-type", "text/event-stream"),
                    ("x-instance-id", own_id.as_str()),
                    ("x-request-id", request_id),
                    ("x-server-seal", "seal"),
                    ("x-weight-versions", stated.as_str()),
                ];
                let body = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
                http::respond(stream, "200 OK", &headers, body).is_ok()
            }
        }
    });
    let (registered, store) = (Arc::clone(&engine), store.clone());
    let zone = ZONES[index % ZONES.len()];
    std::thread::spawn(move || {
        for sequence in 1_u64.. {
            let models = registered.lock().expect("the lock").models();
            let entry = format!(
                "{{\"service\":\"llm-fleet\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":32,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"stage\":\"both\",\"models\":{models},\"born\":1700000000000,\"sequence\":{sequence}}}"
            );
            store.put("keyed.servers", &id, Some(&entry));
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
    engine
}

/// Takes an order as the pages say; returns the status of the answer.
fn order(engine: &mut Engine, text: &str) -> &'static str {
    let number = |name: &str| {
        let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
        let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
        digits.parse::<u64>().ok()
    };
    let Some(version) = number("version") else {
        return "400 Bad Request";
    };
    if engine.loads.is_some() || number("expect").is_some_and(|expect| expect != engine.orders) {
        return "409 Conflict";
    }
    if engine.version == version {
        return "200 OK";
    }
    engine.orders += 1;
    engine.loads = Some((version, Instant::now() + LOAD_TIME));
    "202 Accepted"
}

fn run_client(
    number: u64,
    ports: Ports,
    balancer: &Balancer,
    is_over: &AtomicBool,
    answers: &Mutex<[usize; 2]>,
    record: &Record,
) {
    let mut dice = Dice(0x2545_f491 + number * 15_485_863);
    let mut count = 0_u64;
    while !is_over.load(Ordering::Relaxed) {
        count += 1;
        let targets = balancer.targets();
        let gateway = targets[dice.roll(targets.len())];
        let id = format!("{number:04x}{count:012x}");
        let shared = dice.roll(40);
        let head = format!(
            "POST /query/{number:x} HTTP/1.1\r\nHost: unit.example\r\nX-Request-Id: {id}\r\n\
             X-Model: m0\r\nX-Token-Usage: 100,10\r\nX-Prompt-Prefix: a{shared:x}:60,{id}:40\r\n\
             X-Deadline-Ms: 5000\r\n"
        );
        let address = SocketAddr::new(machine_ip(gateway), ports.front);
        let body = format!("question {id}");
        let answer = http::call(
            address,
            &head,
            body.as_bytes(),
            Duration::from_millis(5_500),
        );
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        record.line(&format!("sent {id} to gateway {gateway}: {status}"));
        answers.lock().expect("the lock")[usize::from(status != 200)] += 1;
        std::thread::sleep(Duration::from_millis(70));
    }
}
