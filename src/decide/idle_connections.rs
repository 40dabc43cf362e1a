//! Choice of the idle connection that a full server closes to make room for a new one.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::kernel::{Arena, Key, Moment};

/// Shortest time without a request after which a connection is closed for another one. Callers send
/// requests that follow each other sooner.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// Shortest time between two closed connections. A flood of new connections is so refused, which costs
/// less than to serve them, and some callers still get in.
const CLOSE_INTERVAL: Duration = Duration::from_millis(20);

/// Connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerConnection {
    /// Time since which no request is open on the connection; `None` while one is.
    idle_since: Option<Moment>,
}

/// Key of a connection.
pub type ConnectionKey = Key<CallerConnection>;

/// Connections of a server, the idle ones in order of their idle time.
///
/// ```
/// use std::time::Duration;
/// use bulrushslip::decide::idle_connections::ConnectionTable;
/// use bulrushslip::kernel::Moment;
/// let mut table = ConnectionTable::default();
/// let connection = table.open(Moment::START);
/// assert_eq!(table.take_longest_idle(Moment::START), None);
/// let later = Moment::START.after(Duration::from_secs(2));
/// assert_eq!(table.take_longest_idle(later), Some(connection));
/// ```
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: Arena<CallerConnection>,
    idle: BTreeSet<(Moment, ConnectionKey)>,
    /// Time from which the next connection may be closed.
    next_close: Moment,
}

impl ConnectionTable {
    /// Adds a connection that has no request yet.
    pub fn open(&mut self, now: Moment) -> ConnectionKey {
        let key = self.connections.insert(CallerConnection {
            idle_since: Some(now),
        });
        self.idle.insert((now, key));
        key
    }

    /// Records that a request was received on a connection.
    pub fn begin_request(&mut self, key: ConnectionKey) {
        self.set_idle_since(key, None);
    }

    /// Records that the response to a request was passed to the connection or given up.
    pub fn end_request(&mut self, now: Moment, key: ConnectionKey) {
        self.set_idle_since(key, Some(now));
    }

    /// Removes a closed connection.
    pub fn close(&mut self, key: ConnectionKey) {
        self.set_idle_since(key, None);
        self.connections.remove(key);
    }

    /// Removes the connection that has been idle for longest and returns it, if there is one that
    /// may be closed.
    pub fn take_longest_idle(&mut self, now: Moment) -> Option<ConnectionKey> {
        let (since, key) = *self.idle.first()?;
        if now.since(since) < MIN_IDLE || !self.next_close.is_due(now) {
            return None;
        }
        self.next_close = now.after(CLOSE_INTERVAL);
        self.close(key);
        Some(key)
    }

    fn set_idle_since(&mut self, key: ConnectionKey, idle_since: Option<Moment>) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut connection.idle_since, idle_since);
        if let Some(before) = before {
            self.idle.remove(&(before, key));
        }
        if let Some(idle_since) = idle_since {
            self.idle.insert((idle_since, key));
        }
    }
}
