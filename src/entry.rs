//! Puts an entry together and runs it until it is told to stop.

use std::io;

use crate::decide::ids::Incarnation;
use crate::decide::retry_budget::RetryPolicy;
use crate::kernel::{Clock, TokioKernel};
use crate::platform::http_server::ServerLimits;
use crate::platform::instance_client::{InstanceClient, WireInstance, WireInstanceState};
use crate::process;
use crate::services::callers::{CallerSettings, callers_task};
use crate::services::config::{ConfigSettings, config_service};
use crate::services::dialer::dialer_task;
use crate::services::journal::journal_service;
use crate::services::log_reader::log_reader;
use crate::services::metrics;
use crate::services::operator::{self, OperatorIdentity};
use crate::services::peer_reader::peer_reader;
use crate::services::registration::{deregistration_task, registration_task};
use crate::services::snapshot_writer::snapshot_writer;
use crate::services::tickets::tickets_service;
use crate::settings::EntrySettings;

/// Runs an entry.
///
/// # Errors
///
/// Returns an error when a port cannot be opened or signals cannot be watched.
pub async fn run(settings: EntrySettings) -> io::Result<()> {
    let common = &settings.common;
    process::start("entry", common);
    let clock = Clock::start();
    let callers = process::listen("entry", common.listen).await?;
    let operators = process::listen("operator", common.operator_listen).await?;
    let instance = WireInstance {
        name: common.name.clone(),
        role: "entry".to_owned(),
        address: callers.local_addr()?,
        operator: Some(operators.local_addr()?),
        data_centre: common.data_centre.clone(),
        state: WireInstanceState::Live,
    };
    let client = InstanceClient {
        platform: common.platform,
    };
    let mut kernel = TokioKernel::new();
    kernel.add_task(deregistration_task(client, common.name.clone()));
    if let Some(address) = common.metrics {
        let tags = [("role", "entry"), ("instance", common.name.as_str())];
        kernel.add(metrics::service(address, &tags)?);
    }
    kernel.add(journal_service());
    kernel.add(config_service(ConfigSettings {
        name: common.name.clone(),
        upstream: None,
        peers: common.config_peers.clone(),
        retention_ms: common.log_retention_ms,
        seed: rand::random(),
    }));
    kernel.add(tickets_service(
        Incarnation(rand::random()),
        RetryPolicy::default(),
    ));
    kernel.add_task(dialer_task());
    kernel.add_task(log_reader(common.platform));
    kernel.add_task(peer_reader());
    kernel.add_task(snapshot_writer(common.platform));
    let caller_settings = CallerSettings {
        limits: ServerLimits {
            max_connections: settings.max_connections,
            leave_ms: settings.leave_ms,
            drain_ms: common.drain_ms,
        },
        body_limit_bytes: settings.body_limit_bytes,
        max_attempts: settings.max_attempts,
        policy: common.policy.placement(),
    };
    kernel.add_task(operator::task(
        operators,
        OperatorIdentity {
            role: "entry",
            name: common.name.clone(),
            data_centre: common.data_centre.clone(),
            token: common.operator_token.clone(),
        },
    ));
    kernel.add_task(callers_task(callers, caller_settings));
    kernel.add_task(registration_task(client, instance));
    process::run_until_signal(kernel, clock, settings.leave_ms + common.drain_ms).await
}
