//! Service `weights`: owns the simulated weight store and the callers that wait for a transfer.

use std::collections::BTreeMap;

use serde_json::json;

use super::mail::StandinMail;
use super::weight_store::{TransferKey, WeightLimits, WeightStore};
use crate::kernel::{NextStep, ReplyTo, Service, Signal};

/// Messages to the service `weights`.
#[derive(Debug)]
pub enum WeightMail {
    /// Transfer weights; the reply is sent when the transfer is complete.
    Fetch(ReplyTo<()>),
}

/// Creates the service.
#[must_use]
pub fn weight_service(limits: WeightLimits) -> Service<StandinMail> {
    let mut store = WeightStore::new(limits);
    let mut callers: BTreeMap<TransferKey, ReplyTo<()>> = BTreeMap::new();
    Service::new("weights", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Weights(WeightMail::Fetch(reply))) => {
                callers.insert(store.start(turn.now), reply);
            }
            Signal::Dump(reply) => reply.send(json!({ "running": store.running() })),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        for key in store.finish(turn.now) {
            if let Some(reply) = callers.remove(&key) {
                reply.send(());
            }
        }
        NextStep::WaitUntil(store.next_due())
    })
}
