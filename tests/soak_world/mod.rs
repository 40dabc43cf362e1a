//! One soak: real gateways and the stand-in store as processes, loopback proxies between them, and
//! a seeded schedule of faults, signals and changes that come in series and overlap.

pub mod burst;
pub mod caller;
pub mod dice;
pub mod drills;
pub mod entry;
pub mod gateway;
pub mod ledger;
pub mod notices;
pub mod payload;
#[path = "../common/process.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod process;
pub mod prompt;
pub mod proxy;
pub mod renewal;
pub mod upstream;
pub mod weights;
pub mod weights_checks;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_client::{call, request};
use bulrushslip::platform::store_client::{OPERATOR_TOPIC, StoreClient};
use bulrushslip::platform::store_records::encode_keyed;
use burst::BurstPlan;
use caller::{Caller, CallerKind};
use dice::Dice;
use drills::StoreDrills;
use gateway::{SoakGateway, free_port, gateway_ip};
use http_body_util::Full;
use hyper::Method;
use ledger::{Kind, Leave, MAX_ATTEMPTS, NamedVersion, Scope, SharedLedger};
use payload::MAX_BODY_BYTES;
use process::ChildProcess;
use proxy::{LINK_FAULTS, LinkFault, LinkProxy};
use serde_json::json;
use tokio::sync::watch;
use tokio::task::JoinSet;
use upstream::{BAD_MOODS, Mood, SoakUpstream};
use weights::MODEL;

/// Time limit of the routes (`timeout-ms`).
pub const ROUTE_TIME: Duration = Duration::from_secs(4);

/// Time after which an undisturbed fleet serves again (`recovery-s` of the users' sites).
const RECOVERY_LIMIT: Duration = Duration::from_secs(12);

/// Time from the store's confirmation until a configuration is in force (`config-apply-ms`).
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);

/// Time limit of older weights, shorter than the users' 8 s so that a short run covers it.
const VERSION_LIMIT: Duration = Duration::from_secs(3);

/// Time after which all upstreams run the newest weights (`version-all-ms`).
const WEIGHTS_LIMIT: Duration = Duration::from_secs(11);

/// Grace of a planned stop (`grace-s`).
const STOP_GRACE: Duration = Duration::from_secs(4);

/// Time for a process to end beyond its grace before it counts as hung.
const END_LIMIT: Duration = Duration::from_secs(3);

/// Gateways of a soak.
const GATEWAYS: usize = 3;

/// Upstreams of a soak.
const UPSTREAMS: usize = 4;

/// Callers of a soak.
const CALLERS: u64 = 10;

/// Size of one soak.
#[derive(Debug, Clone, Copy)]
pub struct SoakPlan {
    /// Names the schedule.
    pub seed: u64,
    /// Time in which faults come.
    pub faults_for: Duration,
    /// Gateways; the addresses of further ones count up.
    pub gateways: usize,
    /// Callers that send requests all the time.
    pub callers: u64,
    /// Time from the store's confirmation of a version until no request begins on an older one
    /// (`version-ms`).
    pub weights_limit: Duration,
    /// Whether a burst of callers befalls a gateway with a low memory limit.
    pub has_burst: bool,
    /// Whether the store comes back from older copies.
    pub has_drills: bool,
}

impl SoakPlan {
    /// Creates the plan of the usual size.
    pub const fn new(seed: u64, faults_for: Duration) -> Self {
        Self {
            seed,
            faults_for,
            gateways: GATEWAYS,
            callers: CALLERS,
            weights_limit: VERSION_LIMIT,
            has_burst: true,
            has_drills: false,
        }
    }
}

/// An upstream and the link to it.
#[derive(Debug)]
struct LinkedUpstream {
    upstream: SoakUpstream,
    link: LinkProxy,
}

