//! Start and graceful stop of a process.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use log::LevelFilter;
use tokio::net::{TcpListener, TcpSocket};
use tokio::runtime::Builder;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::events::{
    BIND_FAILED, INVARIANT_BROKEN, LISTENING, LogTarget, PROCESS_STARTED, STOP_BEGUN, STOP_CUT,
    STOP_ENDED, log_event, start_log,
};
use crate::kernel::{Clock, RunningKernel, TokioKernel};
use crate::log_queue::{LineWriter, line_queue};
use crate::settings::{CommonSettings, LogFormat, ReadSettings, StartOutcome};

/// Exit code after a panic.
const PANIC_CODE: i32 = 101;

/// Exit code when a second signal ends the process before the graceful stop is complete.
const FORCED_STOP_CODE: i32 = 130;

/// Connections that the kernel queues until they are accepted; a full queue drops or resets them.
const LISTEN_QUEUE: u32 = 1_024;

/// Time after the drain time that the components have to stop.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Initializes the logger of an entry or sidecar, which writes to standard error, and logs the
/// start.
pub fn init_logging(role: &'static str, settings: &CommonSettings) {
    start_log(
        settings.log_level,
        settings.log_format,
        LogTarget::StandardError,
    );
    log_start(role, &settings.name, &settings.data_centre);
}

/// Initializes the logger of a gateway and logs the start; returns the writer of the log lines.
///
/// The lines go to standard output, where the platform collects them.
#[must_use]
pub fn init_platform_logging(
    role: &'static str,
    name: &str,
    data_centre: &str,
    level: LevelFilter,
) -> LineWriter {
    let (queue, writer) = line_queue();
    start_log(level, LogFormat::Json, LogTarget::Queue(queue));
    log_start(role, name, data_centre);
    writer
}

/// Logs the start and installs a panic hook that ends the process when any task panics.
fn log_start(role: &'static str, name: &str, data_centre: &str) {
    let print_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        print_panic(info);
        log_event(&INVARIANT_BROKEN, &[("panic", info)]);
        std::process::exit(PANIC_CODE);
    }));
    let version = env!("CARGO_PKG_VERSION");
    log_event(
        &PROCESS_STARTED,
        &[
            ("role", &role),
            ("instance", &name),
            ("data_centre", &data_centre),
            ("version", &version),
        ],
    );
}

/// Opens a TCP port with a queue for [`LISTEN_QUEUE`] connections.
fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_QUEUE)
}

/// Opens a TCP port, logs it and prints `listening ROLE ADDRESS` on standard output.
///
/// # Errors
///
/// Returns an error when the port cannot be opened.
pub fn listen(role: &'static str, address: SocketAddr) -> std::io::Result<TcpListener> {
    let listener = bind(address).inspect_err(|error| {
        let fields: [(&str, &dyn std::fmt::Display); 3] =
            [("role", &role), ("address", &address), ("error", error)];
        log_event(&BIND_FAILED, &fields);
    })?;
    let address = listener.local_addr()?;
    println!("listening {role} {address}");
    log_event(&LISTENING, &[("role", &role), ("address", &address)]);
    Ok(listener)
}

/// Runs a kernel until SIGTERM or SIGINT, then stops its components in order within the drain time
/// and a short grace period.
///
/// A second signal ends the process immediately.
///
/// # Errors
///
/// Returns an error when the signal handlers cannot be installed.
pub async fn run_until_signal<M: Send + 'static>(
    kernel: TokioKernel<M>,
    clock: Clock,
    drain_ms: u64,
) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let running = kernel.launch(clock);
    wait_for_signal(&mut terminate, &mut interrupt).await;
    log_event(&STOP_BEGUN, &[("drain_ms", &drain_ms)]);
    tokio::select! {
        () = stop(running, clock, drain_ms) => log_event(&STOP_ENDED, &[]),
        () = wait_for_signal(&mut terminate, &mut interrupt) => {
            log_event(&STOP_CUT, &[]);
            std::process::exit(FORCED_STOP_CODE);
        }
    }
    Ok(())
}

/// Stops the components within the drain time and [`STOP_GRACE`].
async fn stop<M: Send + 'static>(running: RunningKernel<M>, clock: Clock, drain_ms: u64) {
    let limit = Duration::from_millis(drain_ms) + STOP_GRACE;
    running.stop(clock.now().after(limit)).await;
}

async fn wait_for_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Reads the settings of a binary from its arguments and environment variables, and runs it on a
/// single-threaded runtime.
///
/// Returns exit code 2 for invalid settings and 1 when the run fails.
pub fn main_with<T, F: Future<Output = std::io::Result<()>>>(
    read: ReadSettings<T>,
    run: fn(T) -> F,
) -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let variable =
        |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    let settings = match read(&arguments, &variable) {
        StartOutcome::Run(settings) => settings,
        StartOutcome::Exit { code: 0, text } => {
            println!("{}", text.trim_end());
            return ExitCode::SUCCESS;
        }
        StartOutcome::Exit { code, text } => {
            eprintln!("{}", text.trim_end());
            return ExitCode::from(u8::try_from(code).unwrap_or(1));
        }
    };
    let runtime = Builder::new_current_thread().enable_all().build();
    match runtime.and_then(|runtime| runtime.block_on(run(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
