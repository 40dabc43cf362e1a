//! Name table: services find each other's mailboxes by name.

use std::collections::HashMap;

use super::arena::{Arena, Key};

/// What the kernel knows of one mailbox.
#[derive(Debug, Clone, Copy)]
pub struct Mailbox {
    /// Name under which the owner is found.
    pub name: &'static str,
}

/// Addresses one mailbox.
pub type MailboxKey = Key<Mailbox>;

/// Arena of mailboxes with an index by name; complete before the first service starts.
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
    /// Registers a mailbox.
    ///
    /// # Panics
    ///
    /// Panics when the name is taken: two services under one name are a programming error.
    pub fn register(&mut self, name: &'static str) -> MailboxKey {
        let key = self.mailboxes.insert(Mailbox { name });
        let previous = self.by_name.insert(name, key);
        assert!(
            previous.is_none(),
            "the service name {name} is registered twice"
        );
        key
    }

    /// Returns the mailbox registered under the name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<MailboxKey> {
        self.by_name.get(name).copied()
    }

    /// Returns the name of a mailbox.
    #[must_use]
    pub fn name_of(&self, key: MailboxKey) -> Option<&'static str> {
        self.mailboxes.get(key).map(|mailbox| mailbox.name)
    }

    /// Iterates over all mailboxes in the order of registration.
    pub fn iter(&self) -> impl Iterator<Item = (MailboxKey, &Mailbox)> {
        self.mailboxes.iter()
    }

    /// Returns the number of mailboxes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.mailboxes.len()
    }

    /// Tells whether no mailbox is registered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.mailboxes.is_empty()
    }
}
