//! Start of the sidecar process: opens its ports, adds its components to the kernel and runs it.

use std::io;

use crate::decide::claim_coordinator::CoordinatorLimits;
use crate::decide::ids::Incarnation;
use crate::decide::ledger::LedgerBounds;
use crate::decide::queue::QueuePolicy;
use crate::decide::upstream_queue::MAX_PREFILLS;
use crate::kernel::{Clock, TokioKernel};
use crate::process;
use crate::services::upstream_side::cache_watch::cache_watch_task;
use crate::services::upstream_side::claim_log::claim_log_task;
use crate::services::upstream_side::claims::claims_service;
use crate::services::upstream_side::config_feed::config_feed_task;
use crate::services::upstream_side::engine_task::{
    EngineKind, EngineTarget, ResponseLimits, engine_task,
};
use crate::services::upstream_side::engine_watch::engine_watch_task;
use crate::services::upstream_side::leaving_watch::leaving_watch_task;
use crate::services::upstream_side::ledger::LedgerSettings;
use crate::services::upstream_side::ledger::ledger_service;
use crate::services::upstream_side::orders::{OrderSettings, orders_task};
use crate::services::upstream_side::sidecar_rpc::rpc_task;
use crate::services::upstream_side::suspect_feed::suspect_feed_task;
use crate::settings::{SidecarSettings, TargetKind};
use crate::shared_components::ProcessIdentity;

/// Minimum shares of the two ranks unless the configuration sets others, in percent of the service
/// time.
const DEFAULT_FLOOR_PERCENT: [u8; 2] = [20, 20];

/// Runs a sidecar until a stop signal.
///
/// # Errors
///
/// Returns an error when a port cannot be opened or the signal handlers cannot be installed.
pub async fn run(settings: SidecarSettings) -> io::Result<()> {
    let common = &settings.common;
    process::init_logging("sidecar", common);
    let clock = Clock::start();
    let entries = process::listen("sidecar", common.listen)?;
    let operators = process::listen("operator", common.operator_listen)?;
    let target = EngineTarget {
        address: settings.target,
        kind: match settings.target_kind {
            TargetKind::Engine => EngineKind::Model,
            TargetKind::Plain => EngineKind::Plain,
        },
    };
    let ledger_settings = LedgerSettings {
        incarnation: Incarnation(rand::random()),
        upstream: settings.upstream.clone(),
        bounds: LedgerBounds {
            retention_ms: settings.kept_ms,
            ..LedgerBounds::default()
        },
        max_response_bytes: settings.kept_bytes,
        queue: QueuePolicy {
            discipline: common.policy.discipline(),
            rank_capacity: settings.queue_limit,
            floor_percent: DEFAULT_FLOOR_PERCENT,
        },
        max_prefills: match target.kind {
            EngineKind::Model => MAX_PREFILLS,
            EngineKind::Plain => u32::MAX,
        },
    };
    let address = entries.local_addr()?;
    let operator = operators.local_addr()?;
    let identity = ProcessIdentity {
        role: "sidecar",
        common,
        upstream: Some(&settings.upstream),
    };
    let mut kernel = TokioKernel::new();
    identity.add_base_components(&mut kernel)?;
    kernel.add_task(engine_task(target, ResponseLimits::default()));
    kernel.add_task(engine_watch_task(target));
    if target.kind == EngineKind::Model {
        kernel.add_task(cache_watch_task(target.address));
    }
    kernel.add(claims_service(CoordinatorLimits::default()));
    kernel.add_task(claim_log_task(common.platform));
    kernel.add_task(suspect_feed_task(settings.upstream.clone()));
    kernel.add_task(rpc_task(entries));
    identity.add_operator(&mut kernel, operators);
    if target.kind == EngineKind::Model {
        kernel.add_task(orders_task(OrderSettings {
            platform: common.platform,
            engine: target.address,
            upstream: settings.upstream.clone(),
            holder: ledger_settings.incarnation,
            max_loads: settings.max_loads,
        }));
    }
    // The ledger has to stop before the tasks above, which deliver its last responses.
    kernel.add(ledger_service(ledger_settings));
    kernel.add_task(config_feed_task());
    kernel.add_task(leaving_watch_task(common.platform, common.name.clone()));
    identity.add_registration(&mut kernel, address, operator);
    process::run_until_signal(kernel, clock, common.drain_ms).await
}
