//! Burst of callers on the gateway with a low memory limit: idle connections, unfinished heads, large
//! bodies, and slow readers of large answers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushslip::platform::http_connection::{ConnectionGuard, MAX_HEAD_BYTES, OpenConnection};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::caller::{Caller, CallerKind};
use super::dice::Dice;
use super::{Repair, Soak, SoakPlan};

/// User of the draws of a burst, so that it does not change those of other parts.
const DICE_USER: u64 = 501;

/// Number of a burst's first caller.
const FIRST_CALLER: u64 = 2_000;

/// Memory limit of the gateway that bursts befall (`memory-mb`).
pub const MEMORY_LIMIT_MB: u64 = 64;

/// Bytes of a megabyte, as the platform counts memory limits.
const BYTES_PER_MB: u64 = 1_000_000;

/// Connections without a whole request, more than the limit leaves room for.
const IDLE_CONNECTIONS: usize = 700;

/// Callers with large bodies.
const BODY_CALLERS: u64 = 80;

/// Callers that read large answers slowly.
const SLOW_READERS: u64 = 80;

/// Receive buffer of a slow reader, so that the answer waits in the gateway, in bytes.
const RECEIVE_BYTES: u32 = 8 * 1024;

/// A burst that has not begun: when, where, and for how long.
#[derive(Debug, Clone, Copy)]
pub(super) struct BurstPlan {
    at: Instant,
    /// Index of the gateway.
    pub(super) gateway: usize,
    lasts: Duration,
}

impl BurstPlan {
    /// Draws the burst of a soak that begins now.
    pub(super) fn draw(plan: &SoakPlan) -> Self {
        let mut dice = Dice::new(plan.seed, DICE_USER);
        let gateway = dice.index(plan.gateways);
        let span = u64::try_from(plan.faults_for.as_millis()).expect("a short time");
        let after = Duration::from_millis(dice.below(span * 3 / 4));
        let lasts = Duration::from_millis(1_000 + dice.below(2_000));
        Self {
            at: Instant::now() + after,
            gateway,
            lasts,
        }
    }
}

impl Soak {
    /// Begins the burst once it is due and its gateway runs.
    pub(super) fn begin_burst_if_due(&mut self) {
        let due = |burst: &mut BurstPlan| burst.at <= Instant::now();
        let Some(burst) = self.next_burst.take_if(due) else {
            return;
        };
        if self.is_down(burst.gateway) {
            self.next_burst = Some(burst);
            return;
        }
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let kinds = [
            (CallerKind::LargeBody, BODY_CALLERS),
            (CallerKind::SlowReader, SLOW_READERS),
        ];
        let mut number = FIRST_CALLER;
        for (kind, count) in kinds {
            for _ in 0..count {
                let caller = Caller {
                    kind,
                    ..self.caller(number)
                };
                tasks.spawn(caller.run_at(burst.gateway, stopped.clone()));
                number += 1;
            }
        }
        let address = self.gateways[burst.gateway].callers;
        tasks.spawn(hold_idle(address, stopped));
        self.burst = Some((burst.gateway, stop, tasks));
        let due = Instant::now() + burst.lasts;
        self.open.push((due, Repair::Burst, usize::MAX));
    }

    /// Ends the burst; its callers leave at once.
    pub(super) async fn end_burst(&mut self) {
        let Some((gateway, stop, mut tasks)) = self.burst.take() else {
            return;
        };
        self.check_memory(gateway);
        stop.send_replace(true);
        tasks.shutdown().await;
    }

    /// Requires the gateway to have stayed below its memory limit in its present life.
    pub(super) fn check_memory(&mut self, gateway: usize) {
        let process = self.gateways[gateway].process.id();
        if self.over_limit == Some(process) {
            return;
        }
        // A process that is gone has no peak.
        let Some(peak) = peak_memory(process) else {
            return;
        };
        if peak > MEMORY_LIMIT_MB * BYTES_PER_MB {
            self.over_limit = Some(process);
            let what = format!("gateway {gateway} used {peak} bytes of {MEMORY_LIMIT_MB} MB");
            let mut ledger = self.ledger.lock().expect("not poisoned");
            ledger.breach("memory", "-", &what);
        }
    }
}

/// Returns the largest resident size of a process so far, in bytes.
fn peak_memory(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1024)
}

/// Opens connections, every second one with an unfinished head, and holds them until told to stop.
async fn hold_idle(address: SocketAddr, mut stopped: watch::Receiver<bool>) {
    let mut held = Vec::new();
    for number in 0..IDLE_CONNECTIONS {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        if number % 2 == 0 {
            // The gateway may have closed the connection already.
            drop(stream.write_all(b"POST /safe/ HTTP/1.1\r\nhost:").await);
        }
        held.push(stream);
    }
    // The end of the soak ends the burst too.
    drop(stopped.wait_for(|is_stopped| *is_stopped).await);
}

/// Opens a connection whose peer can send only little beyond what is read.
pub async fn dial_narrow(address: SocketAddr) -> Option<OpenConnection> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BYTES).ok()?;
    let stream = socket.connect(address).await.ok()?;
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.ok()?;
    let driver = tokio::spawn(async move { drop(connection.await) });
    Some(OpenConnection {
        sender,
        guard: ConnectionGuard::new(driver),
    })
}
