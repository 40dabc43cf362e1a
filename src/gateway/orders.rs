//! I/O task `orders`: orders upstreams to load the target versions of their models' weights.
//!
//! The task stores no rollout state: each step follows from the target version, the versions that
//! upstreams report, and the claims on the log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::dispatch;
use super::dispatch::DispatchState;
use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail, PeersMail, StateQuery};
use super::order_delivery::{ClaimedOrder, OrderResult, OrderTarget, deliver_order};
use crate::decide::ids::{LogOffset, LogPosition, StoreEra};
use crate::decide::rollout::{
    CLAIM_VALIDITY, OrderClaim, OrderClaimTable, RolloutStep, RolloutView,
};
use crate::decide::route_table::RouteTable;
use crate::events::{CLAIM_UNCONFIRMED, RECORD_SKIPPED, STORE_RESTORED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::store_client::{ORDER_TOPIC, StoreAppend, StoreClient, StoreError, StoreRead};

/// Maximum time for which an upstream is held for an order. A load takes about 0.6 s after the
/// running requests have ended.
pub(super) const MAX_HOLD: Duration = Duration::from_secs(4);

/// Maximum rank of an instance among those that can claim. Instances beyond it wait equally long;
/// claims on the log still exclude each other.
const MAX_INSTANCE_RANK: u32 = 4;

/// Minimum time between two steps during a rollout.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two checks while no rollout is known; an upstream may restart with older weights.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Creates the I/O task `orders`.
#[must_use]
pub fn orders_task(identity: InstanceIdentity, store: SocketAddr) -> IoTask<GatewayMail> {
    IoTask::new("orders", move |inbox, directory| {
        let task = OrderTask {
            identity,
            client: StoreClient::new(store),
            store,
            claims: OrderClaimTable::default(),
            has_read_era: true,
            has_read_claims: false,
            running: JoinSet::new(),
        };
        task.run(inbox, directory)
    })
}

/// Next action in a rollout, with the data that it needs.
#[derive(Debug)]
enum OrderPlan {
    /// All upstreams run the target versions, or this instance is to give no orders.
    Done,
    /// Plan again at this time at the latest.
    Wait(Moment),
    /// Claim these upstreams and order them to load the version.
    Claim {
        model: String,
        version: u64,
        targets: Vec<OrderTarget>,
    },
}

/// State of the I/O task.
#[derive(Debug)]
struct OrderTask {
    identity: InstanceIdentity,
    client: StoreClient,
    store: SocketAddr,
    claims: OrderClaimTable,
    /// Whether the claims have been read since the era of the store began, as far as known.
    has_read_era: bool,
    /// Whether `claims` is up to date with the log, as far as known.
    has_read_claims: bool,
    /// Deliveries of orders that have not ended.
    running: JoinSet<OrderResult>,
}

impl OrderTask {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>, directory: Directory<GatewayMail>) {
        let mut due = directory.now().after(IDLE_INTERVAL);
        loop {
            tokio::select! {
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::OrdersDue)) => due = directory.now(),
                    Some(Signal::Mail(GatewayMail::StoreEra(era))) => {
                        self.enter_era(directory.now(), era);
                    }
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        if settings.store_address != self.store {
                            self.store = settings.store_address;
                            self.client = StoreClient::new(self.store);
                        }
                    }
                    Some(Signal::Dump(reply_to)) => reply_to.send(
                        serde_json::json!({
                            "running": self.running.len(),
                            "claims": self.claims.end.offset.0,
                            "era": self.claims.end.era.0,
                        }),
                    ),
                    Some(Signal::Stop) | None => return,
                    Some(_) => {}
                },
                Some(ended) = self.running.join_next() => {
                    if let Ok(end) = ended {
                        let now = directory.now();
                        self.claims.finish(now, &end.upstream, end.is_loaded);
                    }
                    due = directory.now();
                }
                () = sleep_until(directory.clock().instant(due).into()) => {
                    due = self.step(&directory).await;
                }
            }
        }
    }

    /// Enters an era in which the store has come back from an older copy; returns `false` if it is known.
    fn enter_era(&mut self, now: Moment, era: StoreEra) -> bool {
        let known = self.claims.end.offset;
        if !self.claims.enter_era(now, era) {
            return false;
        }
        self.has_read_era = false;
        self.has_read_claims = false;
        log_event(&STORE_RESTORED, &[("era", &era.0), ("claims", &known.0)]);
        true
    }

    /// Takes one step of the rollout and returns the time of the next.
    async fn step(&mut self, directory: &Directory<GatewayMail>) -> Moment {
        if !self.has_read_era {
            self.has_read_era = self.read_claims(directory).await.is_ok();
        }
        let plan = self.plan(directory).await;
        match plan {
            None | Some(OrderPlan::Done) => {
                // Other instances may append claims meanwhile, so they are read again for the
                // next rollout.
                self.has_read_claims = false;
                directory.now().after(IDLE_INTERVAL)
            }
            Some(OrderPlan::Wait(due)) => due.max(directory.now().after(STEP_INTERVAL)),
            Some(OrderPlan::Claim { .. }) if !self.has_read_claims => {
                self.has_read_claims = self.read_claims(directory).await.is_ok();
                if self.has_read_claims {
                    directory.now()
                } else {
                    directory.now().after(STEP_INTERVAL)
                }
            }
            Some(OrderPlan::Claim {
                model,
                version,
                targets,
            }) => {
                self.claim(directory, model, version, targets).await;
                directory.now().after(STEP_INTERVAL)
            }
        }
    }

    /// Asks `dispatch` for the next action; `None` if the service does not reply.
    async fn plan(&self, directory: &Directory<GatewayMail>) -> Option<OrderPlan> {
        let (reply_to, reply) = crate::kernel::ReplyTo::channel();
        // The decision needs both the claims and the state of `dispatch`, so a copy of the claims
        // goes to the service with the closure.
        let claims = self.claims.clone();
        let inspect = Box::new(move |now: Moment, state: &DispatchState| {
            reply_to.send(plan_rollout(&claims, now, state));
        });
        dispatch::tell(directory, DispatchMail::Inspect(StateQuery { inspect }));
        reply.await.ok()
    }

    /// Reads claims up to the end of the log.
    async fn read_claims(&mut self, directory: &Directory<GatewayMail>) -> Result<(), StoreError> {
        loop {
            let from = self.claims.end.offset;
            let read = self.client.read(ORDER_TOPIC, from, Duration::ZERO).await;
            if self.enter_era(directory.now(), self.client.era()) {
                continue;
            }
            let read = read?;
            if self.client.era() < self.claims.end.era {
                return Err(StoreError::UnknownEra);
            }
            let page = match read {
                StoreRead::Page(page) => page,
                // Deleted claims have expired; the next read starts at the first remaining record.
                StoreRead::Deleted { first } => {
                    self.claims.end.offset = first;
                    return Err(StoreError::Unreadable);
                }
            };
            let now = directory.now();
            for record in &page.records {
                match OrderClaim::try_from(record.body.as_ref()) {
                    Ok(claim) => self.claims.apply(now, &claim),
                    Err(error) => log_event(
                        &RECORD_SKIPPED,
                        &[("offset", &record.offset.0), ("reason", &error)],
                    ),
                }
            }
            self.claims.end.offset = page.next(from);
            if page.records.is_empty() || self.claims.end.offset >= page.end {
                return Ok(());
            }
        }
    }

    /// Has the claims read again before the next one is appended.
    fn invalidate_claims(&mut self, reason: &dyn std::fmt::Display) {
        log_event(
            &CLAIM_UNCONFIRMED,
            &[
                ("reason", reason),
                ("end", &self.claims.end.offset.0),
                ("era", &self.claims.end.era.0),
            ],
        );
        self.has_read_claims = false;
    }

    /// Appends a claim for the upstreams to the log and starts their orders if the append
    /// succeeds.
    async fn claim(
        &mut self,
        directory: &Directory<GatewayMail>,
        model: String,
        version: u64,
        targets: Vec<OrderTarget>,
    ) {
        let sent = directory.now();
        let claim = OrderClaim {
            holder: self.identity.id,
            upstreams: targets.iter().map(|target| target.id.clone()).collect(),
            version,
            era: self.claims.end.era,
        };
        let end = self.claims.end.offset;
        let appended = self
            .client
            .append_at(ORDER_TOPIC, end, &Bytes::from(&claim))
            .await;
        self.enter_era(directory.now(), self.client.era());
        let offset = match appended {
            Ok(StoreAppend::Appended(_)) if self.client.era() != claim.era => {
                return self.invalidate_claims(&"it was made in another era of the store");
            }
            Ok(StoreAppend::Appended(offset)) => offset,
            // Another claim has taken the offset; the log shows whether this one was appended as
            // well.
            Ok(StoreAppend::OffsetMismatch) => {
                return self.invalidate_claims(&"another claim came first");
            }
            Err(error) => return self.invalidate_claims(&error),
        };
        let position = LogPosition {
            era: claim.era,
            offset,
        };
        let Some(fence) = position.fence() else {
            return self.invalidate_claims(&"no fencing token is left");
        };
        self.claims.end.offset = LogOffset(offset.0 + 1);
        self.claims.start(directory.now(), &claim);
        let hold_until = directory.now().after(MAX_HOLD);
        for target in &targets {
            dispatch::tell(directory, DispatchMail::Hold(target.member, hold_until));
        }
        for target in targets {
            let order = ClaimedOrder {
                target,
                model: model.clone(),
                version,
                holder: self.identity.name.clone(),
                claim: position,
                fence,
                usable_until: sent.after(CLAIM_VALIDITY),
            };
            self.running.spawn(deliver_order(directory.clone(), order));
        }
        // Other instances must know of the hold before the orders are sent. Those that do not
        // answer will get refusals from the upstream instead.
        let exchanged = directory.ask("peers", |reply_to| {
            GatewayMail::Peers(PeersMail::ExchangeNow(reply_to))
        });
        let _is_exchanged = exchanged.await;
    }
}

