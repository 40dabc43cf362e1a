//! A request that crashes each server of a plain service with few requests, at several gateways.

mod gateway_world;
mod raw_request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushslip::platform::store_client::{StoreClient, UPSTREAM_TOPIC};
use gateway_world::{Behaviour, Gateway, TestEnvironment, Upstream, route, until};
use hyper::StatusCode;
use raw_request::read_request;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Path of the request that crashes servers.
const DEADLY: &str = "/read/deadly";

/// Time for which a crashed server is down.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// Time from the next start of a server to the removal of the entry of its last run.
const ENTRY_LIFETIME: Duration = Duration::from_millis(600);

/// Time between two arrivals of the request, in which no other request comes; longer than that in which a
/// failed connection shows what an earlier loss was.
const PAUSE: Duration = Duration::from_millis(1_800);

/// The users' stable window, which begins at the third crash.
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Crash after which the users' limit applies.
const CRASH_LIMIT: usize = 3;

/// Retries that may reach servers after that.
const MAX_LATE_ARRIVALS: usize = 3;

/// How a server comes back after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ServerReturn {
    /// Under its name, at its address.
    SameName,
    /// Under another name, at its address.
    OtherName,
    /// Under another name, at another address.
    OtherAddress,
}

/// What the servers have seen.
#[derive(Debug, Clone, Default)]
struct ServerRecord {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
}

/// Server that announces itself in the store.
#[derive(Debug, Clone)]
struct Server {
    number: usize,
    store: SocketAddr,
    comes_back: ServerReturn,
    record: Arc<watch::Sender<ServerRecord>>,
}

impl Server {
    fn name(&self, run: u64) -> String {
        let run = match self.comes_back {
            ServerReturn::SameName => 0,
            ServerReturn::OtherName | ServerReturn::OtherAddress => run,
        };
        format!("i-{}-{run}", self.number)
    }

    async fn put(&self, name: &str, value: &str) {
        let length = u8::try_from(name.len()).expect("a short name");
        let record = [&[length][..], name.as_bytes(), value.as_bytes()].concat();
        let mut store = StoreClient::new(self.store);
        let appended = store.append(UPSTREAM_TOPIC, &record).await;
        appended.expect("an append");
    }

    async fn announce(&self, address: SocketAddr, run: u64) {
        let entry = json!({"service": "s", "address": address, "zone": "near", "slots": 8, "version": "v1", "cold-left-ms": 0, "sequence": 0,
            "state": "ready", "born": run + 1, "models": []});
        self.put(&self.name(run), &entry.to_string()).await;
    }

    async fn run(self, mut listener: TcpListener, mut address: SocketAddr) {
        for run in 0.. {
            let crash = Arc::new(Notify::new());
            let mut connections = JoinSet::new();
            loop {
                tokio::select! {
                    Ok((stream, _)) = listener.accept() => {
                        connections.spawn(self.clone().serve(stream, run, Arc::clone(&crash)));
                    }
                    () = crash.notified() => break,
                }
            }
            self.record
                .send_modify(|record| record.crashes.push(Instant::now()));
            drop((listener, connections));
            sleep(DOWN_TIME).await;
            if self.comes_back == ServerReturn::OtherAddress {
                address.set_port(0);
            }
            listener = TcpListener::bind(address).await.expect("a port");
            address = listener.local_addr().expect("an address");
            self.announce(address, run + 1).await;
            let (last, next) = (self.name(run), self.name(run + 1));
            if last != next {
                let server = self.clone();
                tokio::spawn(async move {
                    sleep(ENTRY_LIFETIME).await;
                    server.put(&last, "").await;
                });
            }
        }
    }

    async fn serve(self, mut stream: TcpStream, run: u64, crash: Arc<Notify>) {
        while let Some((text, id)) = read_request(&mut stream).await {
            let name = self.name(run);
            let is_expected = text.contains(&format!("x-expect-instance: {name}\r\n"));
            let status = if is_expected {
                "200 OK\r\nx-server-seal: seal"
            } else {
                "421 Misdirected"
            };
            if is_expected && text.contains(DEADLY) {
                let now = Instant::now();
                self.record.send_modify(|record| record.arrivals.push(now));
                sleep(Duration::from_millis(30)).await;
                crash.notify_one();
                return std::future::pending().await;
            }
            let response = format!(
                "HTTP/1.1 {status}\r\nx-instance-id: {name}\r\nx-request-id: {id}\r\ncontent-length: 4\r\n\r\ndone"
            );
            // If a write fails, the caller's response fails the test.
            drop(stream.write_all(response.as_bytes()).await);
        }
    }
}

