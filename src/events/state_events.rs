//! Log events about the configuration, the store, the settings and other instances, numbers 201 to
//! 299.

use log::Level;

use super::catalogue::{EventKind, event};

/// Logged when an invalid record of the configuration stream is skipped.
pub const RECORD_SKIPPED: EventKind = event(
    201,
    Level::Warn,
    "record_skipped",
    "A configuration record is invalid and was skipped; every process skips the same records.",
);

/// Logged when the platform's log cannot be read.
pub const LOG_UNREADABLE: EventKind = event(
    202,
    Level::Warn,
    "log_unreadable",
    "The platform's log cannot be read; the current configuration stays in force.",
);

/// Logged when operators set the target version of a model.
pub const WEIGHTS_NAMED: EventKind = event(
    203,
    Level::Info,
    "weights_named",
    "Operators have set the target version of a model's weights.",
);

/// Logged when a new configuration is in force.
pub const CONFIGURATION_IN_FORCE: EventKind = event(
    204,
    Level::Info,
    "configuration_in_force",
    "A new configuration is in force at this instance.",
);

/// Logged when the platform's store stops responding.
pub const STORE_LOST: EventKind = event(
    205,
    Level::Warn,
    "store_lost",
    "The platform's store does not respond for a topic; the last known state stays in force.",
);

/// Logged when the platform's store responds again.
pub const STORE_REGAINED: EventKind = event(
    206,
    Level::Info,
    "store_regained",
    "The platform's store responds again for a topic.",
);

/// Logged when an upstream appears, disappears or changes.
pub const UPSTREAM_CHANGED: EventKind = event(
    207,
    Level::Info,
    "upstream_changed",
    "An upstream was added or removed, has restarted, or has changed its state or weights.",
);

/// Logged when a changed settings file is in force.
pub const SETTINGS_RELOADED: EventKind = event(
    208,
    Level::Info,
    "settings_reloaded",
    "The settings file has changed and is in force.",
);

/// Logged when a changed settings file is rejected.
pub const SETTINGS_REFUSED: EventKind = event(
    209,
    Level::Warn,
    "settings_refused",
    "The settings file has changed and is invalid; the previous settings stay in force.",
);

/// Logged when the store does not confirm the record of this process on the list of instances.
pub const REGISTRATION_FAILED: EventKind = event(
    210,
    Level::Warn,
    "registration_failed",
    "The platform's store did not confirm this process's record on the list of instances.",
);

/// Logged when requests wait because the list of upstreams is too old.
pub const UPSTREAMS_OUTDATED: EventKind = event(
    211,
    Level::Warn,
    "upstreams_outdated",
    "The list of upstreams is too old for the drain limit and no read has failed; requests wait.",
);

/// Logged when an upstream counts as running other weights than its entry states.
pub const WEIGHTS_STATED: EventKind = event(
    216,
    Level::Info,
    "weights_stated",
    "A response, an order or another instance states newer weights of an upstream than its entry.",
);

/// Logged when a statement on the weights of an upstream does not count, or no longer.
pub const WEIGHTS_REFUTED: EventKind = event(
    217,
    Level::Warn,
    "weights_refuted",
    "A statement on the weights of an upstream is wrong: `reason` tells what contradicts it.",
);

/// Logged when a listing of the store shows entries that were missing here, or kept after their removal.
pub const VIEW_REPAIRED: EventKind = event(
    218,
    Level::Warn,
    "view_repaired",
    "The store's list of upstreams differs from what this instance knew; the store's holds now.",
);

/// Logged when a listing of the store cannot be decoded or read as a whole.
pub const LISTING_INCOMPLETE: EventKind = event(
    219,
    Level::Warn,
    "listing_incomplete",
    "A listing of the store has items that cannot be decoded (`skipped`), or cannot be read to its end; then the topic is read from its oldest record on.",
);

/// Logged when the platform's store states a higher era than before.
pub const STORE_RESTORED: EventKind = event(
    220,
    Level::Warn,
    "store_restored",
    "The platform's store has come back from an older copy and is in another `era`: what was written before may be gone, and offsets are given out again.",
);

/// Logged when the view of a topic enters a later era of the store.
pub const VIEW_RESTORED: EventKind = event(
    221,
    Level::Warn,
    "view_restored",
    "The records of a `topic` were taken over from an older copy of the store, of another `era`: the ones below `known` of the era before are replaced by the ones below `next`, and upstreams that the copy lacks are removed unless they write again.",
);

/// Logged when exchanges with another instance begin to fail.
pub const PEER_LOST: EventKind = event(
    212,
    Level::Info,
    "peer_lost",
    "An exchange with another instance failed; the line is repeated only after a success.",
);

/// Logged when an exchange with another instance succeeds again.
pub const PEER_REGAINED: EventKind = event(
    213,
    Level::Info,
    "peer_regained",
    "An exchange with another instance succeeded again after `failures` failed ones.",
);

/// Logged when store records have been read from another instance.
pub const TRANSFER_ENDED: EventKind = event(
    214,
    Level::Info,
    "transfer_ended",
    "Large store records were read from other instances, the last from `peer`.",
);

/// Logged when another instance does not deliver a page of store records.
pub const TRANSFER_BROKEN: EventKind = event(
    215,
    Level::Info,
    "transfer_broken",
    "An instance did not deliver a part of large store records; another one is asked for the rest.",
);
