//! Idle connections to upstreams.

use std::collections::HashMap;

use crate::decide::fleet::MemberKey;
use crate::kernel::Moment;
use crate::platform::http_connection::OpenConnection;

/// Idle connections kept to one upstream.
const MAX_IDLE: usize = 24;

#[derive(Debug)]
struct IdleLink {
    connection: OpenConnection,
    usable: Moment,
}

/// Idle connections by upstream; the one used last is used first.
#[derive(Debug, Default)]
pub struct LinkPool {
    idle: HashMap<MemberKey, Vec<IdleLink>>,
}

impl LinkPool {
    /// Keeps a connection until the moment.
    pub fn put(&mut self, member: MemberKey, connection: OpenConnection, usable: Moment) {
        let idle = self.idle.entry(member).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(IdleLink { connection, usable });
        }
    }

    /// Takes a connection that can be used now.
    pub fn take(&mut self, now: Moment, member: MemberKey) -> Option<OpenConnection> {
        let idle = self.idle.get_mut(&member)?;
        while let Some(candidate) = idle.pop() {
            let is_open =
                candidate.connection.sender.is_ready() && !candidate.connection.sender.is_closed();
            if is_open && !candidate.usable.is_due(now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes all connections to an upstream.
    pub fn forget(&mut self, member: MemberKey) {
        self.idle.remove(&member);
    }

    /// Closes connections that may not be used any more.
    pub fn sweep(&mut self, now: Moment) {
        self.idle.retain(|_, idle| {
            idle.retain(|candidate| {
                !candidate.usable.is_due(now) && !candidate.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }
}