async fn start_servers(
    world: &TestEnvironment,
    comes_back: ServerReturn,
) -> watch::Receiver<ServerRecord> {
    let (sender, receiver) = watch::channel(ServerRecord::default());
    let record = Arc::new(sender);
    for number in 0..4 {
        let server = Server {
            number,
            store: world.store(),
            comes_back,
            record: Arc::clone(&record),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        server.announce(address, 0).await;
        tokio::spawn(server.run(listener, address));
    }
    receiver
}

async fn start_gateway(world: &TestEnvironment, name: &str, peers: &[Gateway]) -> Gateway {
    let seeds: Vec<_> = peers
        .iter()
        .map(|peer| peer.process.port("peers"))
        .collect();
    let gateway = Gateway::start(name, world.store(), &seeds);
    gateway.ready().await;
    gateway
}

async fn send(gateway: &Gateway, id: &str, path: &str) -> Option<StatusCode> {
    let headers = [("x-api-key", "key"), ("x-deadline-ms", "3000")];
    let response = gateway.send_as(id, path, &headers, "").await;
    response.ok().map(|response| response.status)
}

/// Sends the deadly request to gateways in turn, with pauses, to some that start or restart after it is refused,
/// and asserts that few reach servers.
async fn assert_refused(comes_back: ServerReturn) {
    let world = TestEnvironment::start();
    world.configure(1, &[route("/", "idempotent", 2)]).await;
    let record = start_servers(&world, comes_back).await;
    let first = start_gateway(&world, "g", &[]).await;
    let second = start_gateway(&world, "gg", std::slice::from_ref(&first)).await;
    let mut gateways = vec![first, second];
    let mut sound = 0;
    for number in 0..9 {
        if number == 5 {
            gateways.push(start_gateway(&world, "ggg", &gateways).await);
            gateways.push(start_gateway(&world, "gggg", &gateways).await);
            sleep(Duration::from_secs(1)).await;
        }
        let gateway = &gateways[number % gateways.len()];
        send(gateway, &format!("d{number}"), DEADLY).await;
        sleep(PAUSE / 2).await;
        let status = send(gateway, &format!("s{number}"), &format!("/read/{number}")).await;
        sound += u32::from(status == Some(StatusCode::OK));
        sleep(PAUSE / 2).await;
    }
    let record = record.borrow().clone();
    let third = record.crashes.get(CRASH_LIMIT - 1);
    let late = third.map_or(0, |third| {
        let is_late = |at: &&Instant| **at > *third + STABLE_WINDOW;
        record.arrivals.iter().filter(is_late).count()
    });
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {} crashes",
        record.crashes.len()
    );
    assert!(sound >= 8, "{sound} of 9 other requests are served");
}

/// Guards against a request that crashes servers without end because they return as new upstreams.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_is_refused_when_they_return_under_other_names() {
    assert_refused(ServerReturn::OtherName).await;
}

/// Guards against the same with servers that are listed at other addresses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_is_refused_when_they_return_at_other_addresses() {
    assert_refused(ServerReturn::OtherAddress).await;
}

/// Guards against the same with servers that return as the upstreams that they were.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_crashes_servers_is_refused_when_they_return_under_their_names() {
    assert_refused(ServerReturn::SameName).await;
}

/// Guards against equal requests that arrive together at all gateways, and crash servers with each batch.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn equal_requests_that_arrive_together_and_crash_servers_are_refused() {
    let world = TestEnvironment::start();
    world.configure(1, &[route("/", "idempotent", 2)]).await;
    let record = start_servers(&world, ServerReturn::OtherName).await;
    let first = start_gateway(&world, "g", &[]).await;
    let second = start_gateway(&world, "gg", std::slice::from_ref(&first)).await;
    let gateways = [first, second];
    for batch in 0..4 {
        let requests = (0..8).map(|number| {
            let gateway = &gateways[number % 2];
            async move { send(gateway, &format!("b{batch}n{number}"), DEADLY).await }
        });
        futures::future::join_all(requests).await;
        sleep(STABLE_WINDOW + PAUSE / 2).await;
    }
    let record = record.borrow().clone();
    let third = record.crashes[CRASH_LIMIT - 1];
    let is_late = |at: &&Instant| **at > third + STABLE_WINDOW;
    let late = record.arrivals.iter().filter(is_late).count();
    assert!(
        late <= MAX_LATE_ARRIVALS,
        "{late} late arrivals, {} crashes",
        record.crashes.len()
    );
}

/// Guards against refusing a request whose connections break at servers that go on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_connections_break_at_sound_servers_is_not_refused() {
    let world = TestEnvironment::start();
    world.configure(1, &[route("/", "idempotent", 2)]).await;
    let behaviours = [
        vec![Behaviour::Truncate; 6],
        vec![Behaviour::Answer(200, "done")],
    ]
    .concat();
    let upstreams = [
        Upstream::start(behaviours.clone()).await,
        Upstream::start(behaviours).await,
    ];
    for (number, upstream) in upstreams.iter().enumerate() {
        world
            .announce(&format!("i-{number}"), upstream, "ready")
            .await;
    }
    let gateway = start_gateway(&world, "g", &[]).await;
    let mut number = 0;
    until("served", async || {
        number += 1;
        let status = send(&gateway, &format!("r{number}"), "/read/1").await;
        assert_ne!(
            status,
            Some(StatusCode::SERVICE_UNAVAILABLE),
            "refused at try {number}"
        );
        status == Some(StatusCode::OK)
    })
    .await;
    assert!(number > 3, "{number} tries");
}
