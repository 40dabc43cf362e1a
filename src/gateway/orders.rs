//! I/O task `orders`: brings upstreams to the weights that operators have named.
//!
//! Nothing is remembered of a rollout: each step follows from the named version, what upstreams
//! say that they run, and the claims on the log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use super::dispatch;
use super::dispatch::DispatchState;
use super::identity::InstanceIdentity;
use super::mail::{DispatchMail, GatewayMail, PeersMail, RolloutAsk};
use super::order_delivery::{ClaimedOrder, OrderEnd, OrderTarget, carry_out};
use crate::decide::ids::LogOffset;
use crate::decide::rollout::{
    CLAIM_VALIDITY, OrderClaim, OrderClaimTable, RolloutStep, RolloutView,
};
use crate::events::{CLAIM_UNCONFIRMED, RECORD_SKIPPED, log_event};
use crate::kernel::{Directory, Inbox, IoTask, Moment, Signal};
use crate::platform::store_client::{AppendStep, ORDER_TOPIC, ReadStep, StoreClient, StoreError};

/// Longest time for which an upstream is held for an order; a load takes about 0.6 s after the
/// running requests have ended.
pub(super) const HOLD_TIME: Duration = Duration::from_secs(4);

/// Rank from which all instances wait equally long; claims on the log keep them apart.
const LAST_RANK: u32 = 4;

/// Time between two looks while a rollout is under way.
const STEP_PAUSE: Duration = Duration::from_millis(100);

/// Time between two looks while nothing is known to be behind; an upstream may come back with
/// older weights.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// Creates the I/O task.
#[must_use]
pub fn orders_task(identity: InstanceIdentity, store: SocketAddr) -> IoTask<GatewayMail> {
    IoTask::new("orders", move |inbox, directory| {
        let task = OrderTask {
            identity,
            client: StoreClient::new(store),
            store,
            claims: OrderClaimTable::default(),
            is_current: false,
            running: JoinSet::new(),
        };
        task.run(inbox, directory)
    })
}

/// What to do next, with all that is needed to do it.
#[derive(Debug)]
enum OrderPlan {
    Done,
    Wait(Moment),
    Claim {
        model: String,
        version: u64,
        targets: Vec<OrderTarget>,
    },
}

#[derive(Debug)]
struct OrderTask {
    identity: InstanceIdentity,
    client: StoreClient,
    store: SocketAddr,
    claims: OrderClaimTable,
    /// Whether the claims have been read since the rollout began.
    is_current: bool,
    running: JoinSet<OrderEnd>,
}

