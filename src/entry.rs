//! Start of the entry process: opens its ports, adds its components to the kernel and runs it.

use std::io;

use crate::decide::ids::Incarnation;
use crate::decide::retry_budget::RetryPolicy;
use crate::kernel::{Clock, TokioKernel};
use crate::platform::http_server::{
    BUFFER_BYTES, FullPolicy, HEADER_TIMEOUT_MS, ServerLimits, WRITE_TIMEOUT_MS,
};
use crate::process;
use crate::services::caller_side::callers::{CallerSettings, callers_task};
use crate::services::caller_side::journal::journal_service;
use crate::services::caller_side::tickets::tickets_service;
use crate::settings::EntrySettings;
use crate::shared_components::ProcessIdentity;

/// Runs an entry until a stop signal.
///
/// # Errors
///
/// Returns an error when a port cannot be opened or the signal handlers cannot be installed.
pub async fn run(settings: EntrySettings) -> io::Result<()> {
    let common = &settings.common;
    process::init_logging("entry", common);
    let clock = Clock::start();
    let callers = process::listen("entry", common.listen)?;
    let operators = process::listen("operator", common.operator_listen)?;
    let address = callers.local_addr()?;
    let operator = operators.local_addr()?;
    let identity = ProcessIdentity {
        role: "entry",
        common,
        upstream: None,
    };
    let mut kernel = TokioKernel::new();
    identity.add_base_components(&mut kernel)?;
    kernel.add(journal_service());
    kernel.add(tickets_service(
        Incarnation(rand::random()),
        RetryPolicy::default(),
    ));
    let caller_settings = CallerSettings {
        limits: ServerLimits {
            header_timeout_ms: HEADER_TIMEOUT_MS,
            write_timeout_ms: WRITE_TIMEOUT_MS,
            max_connections: settings.max_connections,
            when_full: FullPolicy::Queue,
            buffer_bytes: BUFFER_BYTES,
            leave_ms: settings.leave_ms,
            drain_ms: common.drain_ms,
        },
        body_limit_bytes: settings.body_limit_bytes,
        max_attempts: settings.max_attempts,
        policy: common.policy.placement(),
    };
    identity.add_operator(&mut kernel, operators);
    kernel.add_task(callers_task(callers, caller_settings));
    identity.add_registration(&mut kernel, address, operator);
    process::run_until_signal(kernel, clock, settings.leave_ms + common.drain_ms).await
}
