//! Name table: maps the names of services and I/O tasks to their mailboxes.

use std::collections::HashMap;

use super::arena::{Arena, Key};

/// A mailbox in the name table.
#[derive(Debug, Clone, Copy)]
pub struct Mailbox {
    /// Name of the service or I/O task that owns the mailbox.
    pub name: &'static str,
}

/// Key of one mailbox.
pub type MailboxKey = Key<Mailbox>;

/// All mailboxes of a process with an index by name; filled before the first service starts.
///
/// ```
/// let mut names = bulrushslip::kernel::NameTable::default();
/// let key = names.register("queue");
/// assert_eq!(names.find("queue"), Some(key));
/// ```
#[derive(Debug, Default, Clone)]
pub struct NameTable {
    mailboxes: Arena<Mailbox>,
    by_name: HashMap<&'static str, MailboxKey>,
}

impl NameTable {
    /// Registers a mailbox under a name and returns its key.
    ///
    /// # Panics
    ///
    /// Panics if the name is already registered, which is a programming error.
    pub fn register(&mut self, name: &'static str) -> MailboxKey {
        let key = self.mailboxes.insert(Mailbox { name });
        let previous = self.by_name.insert(name, key);
        assert!(
            previous.is_none(),
            "the service name {name} is registered twice"
        );
        key
    }

    /// Returns the key of the mailbox with the given name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<MailboxKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of the mailbox with the given key.
    #[must_use]
    pub fn name_of(&self, key: MailboxKey) -> Option<&'static str> {
        self.mailboxes.get(key).map(|mailbox| mailbox.name)
    }

    /// Iterates over all mailboxes in registration order.
    pub fn iter(&self) -> impl Iterator<Item = (MailboxKey, &Mailbox)> {
        self.mailboxes.iter()
    }

    /// Returns the number of mailboxes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.mailboxes.len()
    }

    /// Reports whether no mailbox is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.mailboxes.is_empty()
    }
}