/// One soak under way.
struct Soak {
    plan: SoakPlan,
    dice: Dice,
    ledger: SharedLedger,
    platform: ChildProcess,
    gateways: Vec<SoakGateway>,
    upstreams: Vec<LinkedUpstream>,
    version: u64,
    weights: u64,
    /// Faults that end: when, what, and their number in the ledger.
    open: Vec<(Instant, Repair, usize)>,
    /// Index of the gateway with a low memory limit, if there is one.
    small_gateway: Option<usize>,
    /// Process that was seen above its memory limit.
    over_limit: Option<u32>,
    /// The burst, until it begins.
    next_burst: Option<BurstPlan>,
    /// Drills of the store, if there are any.
    drills: Option<StoreDrills>,
    /// The burst under way: the gateway, what stops its callers, and their tasks.
    burst: Option<(usize, watch::Sender<bool>, JoinSet<()>)>,
}

/// What ends a fault.
#[derive(Debug, Clone, Copy)]
enum Repair {
    Store,
    StoreLink(usize),
    UpstreamLink(usize),
    Upstream(usize),
    Thaw(usize),
    Return(usize),
    Restart(usize),
    Reap(usize),
    Burst,
}

/// Runs a soak; returns the promises that were broken.
pub async fn run(plan: SoakPlan) -> Vec<String> {
    let mut soak = Soak::start(plan).await;
    let (stop, stopped) = watch::channel(false);
    let mut callers = JoinSet::new();
    for number in 0..plan.callers {
        callers.spawn(soak.caller(number).run(stopped.clone()));
    }
    soak.disturb().await;
    soak.recover().await;
    soak.renew_weights().await;
    soak.await_weights().await;
    soak.lose_records().await;
    stop.send_replace(true);
    callers.join_all().await;
    soak.configure_and_check().await;
    soak.require_running();
    let mut ledger = soak.ledger.lock().expect("not poisoned");
    ledger.check(plan.weights_limit);
    std::mem::take(&mut ledger.broken)
}

impl Soak {
    async fn start(plan: SoakPlan) -> Self {
        let arguments = ["platform", "--listen", "127.0.0.1:0"];
        let binary = env!("CARGO_BIN_EXE_bulrushslip-standin");
        let platform = ChildProcess::start(binary, &arguments, &["platform"]);
        let ledger = SharedLedger::default();
        let store = platform.port("platform");
        let mut upstreams = Vec::new();
        for index in 0..UPSTREAMS {
            let upstream =
                SoakUpstream::start(index, &format!("i-{index}"), store, Arc::clone(&ledger)).await;
            let link = LinkProxy::start(upstream.address).await;
            upstream.reached_at(link.address);
            upstream.entry.write().await;
            upstreams.push(LinkedUpstream { upstream, link });
        }
        let next_burst = plan.has_burst.then(|| BurstPlan::draw(&plan));
        let mut soak = Self {
            plan,
            dice: Dice::new(plan.seed, 0),
            ledger,
            platform,
            gateways: Vec::new(),
            upstreams,
            version: 0,
            weights: 1,
            open: Vec::new(),
            small_gateway: next_burst.map(|burst| burst.gateway),
            next_burst,
            drills: plan.has_drills.then(|| StoreDrills::new(plan.seed)),
            over_limit: None,
            burst: None,
        };
        soak.configure().await;
        let peer_port = free_port(gateway_ip(plan.seed, 0));
        for index in 0..plan.gateways {
            let gateway = SoakGateway::start(&soak, index, peer_port).await;
            soak.gateways.push(gateway);
        }
        for gateway in &soak.gateways {
            gateway.until_ready().await;
        }
        soak
    }

    fn caller(&self, number: u64) -> Caller {
        Caller {
            number,
            kind: CallerKind::Usual,
            gateways: self
                .gateways
                .iter()
                .map(|gateway| gateway.callers)
                .collect(),
            dice: Dice::new(self.plan.seed, 1 + number),
            ledger: Arc::clone(&self.ledger),
            connection: None,
            read_pauses: AtomicU32::new(0),
        }
    }

