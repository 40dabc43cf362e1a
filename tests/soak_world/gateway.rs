//! Gateways of the soak: processes of this build, or of two builds in turn.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

use bulrushslip::platform::http_client::{call, request};
use http_body_util::Full;
use hyper::Method;

use super::burst::MEMORY_LIMIT_MB;
use super::ledger::{self, Build, SharedLedger};
use super::process::ChildProcess;
use super::proxy::LinkProxy;
use super::{RECOVERY_LIMIT, STOP_GRACE, Soak};

/// Names a gateway binary of another build; each gateway changes between the builds when it starts
/// again, as in a rolling upgrade and on its way back.
const OTHER_VARIABLE: &str = "BULRUSHSLIP_SOAK_OTHER_GATEWAY";

/// Ports on which gateways listen.
const PORTS: Range<u16> = 20_000..32_000;

/// Ports between those that two processes with neighbouring ids try first.
const PORT_STRIDE: u32 = 97;

/// A gateway, its link to the store and its settings file.
#[derive(Debug)]
pub struct SoakGateway {
    /// Its process.
    pub process: ChildProcess,
    /// Its link to the store.
    pub store_link: LinkProxy,
    /// Where it takes callers.
    pub callers: SocketAddr,
    index: usize,
    build: Build,
    ledger: SharedLedger,
    settings: PathBuf,
    text: String,
}

/// Returns the binary of another build, if one is named.
fn other_binary() -> Option<String> {
    std::env::var(OTHER_VARIABLE).ok()
}

/// Returns a port that was free a moment ago on an address. It lies below those that the system
/// gives to outgoing connections, which could take it before the gateway does.
pub fn free_port(ip: Ipv4Addr) -> u16 {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    let count = u32::from(PORTS.end - PORTS.start);
    // Processes start a stride apart, so that soaks at the same time try different ports.
    let first = std::process::id().wrapping_mul(PORT_STRIDE);
    loop {
        let tried = first.wrapping_add(TRIED.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + u16::try_from(tried % count).expect("below the count");
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

/// Returns the address of a gateway; peers share a port, so each has an address of its own.
pub fn gateway_ip(seed: u64, index: usize) -> Ipv4Addr {
    let soak = u8::try_from(1 + seed % 250).expect("below 251");
    let host = u8::try_from(1 + index).expect("few gateways");
    Ipv4Addr::new(127, 77, soak, host)
}

impl SoakGateway {
    pub(super) async fn start(soak: &Soak, index: usize, peer_port: u16) -> Self {
        let seed = soak.plan.seed;
        let store_link = LinkProxy::start(soak.platform.port("platform")).await;
        let seeds = (0..soak.plan.gateways).filter(|other| *other != index);
        let seeds: Vec<String> = seeds
            .map(|other| format!("{}:{peer_port}", gateway_ip(seed, other)))
            .collect();
        let local = Ipv4Addr::LOCALHOST;
        let callers = SocketAddr::from((local, free_port(local)));
        let mut text = format!(
            "node-name=gateway-{index}\nzone=near\nip={}\nlisten.front={callers}\n\
             listen.ready=127.0.0.1:{}\ninternal-ports={peer_port},{peer_port}\nseeds={}\n\
             platform.address={}\nbounds.grace-s={}\nbounds.lease-ms=3000\n\
             bounds.version-ms={}\nbounds.stable-window-ms={}\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-extra-retries=56\n",
            gateway_ip(seed, index),
            free_port(local),
            seeds.join(","),
            store_link.address,
            STOP_GRACE.as_secs(),
            soak.plan.weights_limit.as_millis(),
            ledger::SETTLING.as_millis(),
        );
        if soak.small_gateway == Some(index) {
            let limit = format!("limits.memory-mb={MEMORY_LIMIT_MB}\n");
            text.push_str(&limit);
        }
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let settings = folder.join(format!("soak-{}-{seed}-{index}.conf", std::process::id()));
        std::fs::write(&settings, &text).expect("a settings file");
        // Both builds take part from the start.
        let build = match other_binary() {
            Some(_) if index % 2 == 1 => Build::Other,
            _ => Build::This,
        };
        Self {
            process: Self::launch(build, &settings, index, &soak.ledger),
            store_link,
            callers,
            index,
            build,
            ledger: Arc::clone(&soak.ledger),
            settings,
            text,
        }
    }

    fn launch(
        build: Build,
        settings: &std::path::Path,
        index: usize,
        ledger: &SharedLedger,
    ) -> ChildProcess {
        let own = env!("CARGO_BIN_EXE_bulrushslip-gateway");
        let other = other_binary().filter(|_| build == Build::Other);
        ledger.lock().expect("not poisoned").note_life(index, build);
        ChildProcess::start_with(
            other.as_deref().unwrap_or(own),
            &["--metrics-port", "0"],
            &[("BULRUSHSLIP_SETTINGS", settings.to_str().expect("text"))],
            &["callers", "readiness", "peers", "metrics"],
        )
    }

    /// Starts its next life, with the other build if there is one.
    pub fn start_again(&mut self) {
        self.process.kill();
        self.build = match self.build {
            Build::This if other_binary().is_some() => Build::Other,
            _ => Build::This,
        };
        self.process = Self::launch(self.build, &self.settings, self.index, &self.ledger);
    }

    /// Changes a figure of the settings file and tells the process.
    pub fn reload(&mut self) {
        self.text += "bounds.budget-extra-retries=57\n";
        std::fs::write(&self.settings, &self.text).expect("a settings file");
        self.process.hang_up();
    }

    /// Waits until it is ready for callers.
    pub async fn until_ready(&self) {
        let asked = Instant::now();
        let address = self.process.port("readiness");
        loop {
            let request = request(Method::GET, address, "/readyz").body(Full::default());
            let answer = call(address, request.expect("a request"), RECOVERY_LIMIT).await;
            if answer.is_ok_and(|answer| answer.status.is_success()) {
                return;
            }
            assert!(asked.elapsed() < RECOVERY_LIMIT, "not ready");
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }

    /// Notes a broken promise if it has ended, which it was not told to.
    pub fn require_running(&mut self) {
        if let Some(ended) = self.process.ended() {
            let mut ledger = self.ledger.lock().expect("not poisoned");
            let what = format!("gateway {} ended by itself with {ended:?}", self.index);
            ledger.breach("end", "-", &what);
        }
    }
}
