//! Micro-kernel: mailboxes under small keys, services found by name, stored deadlines,
//! ordered start and stop, and a state dump. It knows nothing of language models.
//!
//! The same [`Service`] runs on two drivers: [`TokioKernel`] for real use and
//! [`SteppedKernel`] with virtual time and a seeded order of delivery for tests.

mod arena;
mod moment;
mod names;
mod reply;
mod service;
mod stepped;
mod tokio_kernel;

pub use arena::{Arena, Key};
pub use moment::{Clock, Moment, whole_ms};
pub use names::{Mailbox, MailboxKey, NameTable};
pub use reply::{Reply, ReplyTo};
pub use service::{NextStep, Service, Signal, Turn};
pub use stepped::{SteppedKernel, SteppedOutcome};
pub use tokio_kernel::{Directory, Inbox, IoTask, RunningKernel, SendOutcome, TokioKernel};