    async fn put(&self, topic: &str, key: &str, value: &str) {
        let record = encode_keyed(key, value.as_bytes()).expect("a short key");
        // The operator's own link to the store is not disturbed; in an outage it tries again.
        loop {
            let mut store = StoreClient::new(self.platform.port("platform"));
            if store.append(topic, &record).await.is_ok() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Writes the next version, with one route more than the one before.
    async fn configure(&mut self) {
        self.version += 1;
        self.write_configuration().await;
    }

    /// Writes the newest version.
    async fn write_configuration(&self) {
        let kinds = Kind::ALL.iter().map(|kind| {
            let name = match kind {
                Kind::Once => "non_idempotent",
                Kind::Safe => "idempotent",
                Kind::Resumable | Kind::Stream => "streaming",
            };
            (kind.prefix().to_owned(), name, *kind == Kind::Resumable)
        });
        let added =
            (2..=self.version).map(|version| (format!("/v{version}/"), "idempotent", false));
        let routes = kinds.chain(added).map(|(prefix, kind, is_resumable)| {
            let has_prompts = kind == "streaming";
            let (target_ms, priority) = if is_resumable { (1_000, 2) } else { (500, 0) };
            json!({"name": prefix, "host": "127.0.0.1", "path-prefix": prefix, "kind": kind,
                "timeout-ms": 4000, "target-latency-ms": target_ms, "priority": priority,
                "max-attempts": MAX_ATTEMPTS, "service": "s", "resumable": is_resumable,
                "sticky": has_prompts})
        });
        let engine = json!({"slots": 16, "kv-capacity-tokens": 157_385, "token-kv-bytes": 327_680,
            "link-mbps": 280_000.0, "models": [{"name": MODEL}]});
        let document = json!({
            "version": self.version,
            "routes": routes.collect::<Vec<_>>(),
            "services": [{"name": "s", "max-connections": 100, "engine": engine}],
            "limits": {"max-header-bytes": 4096, "max-body-bytes": MAX_BODY_BYTES,
                "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "customer", "api-keys": ["key"]}],
        });
        self.put(OPERATOR_TOPIC, "config", &document.to_string())
            .await;
    }

    /// Names the next version of the weights.
    async fn name_weights(&mut self) {
        self.weights += 1;
        let sent = NamedVersion {
            version: self.weights,
            confirmed: None,
        };
        self.ledger.lock().expect("not poisoned").named.push(sent);
        self.write_weights().await;
        let mut ledger = self.ledger.lock().expect("not poisoned");
        let named = ledger.named.last_mut().expect("noted above");
        named.confirmed = Some(Instant::now());
    }

    /// Writes the newest version of the weights.
    async fn write_weights(&self) {
        let named = json!({"model": MODEL, "version": self.weights});
        self.put(
            OPERATOR_TOPIC,
            &format!("version/{MODEL}"),
            &named.to_string(),
        )
        .await;
    }

    /// Begins faults, and ends them when they are due, until the time is over.
    async fn disturb(&mut self) {
        let end = Instant::now() + self.plan.faults_for;
        while Instant::now() < end {
            self.begin_fault().await;
            self.drill_if_due().await;
            self.begin_burst_if_due();
            let pause = Duration::from_millis(100 + self.dice.below(1_200));
            tokio::time::sleep(pause).await;
            self.repair(Instant::now()).await;
        }
    }

    /// Draws a fault and begins it, unless what it befalls has one already.
    async fn begin_fault(&mut self) {
        let gateway = self.dice.index(self.gateways.len());
        let upstream = self.dice.index(UPSTREAMS);
        let lasts = Duration::from_millis(300 + self.dice.below(3_500));
        let link_fault = LINK_FAULTS[self.dice.index(LINK_FAULTS.len())];
        let mood = BAD_MOODS[self.dice.index(BAD_MOODS.len())];
        let is_down = self.is_down(gateway);
        let is_hit = self.open.iter().any(|(_, repair, _)| match *repair {
            Repair::Upstream(other) | Repair::UpstreamLink(other) | Repair::Return(other) => {
                other == upstream
            }
            _ => false,
        });
        match self.dice.below(13) {
            0 => {
                let fault = match self.dice.below(3) {
                    0 => "outage?ms=60000",
                    1 => "delay?ms=600",
                    _ => "lose-answers?next=5",
                };
                self.ask_store(fault).await;
                self.hold(Scope::Store, lasts, Repair::Store);
            }
            1 | 2 => {
                self.gateways[gateway].store_link.set(link_fault);
                self.hold(Scope::StoreLink(gateway), lasts, Repair::StoreLink(gateway));
            }
            3 | 4 if !is_hit => {
                self.upstreams[upstream].link.set(link_fault);
                self.hold(
                    Scope::UpstreamLink(upstream),
                    lasts,
                    Repair::UpstreamLink(upstream),
                );
            }
            5 | 6 if !is_hit => {
                self.upstreams[upstream].upstream.set(mood);
                self.hold(Scope::Upstream(upstream), lasts, Repair::Upstream(upstream));
            }
            7 if !is_down => {
                self.gateways[gateway].process.freeze();
                self.hold(Scope::Process(gateway), lasts, Repair::Thaw(gateway));
            }
            8 if !is_down => {
                self.gateways[gateway].require_running();
                self.gateways[gateway].process.kill();
                self.hold(Scope::Process(gateway), lasts, Repair::Restart(gateway));
            }
            9 if !is_down => self.stop(gateway),
            10 => self.configure().await,
            12 => self.name_weights().await,
            11 if !is_hit => self.leave(upstream, lasts).await,
            // A process that is gone has no id that a signal could be meant for.
            _ if !is_down => self.gateways[gateway].reload(),
            _ => {}
        }
    }

    /// Tells whether a gateway is frozen, has been killed or has been told to stop.
    fn is_down(&self, gateway: usize) -> bool {
        self.open.iter().any(|(_, repair, _)| match *repair {
            Repair::Thaw(other) | Repair::Restart(other) | Repair::Reap(other) => other == gateway,
            _ => false,
        })
    }

    /// Notes a disturbance that is repaired after a time.
    fn hold(&mut self, scope: Scope, lasts: Duration, repair: Repair) {
        let number = self.ledger.lock().expect("not poisoned").begin(scope);
        self.open.push((Instant::now() + lasts, repair, number));
    }

    /// Tells a gateway to stop, and notes the planned stop.
    fn stop(&mut self, gateway: usize) {
        self.gateways[gateway].process.terminate();
        let mut ledger = self.ledger.lock().expect("not poisoned");
        ledger.stops.push((gateway, Instant::now()));
        drop(ledger);
        // It counts as disturbed only once it is gone.
        let due = Instant::now() + STOP_GRACE + END_LIMIT;
        self.open.push((due, Repair::Reap(gateway), usize::MAX));
    }

    /// Announces that an upstream leaves; it returns under its name later.
    async fn leave(&mut self, upstream: usize, lasts: Duration) {
        self.upstreams[upstream].upstream.entry.leave().await;
        let mut ledger = self.ledger.lock().expect("not poisoned");
        ledger.leaves.push(Leave {
            upstream,
            told: Instant::now(),
            returned: None,
        });
        drop(ledger);
        let due = Instant::now() + lasts + Duration::from_secs(2);
        self.open.push((due, Repair::Return(upstream), usize::MAX));
    }

    async fn ask_store(&self, fault: &str) {
        let store = self.platform.port("platform");
        let path = format!("/admin/{fault}");
        let request = request(Method::POST, store, &path).body(Full::default());
        let answer = call(store, request.expect("a request"), RECOVERY_LIMIT).await;
        answer.expect("the stand-in takes faults at any time");
    }

    /// Ends the faults that are due.
    async fn repair(&mut self, now: Instant) {
        let (due, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(until, _, _)| *until <= now);
        self.open = open;
        for (_, repair, number) in due {
            match repair {
                Repair::Store => {
                    for fault in ["outage?ms=0", "delay?ms=0", "lose-answers?next=0"] {
                        self.ask_store(fault).await;
                    }
                }
                Repair::StoreLink(gateway) => {
                    self.gateways[gateway].store_link.set(LinkFault::None);
                }
                Repair::UpstreamLink(index) => self.upstreams[index].link.set(LinkFault::None),
                Repair::Upstream(index) => self.upstreams[index].upstream.set(Mood::Sound),
                Repair::Return(index) => {
                    self.ledger.lock().expect("not poisoned").note_return(index);
                    self.upstreams[index].upstream.entry.come_back().await;
                }
                Repair::Thaw(gateway) => self.gateways[gateway].process.thaw(),
                Repair::Restart(gateway) => self.gateways[gateway].start_again(),
                Repair::Reap(gateway) => self.reap(gateway),
                Repair::Burst => self.end_burst().await,
            }
            if number != usize::MAX {
                self.ledger.lock().expect("not poisoned").end(number);
            }
        }
    }

    /// Checks that a stopped gateway has ended in time, and starts its next life.
    fn reap(&mut self, gateway: usize) {
        let ended = self.gateways[gateway].process.ended();
        let mut ledger = self.ledger.lock().expect("not poisoned");
        if ended.is_none_or(|status| !status.success()) {
            let what = format!("gateway {gateway} ended with {ended:?} after a planned stop");
            ledger.breach("end", "-", &what);
        }
        let number = ledger.begin(Scope::Process(gateway));
        drop(ledger);
        self.gateways[gateway].start_again();
        self.ledger.lock().expect("not poisoned").end(number);
    }

    /// Ends all faults and requires each gateway to serve each kind within the recovery time.
    async fn recover(&mut self) {
        let last = self.open.iter().map(|(until, _, _)| *until).max();
        if let Some(stops) = last.filter(|_| self.has_stop()) {
            tokio::time::sleep_until(stops.into()).await;
        }
        let end_of_all = Instant::now() + STOP_GRACE + END_LIMIT;
        self.repair(end_of_all).await;
        let healed = Instant::now();
        let mut probes = JoinSet::new();
        for index in 0..self.gateways.len() {
            let probe = Caller {
                kind: CallerKind::Probe,
                ..self.caller(1_000 + index as u64)
            };
            probes.spawn(probe.require_service(index, healed));
        }
        probes.join_all().await;
        self.require_running();
    }

    /// Requires all gateways to run, and the one with a low limit to have stayed below it.
    fn require_running(&mut self) {
        for gateway in &mut self.gateways {
            gateway.require_running();
        }
        if let Some(gateway) = self.small_gateway {
            self.check_memory(gateway);
        }
    }

    /// Requires all upstreams to run the newest weights within their time.
    async fn await_weights(&self) {
        let asked = Instant::now();
        let versions = || {
            let upstreams = self.upstreams.iter();
            upstreams.map(|linked| linked.upstream.entry.version())
        };
        while versions().any(|version| version < self.weights) {
            if asked.elapsed() > WEIGHTS_LIMIT {
                let found: Vec<u64> = versions().collect();
                let mut ledger = self.ledger.lock().expect("not poisoned");
                ledger.breach("weights", "-", &format!("{found:?}, not {}", self.weights));
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn has_stop(&self) -> bool {
        self.open
            .iter()
            .any(|(_, repair, _)| matches!(repair, Repair::Reap(_)))
    }

    /// Requires a further configuration to be in force everywhere within its time.
    async fn configure_and_check(&mut self) {
        self.configure().await;
        let confirmed = Instant::now();
        let path = format!("/v{}/", self.version);
        for (index, gateway) in self.gateways.iter().enumerate() {
            loop {
                let elapsed_ms = confirmed.elapsed().as_millis();
                let id = format!("n{}-{index}-{elapsed_ms}", self.version);
                let request = request(Method::POST, gateway.callers, &path)
                    .header("x-request-id", &id)
                    .header("x-api-key", "key")
                    .body(Full::from(id.clone()));
                self.note_probe(&id, index);
                let answer = call(gateway.callers, request.expect("a request"), ROUTE_TIME).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if confirmed.elapsed() > CONFIGURATION_LIMIT {
                    let mut ledger = self.ledger.lock().expect("not poisoned");
                    let what = format!("version {} not in force at {index}", self.version);
                    ledger.breach("configuration", &id, &what);
                    break;
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    fn note_probe(&self, id: &str, gateway: usize) {
        let sent = ledger::Sent {
            read_pauses: Duration::ZERO,
            kind: Kind::Safe,
            gateway,
            at: Instant::now(),
            got: None,
        };
        let mut ledger = self.ledger.lock().expect("not poisoned");
        ledger.sent.insert(id.to_owned(), sent);
    }
}
