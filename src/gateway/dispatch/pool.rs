//! Pool of idle connections to upstreams.

use std::collections::HashMap;

use crate::decide::fleet::MemberKey;
use crate::kernel::Moment;
use crate::platform::http_connection::OpenConnection;

/// Maximum number of idle connections per upstream.
const MAX_IDLE: usize = 24;

#[derive(Debug)]
struct IdleConnection {
    connection: OpenConnection,
    usable_until: Moment,
}

/// Idle connections by upstream; the one used last is reused first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<MemberKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Keeps a connection for reuse until `usable_until`, or closes it if the upstream has
    /// `MAX_IDLE` idle ones already.
    pub fn put(&mut self, member: MemberKey, connection: OpenConnection, usable_until: Moment) {
        let idle = self.idle.entry(member).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(IdleConnection {
                connection,
                usable_until,
            });
        }
    }

    /// Takes an open, unexpired connection to an upstream out of the pool, if there is one.
    pub fn take(&mut self, now: Moment, member: MemberKey) -> Option<OpenConnection> {
        let idle = self.idle.get_mut(&member)?;
        while let Some(candidate) = idle.pop() {
            let is_open =
                candidate.connection.sender.is_ready() && !candidate.connection.sender.is_closed();
            if is_open && !candidate.usable_until.is_due(now) {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Closes all idle connections to an upstream.
    pub fn close_all(&mut self, member: MemberKey) {
        self.idle.remove(&member);
    }

    /// Closes connections that have expired or that the upstream has closed.
    pub fn sweep(&mut self, now: Moment) {
        self.idle.retain(|_, idle| {
            idle.retain(|candidate| {
                !candidate.usable_until.is_due(now) && !candidate.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }
}