impl OrderTask {
    async fn run(mut self, mut inbox: Inbox<GatewayMail>, directory: Directory<GatewayMail>) {
        let mut due = directory.now().after(IDLE_PAUSE);
        loop {
            tokio::select! {
                signal = inbox.receive() => match signal {
                    Some(Signal::Mail(GatewayMail::OrdersDue)) => due = directory.now(),
                    Some(Signal::Mail(GatewayMail::Settings(settings))) => {
                        if settings.store_address != self.store {
                            self.store = settings.store_address;
                            self.client = StoreClient::new(self.store);
                        }
                    }
                    Some(Signal::Dump(reply_to)) => reply_to.send(
                        serde_json::json!({"running": self.running.len(), "claims": self.claims.end.0}),
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

    /// Takes one step and returns when to take the next.
    async fn step(&mut self, directory: &Directory<GatewayMail>) -> Moment {
        let plan = self.plan(directory).await;
        match plan {
            None | Some(OrderPlan::Done) => {
                // Claims of others are read anew when the next rollout begins.
                self.is_current = false;
                directory.now().after(IDLE_PAUSE)
            }
            Some(OrderPlan::Wait(due)) => due.max(directory.now().after(STEP_PAUSE)),
            Some(OrderPlan::Claim { .. }) if !self.is_current => {
                self.is_current = self.read_claims(directory).await.is_ok();
                if self.is_current {
                    directory.now()
                } else {
                    directory.now().after(STEP_PAUSE)
                }
            }
            Some(OrderPlan::Claim {
                model,
                version,
                targets,
            }) => {
                self.claim(directory, model, version, targets).await;
                directory.now().after(STEP_PAUSE)
            }
        }
    }

    async fn plan(&self, directory: &Directory<GatewayMail>) -> Option<OrderPlan> {
        let (reply_to, reply) = crate::kernel::ReplyTo::channel();
        // The decision needs the state of `dispatch` and the claims: the claims travel there.
        let claims = self.claims.clone();
        let look = Box::new(move |now: Moment, state: &DispatchState| {
            reply_to.send(plan_with(&claims, now, state));
        });
        dispatch::tell(directory, DispatchMail::Rollout(RolloutAsk { look }));
        reply.await.ok()
    }

    /// Reads claims from the log up to its end.
    async fn read_claims(&mut self, directory: &Directory<GatewayMail>) -> Result<(), StoreError> {
        let from = self.claims.end;
        let read = self.client.read(ORDER_TOPIC, from, Duration::ZERO).await?;
        let page = match read {
            ReadStep::Page(page) => page,
            // What was deleted is too old to matter; the rest is read next.
            ReadStep::Deleted { first } => {
                self.claims.end = first;
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
        self.claims.end = page.end;
        Ok(())
    }

    /// Has the claims read before the next one is made.
    fn doubt_claims(&mut self, reason: &dyn std::fmt::Display) {
        log_event(
            &CLAIM_UNCONFIRMED,
            &[("reason", reason), ("end", &self.claims.end.0)],
        );
        self.is_current = false;
    }

    /// Claims upstreams on the log and starts their orders if the claim stands.
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
        };
        let end = self.claims.end;
        let appended = self
            .client
            .append_at(ORDER_TOPIC, end, &Bytes::from(&claim))
            .await;
        let fence = match appended {
            Ok(AppendStep::Appended(offset)) => offset,
            // Whether the claim stands or another one came first, the log tells.
            Ok(AppendStep::Moved) => return self.doubt_claims(&"another one came first"),
            Err(error) => return self.doubt_claims(&error),
        };
        self.claims.end = LogOffset(fence.0 + 1);
        self.claims.apply(directory.now(), &claim);
        let hold_until = directory.now().after(HOLD_TIME);
        for target in &targets {
            dispatch::tell(directory, DispatchMail::Hold(target.member, hold_until));
        }
        for target in targets {
            let order = ClaimedOrder {
                target,
                model: model.clone(),
                version,
                holder: self.identity.name.clone(),
                fence,
                usable_until: sent.after(CLAIM_VALIDITY),
            };
            self.running.spawn(carry_out(directory.clone(), order));
        }
        // The others must know of the hold before the orders go out; one that does not answer
        // learns of it from the upstream's refusals.
        let told = directory.ask("peers", |reply_to| {
            GatewayMail::Peers(PeersMail::ExchangeNow(reply_to))
        });
        let _is_told = told.await;
    }
}

/// Decides on a rollout with the state of `dispatch`.
fn plan_with(claims: &OrderClaimTable, now: Moment, state: &DispatchState) -> OrderPlan {
    // An instance that ends soon would leave its claims behind.
    if state.is_leaving {
        return OrderPlan::Done;
    }
    for (model, named) in &state.versions {
        let own = state.identity.id;
        let before = state
            .peers
            .iter()
            .filter(|(id, peer)| **id < own && peer.reaches_store)
            .count();
        let view = RolloutView {
            now,
            own,
            rank: u32::try_from(before).unwrap_or(u32::MAX).min(LAST_RANK),
            model: *model,
            version: named.version,
            target_since: named.learned,
            min_holder_interval: state.identity.min_holder_interval,
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
                    })
                });
                return OrderPlan::Claim {
                    model: named.name.clone(),
                    version: named.version,
                    targets: targets.collect(),
                };
            }
        }
    }
    OrderPlan::Done
}
