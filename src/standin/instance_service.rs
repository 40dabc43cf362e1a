//! Service `instances`: owns the instance list.

use serde_json::json;

use super::instance_list::{InstanceEntry, InstanceList};
use super::mail::StandinMail;
use crate::kernel::{NextStep, ReplyTo, Service, Signal};

/// Messages to the service `instances`.
#[derive(Debug)]
pub enum InstanceMail {
    /// Register or renew an instance; the reply is what is registered now.
    Put(InstanceEntry, ReplyTo<InstanceEntry>),
    /// Mark an instance as leaving, whatever it says of itself.
    Leave(String, ReplyTo<()>),
    /// Deregister an instance; the reply tells whether it was there.
    Remove(String, ReplyTo<bool>),
    /// List the instances.
    List(ReplyTo<Vec<InstanceEntry>>),
}

/// Creates the service.
#[must_use]
pub fn instance_service(lag_ms: u64) -> Service<StandinMail> {
    let mut list = InstanceList::new(lag_ms);
    Service::new("instances", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Instances(mail)) => match mail {
                InstanceMail::Put(entry, reply) => reply.send(list.put(turn.now, entry)),
                InstanceMail::Leave(name, reply) => {
                    list.leave(turn.now, &name);
                    reply.send(());
                }
                InstanceMail::Remove(name, reply) => reply.send(list.remove(turn.now, &name)),
                InstanceMail::List(reply) => reply.send(list.list(turn.now)),
            },
            Signal::Dump(reply) => reply.send(json!({ "shown": list.list(turn.now).len() })),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}