/// Decides the next action in a rollout from the state of `dispatch` and the claims.
fn plan_rollout(claims: &OrderClaimTable, now: Moment, state: &DispatchState) -> OrderPlan {
    // The claims of an instance that is shutting down would outlive it.
    if state.is_leaving {
        return OrderPlan::Done;
    }
    for (model, target) in &state.target_versions {
        let own = state.identity.id;
        let rank = state
            .peers
            .iter()
            .filter(|(id, peer)| **id < own && peer.reaches_store)
            .count();
        let view = RolloutView {
            now,
            own,
            rank: u32::try_from(rank)
                .unwrap_or(u32::MAX)
                .min(MAX_INSTANCE_RANK),
            model: *model,
            version: target.version,
            target_since: target.received_at,
            weights_limit: state.identity.weights_limit,
            oldest_allowed: state.oldest_allowed(now, *model),
            min_holder_interval: state.identity.min_holder_interval,
            spreads_orders: state
                .routes
                .as_ref()
                .is_some_and(RouteTable::has_tight_prompts),
            fleet: &state.fleet,
        };
        match claims.next(view) {
            RolloutStep::Done => {}
            RolloutStep::Wait(due) => return OrderPlan::Wait(due),
            RolloutStep::Claim(keys) => {
                let targets = keys.into_iter().filter_map(|key| {
                    let member = state.fleet.get(key)?;
                    Some(OrderTarget {
                        member: key,
                        id: member.entry.id.clone(),
                        address: member.entry.address,
                        needs_drain: view.needs_drain(key),
                    })
                });
                return OrderPlan::Claim {
                    model: target.name.clone(),
                    version: target.version,
                    targets: targets.collect(),
                };
            }
        }
    }
    OrderPlan::Done
}
