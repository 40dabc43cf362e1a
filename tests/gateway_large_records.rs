//! Spread of large store records between gateways over slow links, with the real service `dispatch`
//! and the real task `peers`.

#[path = "common/slow_link.rs"]
mod slow_link;

mod dispatch_harness;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::decide::ids::LogOffset;
use bulrushslip::decide::keyed_view::KeyedRecord;
use bulrushslip::gateway::dispatch::{self, dispatch_service};
use bulrushslip::gateway::mail::{DispatchMail, GatewayMail, StateQuery, TopicRecords};
use bulrushslip::gateway::peer_exchange::peers_task;
use bulrushslip::gateway::record_reader::record_reader_task;
use bulrushslip::kernel::{Clock, Directory, RunningKernel, TokioKernel};
use bulrushslip::wire::peer_rpc::WireTopic;
use dispatch_harness::dispatch_settings;
use serde_json::json;
use slow_link::SlowLink;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

/// Bandwidth of the slowest instances of the users' deployments, in megabits per second.
const LINK_MEGABITS: u64 = 10;

/// Time within which a change is in force at all instances of the users' large deployments.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Instances behind slow links that know each other, each with the bandwidth of its link to itself.
struct SlowFleet {
    kernels: Vec<RunningKernel<GatewayMail>>,
    _links: Vec<JoinSet<()>>,
}

impl SlowFleet {
    async fn start(count: u64) -> Self {
        let mut listeners = Vec::new();
        let mut seeds: Vec<SocketAddr> = Vec::new();
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            seeds.push(listener.local_addr().expect("a bound port"));
            listeners.push(listener);
        }
        let (mut kernels, mut links) = (Vec::new(), Vec::new());
        for (id, outer) in (1..).zip(listeners) {
            let inner = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let mut settings = dispatch_settings(id);
            settings.identity.peer_address = outer.local_addr().expect("a bound port");
            let target = inner.local_addr().expect("a bound port");
            links.push(SlowLink::new(LINK_MEGABITS).relay(outer, target));
            let mut kernel = TokioKernel::new();
            let peers = peers_task(inner, &settings.identity, seeds.clone());
            kernel.add(dispatch_service(settings));
            kernel.add_task(peers);
            kernel.add_task(record_reader_task(id));
            kernels.push(kernel.launch(Clock::start()));
        }
        Self {
            kernels,
            _links: links,
        }
    }

    /// Passes a record to one instance as if it had been read from the store.
    fn write(&self, index: usize, topic: WireTopic, key: &str, value: &str, offset: u64) {
        let directory = &self.kernels[index].directory;
        let records = TopicRecords {
            topic,
            records: vec![KeyedRecord {
                key: key.to_owned(),
                value: Some(value.to_owned().into()),
                position: LogOffset(offset).into(),
            }],
            next: LogOffset(offset + 1).into(),
            confirmed_at: directory.now(),
        };
        dispatch::tell(directory, DispatchMail::Records(records));
    }

    /// Starts a fleet in which all instances have a small configuration.
    async fn configured(count: usize) -> Self {
        let fleet = Self::start(count as u64).await;
        for index in 0..count {
            let small = configuration(2, 50);
            fleet.write(index, WireTopic::Operator, "config", &small, 0);
        }
        assert_eq!(fleet.reached(2, APPLY_LIMIT).await, count);
        fleet
    }

    /// Waits until all instances have a configuration version; returns how many have it at the
    /// limit.
    async fn reached(&self, version: u64, limit: Duration) -> usize {
        let started = Instant::now();
        loop {
            let mut reached = 0;
            for kernel in &self.kernels {
                reached += usize::from(version_in_force(&kernel.directory).await == version);
            }
            if reached == self.kernels.len() || started.elapsed() > limit {
                return reached;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns the version of the configuration in force at an instance; 0 if there is none.
async fn version_in_force(directory: &Directory<GatewayMail>) -> u64 {
    let version = dispatch::ask(directory, |reply_to| {
        let inspect = Box::new(
            move |_now, state: &bulrushslip::gateway::dispatch::DispatchState| {
                let routes = state.routes.as_ref();
                reply_to.send(routes.map_or(0, |routes| routes.version));
            },
        );
        DispatchMail::Inspect(StateQuery { inspect })
    });
    version.await.expect("a running service")
}

/// Returns a configuration with so many routes, of about 180 bytes each.
fn configuration(version: u64, routes: u64) -> String {
    let routes: Vec<_> = (0..routes)
        .map(|route| {
            json!({"host": format!("host{}.example", route % 7),
                "path-prefix": format!("/{:08x}/", route.wrapping_mul(0x9e37_79b9)),
                "kind": "idempotent", "timeout-ms": 4000, "target-latency-ms": 500,
                "max-attempts": 2, "priority": 1, "service": "clone-api", "sticky": false})
        })
        .collect();
    json!({"version": version, "routes": routes, "services": [],
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 4096}})
    .to_string()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_configuration_reaches_all_instances_over_slow_links_in_time() {
    let fleet = SlowFleet::configured(16).await;
    let large = configuration(4, 1_400);
    assert!(large.len() > 200_000, "{} bytes", large.len());
    for reader in [0, 1] {
        fleet.write(reader, WireTopic::Operator, "config", &large, 1);
    }
    assert_eq!(fleet.reached(4, APPLY_LIMIT).await, 16, "of 16 instances");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_large_change_that_overtakes_the_first_is_in_force_in_time() {
    let fleet = SlowFleet::configured(16).await;
    for reader in [0, 1] {
        let first = configuration(4, 1_400);
        fleet.write(reader, WireTopic::Operator, "config", &first, 1);
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for reader in [0, 1] {
        let second = configuration(6, 1_500);
        fleet.write(reader, WireTopic::Operator, "config", &second, 2);
    }
    assert_eq!(fleet.reached(6, APPLY_LIMIT).await, 16, "of 16 instances");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_instance_that_starts_gets_many_records_over_slow_links() {
    let fleet = SlowFleet::start(4).await;
    for number in 0..770 {
        let (key, padding) = (format!("i-{number}"), "x".repeat(300));
        let entry = json!({"service": "s", "address": "127.0.0.1:9", "zone": "near", "slots": 8, "version": "v1", "cold-left-ms": 0, "sequence": 0,
            "state": "ready", "born": 1, "padding": padding});
        let entry = entry.to_string();
        fleet.write(0, WireTopic::Upstream, &key, &entry, number);
    }
    let started = Instant::now();
    loop {
        let mut complete = 0;
        for kernel in &fleet.kernels {
            let known = dispatch::ask(&kernel.directory, |reply_to| {
                let inspect = Box::new(
                    move |_now, state: &bulrushslip::gateway::dispatch::DispatchState| {
                        reply_to.send(state.view(WireTopic::Upstream).next.offset.0);
                    },
                );
                DispatchMail::Inspect(StateQuery { inspect })
            });
            complete += usize::from(known.await == Some(770));
        }
        if complete == fleet.kernels.len() {
            return;
        }
        assert!(started.elapsed() < APPLY_LIMIT, "{complete} of 4 instances");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}
