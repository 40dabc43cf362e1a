//! Micro-kernel: services with mailboxes, looked up by name, with deadlines, an ordered start and
//! stop, and a dump of their state. It is independent of requests and language models.
//!
//! The same [`Service`] runs on two drivers: [`TokioKernel`] in production and
//! [`SteppedKernel`] in tests, with virtual time and a delivery order that a seed determines.

mod arena;
mod moment;
mod names;
mod reply;
mod service;
mod stepped;
mod tokio_kernel;

pub use arena::{Arena, Key};
pub use moment::{Clock, Moment, whole_ms, whole_us};
pub use names::{Mailbox, MailboxKey, NameTable};
pub use reply::{Reply, ReplyTo};
pub use service::{NextStep, Service, Signal, Turn};
pub use stepped::{SteppedKernel, SteppedOutcome};
pub use tokio_kernel::{Directory, Inbox, IoTask, RunningKernel, SendOutcome, TokioKernel};
