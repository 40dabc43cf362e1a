//! Assembles the services of each stand-in and runs them until a signal ends the process.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::oneshot;

use super::append_log::LogLimits;
use super::batch::BatchLimits;
use super::cache_feed::FeedFaults;
use super::engine::EngineSettings;
use super::engine_http::{EngineHttpSettings, engine_handler};
use super::engine_service::engine_service;
use super::group_calls::group_service;
use super::http_call::StandinDirectory;
use super::kv_store::kv_store_service;
use super::log_service::log_service;
use super::mail::StandinMail;
use super::notice::notice_service;
use super::options::{EngineOptions, PlainOptions, PlatformOptions, StandinOptions, StandinRole};
use super::plain::plain_service;
use super::plain_http::plain_handler;
use super::platform_http::platform_handler;
use super::weight_service::weight_service;
use super::weight_store::WeightLimits;
use crate::kernel::{Clock, TokioKernel};
use crate::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, RequestHandler, ServerLimits, WRITE_TIMEOUT_MS,
    serve,
};

/// Limits of the HTTP server of a stand-in.
const SERVER_LIMITS: ServerLimits = ServerLimits {
    header_timeout_ms: HEADER_TIMEOUT_MS,
    write_timeout_ms: WRITE_TIMEOUT_MS,
    max_connections: 16_384,
    when_full: FullPolicy::Queue,
    buffer_bytes: BUFFER_BYTES,
    leave_ms: 0,
    drain_ms: 100,
};

/// Maximum time that a shutdown waits for the services to stop.
const STOP_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a stand-in until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns the error if the address cannot be bound or signal handlers cannot be installed.
pub async fn run(options: StandinOptions) -> io::Result<()> {
    match options.role {
        StandinRole::Engine(options) => run_engine(options).await,
        StandinRole::Plain(options) => run_plain(options).await,
        StandinRole::Platform(options) => run_platform(options).await,
    }
}

async fn run_engine(options: EngineOptions) -> io::Result<()> {
    let settings = EngineHttpSettings {
        name: options.name.clone(),
        weights: options.weights,
        load_ms: options.load_ms,
        slots: options.slots,
        cache_pieces: options.cache_pieces,
        load_lag_ms: options.load_lag_ms,
    };
    let listen = options.listen;
    let mut kernel = TokioKernel::new();
    kernel.add(engine_service(engine_settings(options)));
    kernel.add(notice_service());
    let handler = |directory| engine_handler(directory, settings);
    run_role("engine", listen, kernel, handler).await
}

fn engine_settings(options: EngineOptions) -> EngineSettings {
    let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_1970.unwrap_or_default().as_millis();
    EngineSettings {
        model: options.model,
        version: options.version,
        batch: BatchLimits {
            slots: options.slots,
            prefill_us: options.prefill_us,
            decode_us: options.decode_us,
            slowdown_percent: options.batch_slowdown_percent,
        },
        cache_pieces: options.cache_pieces,
        feed: FeedFaults {
            lag_ms: options.event_lag_ms,
            loss_percent: options.event_loss_percent,
            seed: options.seed,
        },
        load_lag_ms: options.load_lag_ms,
        tokens: options.tokens,
        restart_ms: options.restart_ms,
        checks_fence: options.checks_fence,
        first_epoch: u64::try_from(millis).unwrap_or_default(),
    }
}

async fn run_plain(options: PlainOptions) -> io::Result<()> {
    let mut kernel = TokioKernel::new();
    kernel.add(plain_service(options.latency_ms));
    kernel.add(notice_service());
    let handler = |directory| plain_handler(directory, options.name);
    run_role("plain", options.listen, kernel, handler).await
}

async fn run_platform(options: PlatformOptions) -> io::Result<()> {
    let mut kernel = TokioKernel::new();
    kernel.add(log_service(LogLimits {
        retention_records: options.retention_records,
        appends_per_second: options.appends_per_second,
    }));
    kernel.add(group_service());
    kernel.add(weight_service(WeightLimits {
        load_ms: options.load_ms,
        concurrent_loads: options.concurrent_loads,
    }));
    kernel.add(kv_store_service());
    run_role("platform", options.listen, kernel, platform_handler).await
}

async fn run_role(
    role: &str,
    listen: SocketAddr,
    kernel: TokioKernel<StandinMail>,
    handler: impl FnOnce(StandinDirectory) -> RequestHandler,
) -> io::Result<()> {
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut terminate = signal(SignalKind::terminate())?;
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let running = kernel.launch(Clock::start());
    let handler = handler(running.directory.clone());
    let (stop, stopped) = oneshot::channel();
    let server = tokio::spawn(serve(listener, handler, SERVER_LIMITS, stopped));
    writeln!(io::stdout(), "listening {role} {address}")?;
    io::stdout().flush()?;
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    drop(stop);
    // The server ends after `stop` is dropped; a panic in it has already been printed.
    drop(server.await);
    let deadline = running.directory.now().after(STOP_TIMEOUT);
    running.stop(deadline).await;
    Ok(())
}
