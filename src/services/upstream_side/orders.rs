//! I/O task `orders` of a sidecar: orders the engine to load the declared version of the weights.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::{Method, StatusCode};
use serde::Serialize;

use super::engine_notice::call_reported;
use super::lease_log::LeaseLog;
use crate::decide::config::Configuration;
use crate::decide::ids::{EngineEpoch, Incarnation};
use crate::decide::lease::{LeaseTable, ORDER_TIMEOUT_MS};
use crate::decide::orders::{EngineReport, OrderStep, OrderView, next_order};
use crate::events::{LOAD_FAILED, WEIGHTS_LOADED, log_event};
use crate::kernel::{Directory, IoTask, Moment};
use crate::platform::http_client;
use crate::platform::log_client::LogClient;
use crate::services::common::mail::{ConfigMail, EngineStatus, LedgerMail, Mail, OrderReport};
use crate::services::common::wait::{run_until_stop, sleep_until};
use crate::services::configuration::config::CONFIG;
use crate::wire::lease_record::LEASE_STREAM;

/// Name of the I/O task `orders`.
pub const ORDERS: &str = "orders";

/// Pause between two decisions while there is nothing to do.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two checks while the engine drains or the lease stream has no new records.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);

/// Time that the ledger stays closed beyond the next decision or the end of an order.
const CLOSE_MARGIN: Duration = Duration::from_secs(2);

/// Delay until the engine's report shows the effect of an order.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Maximum long-poll wait of one read of the lease stream.
const LEASE_WAIT: Duration = Duration::from_secs(1);

/// Settings of the I/O task `orders`.
#[derive(Debug, Clone)]
pub struct OrderSettings {
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Declared name of the upstream.
    pub upstream: String,
    /// Incarnation of this process.
    pub holder: Incarnation,
    /// Maximum number of engines in the fleet that load weights at the same time.
    pub max_loads: usize,
}

/// Body of a load order to the engine.
#[derive(Debug, Serialize)]
struct WireLoadOrder<'a> {
    model: &'a str,
    version: &'a str,
    fence: u64,
}

/// Creates the I/O task `orders`.
#[must_use]
pub fn orders_task(settings: OrderSettings) -> IoTask<Mail> {
    IoTask::new(ORDERS, move |inbox, directory| {
        run_until_stop(inbox, async move {
            OrderTask::new(settings, directory).run().await;
        })
    })
}

/// State of the I/O task `orders`.
struct OrderTask {
    settings: OrderSettings,
    directory: Directory<Mail>,
    leases: LeaseLog,
    /// Moment until which the ledger refuses new requests.
    closed_until: Moment,
    /// Epoch in the latest report of the engine.
    epoch: EngineEpoch,
}

impl OrderTask {
    fn new(settings: OrderSettings, directory: Directory<Mail>) -> Self {
        let leases = LeaseLog {
            log: LogClient::new(settings.platform, LEASE_STREAM),
            upstream: settings.upstream.clone(),
            holder: settings.holder,
            table: LeaseTable::default(),
            own: None,
        };
        Self {
            settings,
            directory,
            leases,
            closed_until: Moment::START,
            epoch: EngineEpoch::default(),
        }
    }

    async fn run(mut self) {
        loop {
            let Some(step) = self.next_step().await else {
                return;
            };
            self.carry_out(step).await;
        }
    }

    /// Decides on the next step; `None` once the process stops.
    async fn next_step(&mut self) -> Option<OrderStep> {
        let request = |reply_to| Mail::Config(ConfigMail::Current(reply_to));
        let configuration: Arc<Configuration> = self.directory.ask(CONFIG, request).await?;
        let closed_until = self.closed_until;
        let request = |reply_to| Mail::Ledger(LedgerMail::HoldForOrder(closed_until, reply_to));
        let report: OrderReport = self.directory.ask("ledger", request).await?;
        let running = u32::try_from(report.unfinished).unwrap_or(u32::MAX);
        let report = match report.engine {
            _ if !report.wants_orders => EngineReport::Closed,
            EngineStatus::Up { version, epoch } => {
                self.epoch = epoch;
                EngineReport::Serves { version, running }
            }
            EngineStatus::Down => EngineReport::Down,
        };
        let now = self.directory.now();
        let upstream = configuration.upstream(&self.settings.upstream);
        Some(next_order(
            now,
            OrderView {
                upstream: upstream.map(|(_, upstream)| upstream),
                report: &report,
                is_closed: !self.closed_until.is_due(now),
                leases: &self.leases.table,
                own: self.leases.own,
                limit: self.settings.max_loads,
            },
        ))
    }

