//! Puts a gateway together and runs it until it is told to stop.

use std::io;
use std::net::SocketAddr;

use log::LevelFilter;

use super::caller_front::callers_task;
use super::dispatch::{DispatchSettings, dispatch_service};
use super::identity::InstanceIdentity;
use super::metrics_port::metrics_task;
use super::orders::orders_task;
use super::peer_exchange::peers_task;
use super::readiness::readiness_task;
use super::settings_watch::settings_task;
use super::store_watch::{operator_watch, upstream_watch};
use crate::decide::ids::Incarnation;
use crate::kernel::{Clock, TokioKernel, whole_ms};
use crate::log_queue::BATCH_PAUSE;
use crate::platform::http_server::ServerLimits;
use crate::platform::settings_file::InstanceSettings;
use crate::process;

/// Connections of callers served at the same time.
const MAX_CONNECTIONS: usize = 2_000;

/// Time in milliseconds for which a caller's connection may be idle, as the operators state it for
/// the deployments in use.
const CALLER_IDLE_MS: u64 = 15_000;

/// Part of the grace for which a stopping instance still accepts connections, in percent; the
/// balancer needs two missed questions to turn away.
const LEAVE_PERCENT: u32 = 45;

/// Part of the grace for which it then waits for open requests, in percent; with the former it
/// ends before the kill.
const DRAIN_PERCENT: u32 = 42;

/// What a gateway is started with.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Path of the settings file, to read it again.
    pub path: String,
    /// What it says.
    pub instance: InstanceSettings,
    /// Port for metrics and dumps on the instance's address.
    pub metrics_port: u16,
    /// Lowest level of events that are logged.
    pub log_level: LevelFilter,
}

/// Runs a gateway.
///
/// # Errors
///
/// Returns an error when a port cannot be opened or signals cannot be watched.
pub async fn run(settings: GatewaySettings) -> io::Result<()> {
    let instance = settings.instance;
    let lines = process::start_role(
        "gateway",
        &instance.name,
        &instance.data_centre,
        settings.log_level,
    );
    let dropped_lines = lines.dropped();
    tokio::spawn(lines.run());
    let clock = Clock::start();
    let callers = process::listen("callers", instance.caller_address).await?;
    let ready = process::listen("readiness", instance.ready_address).await?;
    let peers = process::listen("peers", instance.peer_address).await?;
    let metrics_address = SocketAddr::new(instance.peer_address.ip(), settings.metrics_port);
    let metrics = process::listen("metrics", metrics_address).await?;
    let mut identity = InstanceIdentity::from(&instance);
    identity.peer_address = peers.local_addr()?;
    let leave = instance.stop_grace * LEAVE_PERCENT / 100;
    let drain = instance.stop_grace * DRAIN_PERCENT / 100;
    let limits = ServerLimits {
        header_timeout_ms: CALLER_IDLE_MS,
        max_connections: MAX_CONNECTIONS,
        leave_ms: whole_ms(leave),
        drain_ms: whole_ms(drain),
    };
    let mut kernel = TokioKernel::new();
    kernel.add(dispatch_service(DispatchSettings {
        identity: identity.clone(),
        incarnation: Incarnation(rand::random()),
        retry_ratio: instance.retry_ratio,
        extra_retries: instance.extra_retries,
        dropped_lines,
    }));
    kernel.add_task(metrics_task(metrics));
    kernel.add_task(operator_watch(instance.store_address));
    kernel.add_task(upstream_watch(instance.store_address));
    let seeds = instance.seed_peers.clone();
    kernel.add_task(peers_task(peers, &identity, seeds));
    kernel.add_task(settings_task(settings.path, instance.clone())?);
    kernel.add_task(orders_task(identity, instance.store_address));
    kernel.add_task(callers_task(callers, limits));
    // Stops first: a leaving instance is not ready and claims no more orders.
    kernel.add_task(readiness_task(ready));
    process::run_until_signal(kernel, clock, whole_ms(leave + drain)).await?;
    // The last lines are written before the process ends.
    tokio::time::sleep(BATCH_PAUSE * 2).await;
    Ok(())
}
