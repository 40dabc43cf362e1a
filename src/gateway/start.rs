//! Startup of the gateway: opens its ports, adds its services and I/O tasks to the kernel, and runs
//! until a stop signal.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use log::LevelFilter;

use super::caller_server::callers_task;
use super::dispatch::{DispatchSettings, dispatch_service};
use super::identity::InstanceIdentity;
use super::metrics_server::metrics_task;
use super::orders::orders_task;
use super::origin_log::origin_log_task;
use super::origin_search::origin_search_task;
use super::peer_exchange::peers_task;
use super::readiness::readiness_task;
use super::record_reader::record_reader_task;
use super::settings_watch::settings_task;
use super::store_watch::{operator_watch, upstream_watch};
use crate::decide::ids::Incarnation;
use crate::decide::memory_plan::MemoryPlan;
use crate::kernel::{Clock, TokioKernel, whole_ms};
use crate::log_queue::BATCH_PAUSE;
use crate::platform::http_server::{FullPolicy, ServerLimits, WRITE_TIMEOUT_MS};
use crate::platform::settings_file::InstanceSettings;
use crate::process;

/// Most caller connections that are served at the same time.
const MAX_CALLER_CONNECTIONS: usize = 1_400;

/// Largest buffer of a caller connection, and largest request head, in bytes.
const CALLER_BUFFER_BYTES: usize = 20 * 1024;

/// Idle timeout of caller connections, in milliseconds, as operators specify it for the deployments
/// in use.
const CALLER_IDLE_TIMEOUT_MS: u64 = 15_000;

/// Share of the stop grace period in which new connections are still accepted, in percent. The
/// balancer stops sending connections after two failed readiness checks.
const LEAVE_PERCENT: u32 = 45;

/// Share of the stop grace period in which open requests may end after the port for callers is
/// closed, in percent. With [`LEAVE_PERCENT`] it stays below 100, so that the process ends before
/// it is killed.
const DRAIN_PERCENT: u32 = 42;

/// Startup settings of a gateway process.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Path of the settings file, which is read again when it changes.
    pub path: String,
    /// Contents of the settings file at startup.
    pub instance: InstanceSettings,
    /// Port for metrics and state dumps, on the IP address for other instances.
    pub metrics_port: u16,
    /// Lowest level of log events that are written.
    pub log_level: LevelFilter,
    /// Longest time for which an upstream may ask to get no requests.
    pub max_upstream_pause: Duration,
    /// Memory limit of the process, in bytes.
    pub memory_limit: u64,
}

/// Runs a gateway until a stop signal.
///
/// # Errors
///
/// Returns an error when a port cannot be opened or a signal handler cannot be installed.
pub async fn run(settings: GatewaySettings) -> io::Result<()> {
    let instance = settings.instance;
    let log_task = process::init_platform_logging(
        "gateway",
        &instance.name,
        &instance.data_centre,
        settings.log_level,
    );
    let dropped_lines = log_task.dropped();
    tokio::spawn(log_task.run());
    let clock = Clock::start();
    let callers = process::listen("callers", instance.caller_address)?;
    let readiness = process::listen("readiness", instance.ready_address)?;
    let peers = process::listen("peers", instance.peer_address)?;
    let metrics_address = SocketAddr::new(instance.peer_address.ip(), settings.metrics_port);
    let metrics = process::listen("metrics", metrics_address)?;
    let mut identity = InstanceIdentity::from(&instance);
    identity.peer_address = peers.local_addr()?;
    let leave = instance.stop_grace * LEAVE_PERCENT / 100;
    let drain = instance.stop_grace * DRAIN_PERCENT / 100;
    identity.stop_time = leave + drain;
    let plan = MemoryPlan::for_limit(settings.memory_limit);
    let limits = ServerLimits {
        header_timeout_ms: CALLER_IDLE_TIMEOUT_MS,
        write_timeout_ms: WRITE_TIMEOUT_MS,
        max_connections: plan.max_connections.min(MAX_CALLER_CONNECTIONS),
        when_full: FullPolicy::Refuse,
        buffer_bytes: CALLER_BUFFER_BYTES,
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
        request_memory: plan.request_bytes,
        max_upstream_pause: settings.max_upstream_pause,
        quota_tolerance: instance.quota_tolerance,
        features: instance.features,
    }));
    kernel.add_task(metrics_task(metrics));
    kernel.add_task(operator_watch(instance.store_address));
    kernel.add_task(upstream_watch(instance.store_address));
    let seeds = instance.seed_peers.clone();
    kernel.add_task(peers_task(peers, &identity, seeds));
    kernel.add_task(record_reader_task(identity.id));
    kernel.add_task(settings_task(settings.path, instance.clone())?);
    kernel.add_task(origin_log_task(
        instance.store_address,
        instance.store_limits,
    ));
    kernel.add_task(origin_search_task());
    kernel.add_task(orders_task(identity, instance.store_address));
    kernel.add_task(callers_task(callers, limits));
    // Added last because the kernel stops tasks in reverse order: an instance that stops must first
    // report that it is not ready and claim no more orders.
    kernel.add_task(readiness_task(readiness));
    process::run_until_signal(kernel, clock, whole_ms(leave + drain)).await?;
    // Gives the log task time to write the last lines.
    tokio::time::sleep(BATCH_PAUSE * 2).await;
    Ok(())
}