    /// Carries out one step.
    async fn carry_out(&mut self, step: OrderStep) {
        match step {
            OrderStep::Rest => self.pause(IDLE_PAUSE).await,
            OrderStep::Release => {
                self.closed_until = Moment::START;
                self.leases.release(&self.directory).await;
            }
            OrderStep::Acquire => {
                self.leases.read(&self.directory, Duration::ZERO).await;
                self.leases.acquire(&self.directory).await;
                if self.leases.own.is_none() {
                    self.pause(IDLE_PAUSE).await;
                }
            }
            OrderStep::WaitForLease(until) => self.wait_for_lease(until).await,
            OrderStep::Drain => {
                self.closed_until = self.directory.now().after(CLOSE_MARGIN);
                self.pause(DRAIN_PAUSE).await;
            }
            OrderStep::Load { .. } => self.load(step).await,
        }
    }

    /// Reads the lease stream, waiting for new records until the moment or `LEASE_WAIT`.
    async fn wait_for_lease(&mut self, until: Moment) {
        let now = self.directory.now();
        let wait = until.remaining(now).min(LEASE_WAIT);
        let next = self.leases.table.next;
        self.leases.read(&self.directory, wait).await;
        if self.leases.table.next == next {
            // There are no new records, or the log is unavailable.
            self.pause(DRAIN_PAUSE).await;
        }
    }

    /// Sends a load order, if it is still the next step once the ledger is closed.
    async fn load(&mut self, step: OrderStep) {
        let limit = Duration::from_millis(ORDER_TIMEOUT_MS);
        self.closed_until = self.directory.now().after(limit + CLOSE_MARGIN);
        // Requests may have arrived before the ledger was closed, or the lease may have ended.
        if self.next_step().await.as_ref() != Some(&step) {
            return;
        }
        let OrderStep::Load {
            model,
            version,
            fence,
        } = step
        else {
            return;
        };
        let order = WireLoadOrder {
            model: &model,
            version: &version,
            fence,
        };
        match send(&self.directory, self.settings.engine, &order, limit).await {
            Ok(()) => {
                log_event(&WEIGHTS_LOADED, &[("version", &version), ("fence", &fence)]);
                self.reopen(&version).await;
            }
            Err(reason) => {
                log_event(&LOAD_FAILED, &[("version", &version), ("reason", &reason)]);
                // The next order needs a higher fencing number, so a new lease.
                self.leases.release(&self.directory).await;
            }
        }
        self.pause(REPORT_LAG).await;
    }

    /// Reopens the ledger for the new version without waiting for the engine's next report.
    async fn reopen(&mut self, version: &str) {
        let state = EngineStatus::Up {
            epoch: self.epoch,
            version: version.to_owned(),
        };
        let mail = Mail::Ledger(LedgerMail::EngineStatus(state));
        self.directory.send_waiting("ledger", mail).await;
        self.closed_until = Moment::START;
        // Deciding sends the new `closed_until` to the ledger; `run` decides again after a pause.
        drop(self.next_step().await);
    }

    async fn pause(&self, pause: Duration) {
        sleep_until(&self.directory, self.directory.now().after(pause)).await;
    }
}

/// Sends a load order and waits until the engine has carried it out.
async fn send(
    directory: &Directory<Mail>,
    engine: SocketAddr,
    order: &WireLoadOrder<'_>,
    limit: Duration,
) -> Result<(), String> {
    let body = serde_json::to_vec(order).map_err(|error| error.to_string())?;
    let request = http_client::request(Method::POST, engine, "/orders/load");
    let request = request
        .header("content-type", "application/json")
        .body(Full::new(body.into()))
        .map_err(|error| error.to_string())?;
    match call_reported(directory, engine, request, limit).await {
        Ok(response) if response.status == StatusCode::OK => Ok(()),
        Ok(response) => Err(format!(
            "the engine responded with status {}",
            response.status
        )),
        Err(error) => Err(error.to_string()),
    }
}
