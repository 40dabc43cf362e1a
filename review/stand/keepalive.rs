//! Case: a server spoils the `Keep-Alive` header of a few of its answers.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::rig::{
    await_ready, machine_ip, plain_configuration, Balancer, Dice, Gateway, Ports, Record, ZONES,
};
use crate::store::Store;

/// Front machines and servers of the sheet of arpc-clonio.
const GATEWAYS: usize = 4;
const SERVERS: usize = 4;
const CLIENTS: u64 = 16;
/// One of this many answers of one of the four servers is spoiled: a share of 0.25, x = 0.05.
const SPOILED_ONE_IN: usize = 20;
const SPOILED: &str = "timeout=9223372036854775807";
const BOUNDS: &str = "bounds.stable-window-ms=3000\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
    bounds.lost-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.retry-budget-ratio=0.2\n\
    bounds.budget-window-s=10\nbounds.budget-extra-retries=56\nbounds.recovery-s=12\n\
    bounds.lease-ms=3000\nbounds.version-ms=8000\nbounds.version-all-ms=11000\n";

/// Server at which each request ran.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

pub fn run(folder: &str) -> i32 {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(folder) else {
        return 2;
    };
    let temporary = std::env::temp_dir().join(format!("review-keepalive-{}", std::process::id()));
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
    store.put("keyed.op", "config", Some(&plain_configuration()));
    let runs: Runs = Arc::default();
    let is_spoiling = Arc::new(AtomicBool::new(false));
    let spoiled = Arc::new(AtomicUsize::new(0));
    for index in 0..SERVERS {
        let address = start_server(index, &runs, &is_spoiling, &spoiled, record);
        keep_registered(index, address, &store);
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
    std::thread::sleep(Duration::from_millis(4_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(vec![0_u32; GATEWAYS]));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = Client {
            number,
            ports,
            balancer: Arc::clone(&balancer),
            runs: Arc::clone(&runs),
            lost: Arc::clone(&lost),
            answered: Arc::clone(&answered),
            is_over: Arc::clone(&is_over),
            record: record.clone(),
        };
        clients.push(std::thread::spawn(move || client.run()));
    }
    is_spoiling.store(has_trouble, Ordering::Relaxed);
    let mut exits = 0;
    let until = Instant::now() + Duration::from_secs(40);
    while Instant::now() < until {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if let Some(status) = gateway.ended() {
                exits += 1;
                record.say(&format!("gateway {index} has ended by itself: {status}"));
                gateway.kill();
                std::thread::sleep(Duration::from_millis(200));
                gateway.start();
            }
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    let lost = lost.lock().expect("the lock");
    record.say(&format!(
        "{} answers, {} spoiled ones, {exits} ends of gateways; requests from kept connections that \
         reached a sound server and got no answer, by gateway: {lost:?}",
        answered.load(Ordering::Relaxed),
        spoiled.load(Ordering::Relaxed),
    ));
    if answered.load(Ordering::Relaxed) == 0 {
        return 2;
    }
    if lost.iter().any(|count| *count > 3) {
        record.say("LOST is broken");
        return 1;
    }
    record.say("LOST holds");
    0
}

/// Starts a server; server 0 spoils some of its answers.
fn start_server(
    index: usize,
    runs: &Runs,
    is_spoiling: &Arc<AtomicBool>,
    spoiled: &Arc<AtomicUsize>,
    record: &Record,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (runs, record) = (Arc::clone(runs), record.clone());
    let (is_spoiling, spoiled) = (Arc::clone(is_spoiling), Arc::clone(spoiled));
    let id = format!("i-{index}");
    let count = AtomicUsize::new(0);
    http::serve(listener, move |request, stream| {
        let request_id = request.header("x-request-id").unwrap_or_default();
        if request
            .header("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let headers = [("x-instance-id", id.as_str()), ("x-request-id", request_id)];
            return http::respond(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        runs.lock()
            .expect("the lock")
            .insert(request_id.to_owned(), index);
        record.line(&format!("run {request_id} at {id}"));
        std::thread::sleep(Duration::from_millis(30));
        let number = count.fetch_add(1, Ordering::Relaxed);
        let is_spoiled = index == 0
            && is_spoiling.load(Ordering::Relaxed)
            && number % SPOILED_ONE_IN == SPOILED_ONE_IN - 1;
        if is_spoiled {
            spoiled.fetch_add(1, Ordering::Relaxed);
            record.line(&format!(
                "the answer to {request_id} says Keep-Alive: {SPOILED}"
            ));
        }
        let headers = [
            ("x-instance-id", id.as_str()),
            ("x-request-id", request_id),
            ("x-server-seal", "seal"),
            ("keep-alive", if is_spoiled { SPOILED } else { "timeout=5" }),
        ];
        http::respond(stream, "200 OK", &headers, b"done").is_ok()
    });
    address
}

fn keep_registered(index: usize, address: SocketAddr, store: &Store) {
    let store = store.clone();
    let zone = ZONES[index % ZONES.len()];
    std::thread::spawn(move || {
        for sequence in 1_u64.. {
            let entry = format!(
                "{{\"service\":\"clone-api\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
                 \"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\
                 \"born\":1700000000000,\"sequence\":{sequence}}}"
            );
            store.put("keyed.servers", &format!("i-{index}"), Some(&entry));
            std::thread::sleep(Duration::from_millis(1_200));
        }
    });
}

/// Client that keeps its connection for many requests.
struct Client {
    number: u64,
    ports: Ports,
    balancer: Arc<Balancer>,
    runs: Runs,
    lost: Arc<Mutex<Vec<u32>>>,
    answered: Arc<AtomicUsize>,
    is_over: Arc<AtomicBool>,
    record: Record,
}

impl Client {
    fn run(&self) {
        let mut dice = Dice(0x51_7c_c1 + self.number * 104_729);
        let mut count = 0_u64;
        while !self.is_over.load(Ordering::Relaxed) {
            let targets = self.balancer.targets();
            let gateway = targets[dice.roll(targets.len())];
            let address = SocketAddr::new(machine_ip(gateway), self.ports.front);
            let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
                std::thread::sleep(Duration::from_millis(100));
                continue;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(Duration::from_millis(1_500)));
            let Ok(mut writer) = stream.try_clone() else {
                continue;
            };
            let mut reader = BufReader::new(stream);
            let mut is_kept = false;
            while !self.is_over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{:04x}{count:012x}", self.number);
                let head = format!(
                    "POST /commit/unit HTTP/1.1\r\nHost: unit.example\r\nX-Request-Id: {id}\r\n\
                     X-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\nunit"
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    break;
                }
                match http::read(&mut reader) {
                    Ok(Some(answer)) => {
                        self.answered.fetch_add(1, Ordering::Relaxed);
                        self.record.line(&format!(
                            "sent {id} to gateway {gateway}: {}",
                            answer.status()
                        ));
                        if answer
                            .header("connection")
                            .is_some_and(|value| value == "close")
                        {
                            break;
                        }
                    }
                    _ => {
                        self.record
                            .line(&format!("sent {id} to gateway {gateway}: no answer"));
                        let at = self.runs.lock().expect("the lock").get(&id).copied();
                        if is_kept && at.is_some_and(|server| server != 0) {
                            self.lost.lock().expect("the lock")[gateway] += 1;
                        }
                        break;
                    }
                }
                is_kept = true;
                std::thread::sleep(Duration::from_millis(120));
            }
        }
    }
}
