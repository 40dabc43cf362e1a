//! Service `config`: owns the configuration in force and replays records into it.

use std::fmt::Display;
use std::sync::Arc;

use serde_json::{Value, json};

use super::mail::{ConfigMail, Mail};
use crate::decide::config::Configuration;
use crate::decide::config_intake::{ConfigIntake, EntryPage, NumberedEntry, SkippedRecord};
use crate::decide::ids::LogOffset;
use crate::events::{RECORD_SKIPPED, log_event};
use crate::kernel::{NextStep, ReplyTo, Service, Signal};
use crate::platform::log_client::LogPage;
use crate::wire::config_snapshot::decode_entry;

/// Name of the service that owns the configuration.
pub const CONFIG: &str = "config";

/// Records without effect that a dump shows, newest last.
const MAX_SHOWN_SKIPS: usize = 32;

/// Someone who waits for a newer configuration.
#[derive(Debug)]
struct ConfigWaiter {
    than: LogOffset,
    reply_to: ReplyTo<Arc<Configuration>>,
}

#[derive(Debug, Default)]
struct ConfigOwner {
    intake: ConfigIntake,
    heard: LogOffset,
    skipped: Vec<SkippedRecord>,
    waiters: Vec<ConfigWaiter>,
}

/// Creates the service `config`, which starts with an empty configuration.
#[must_use]
pub fn config_service() -> Service<Mail> {
    let mut owner = ConfigOwner::default();
    Service::new(CONFIG, move |_turn, signal| match signal {
        Signal::Mail(Mail::Config(mail)) => {
            owner.handle(mail);
            NextStep::Wait
        }
        Signal::Start | Signal::Due | Signal::Mail(_) => NextStep::Wait,
        Signal::Dump(reply_to) => {
            reply_to.send(owner.dump());
            NextStep::Wait
        }
        Signal::Stop => NextStep::Stopped,
    })
}

impl ConfigOwner {
    fn handle(&mut self, mail: ConfigMail) {
        match mail {
            ConfigMail::Current(reply_to) => reply_to.send(Arc::clone(&self.intake.current)),
            ConfigMail::Heard(offset) => self.heard = self.heard.max(offset),
            ConfigMail::Newer { than, reply_to } => {
                self.waiters.push(ConfigWaiter { than, reply_to });
            }
            ConfigMail::Apply { page, reply_to } => {
                reply_to.send(self.apply(page));
            }
        }
        self.answer_waiters();
    }

    /// Takes a page of the stream and returns the offset to read from next.
    fn apply(&mut self, page: LogPage) -> LogOffset {
        let taken = self.intake.take_page(decode_page(page));
        for skipped in taken.skipped {
            let offset = skipped.offset.0;
            let fields: [(&str, &dyn Display); 2] =
                [("offset", &offset), ("reason", &skipped.reason)];
            log_event(&RECORD_SKIPPED, &fields);
            if self.skipped.len() == MAX_SHOWN_SKIPS {
                self.skipped.remove(0);
            }
            self.skipped.push(skipped);
        }
        self.heard = self.heard.max(self.intake.current.next_offset);
        taken.read_from
    }

    fn answer_waiters(&mut self) {
        let next_offset = self.intake.current.next_offset;
        let ready = self.waiters.extract_if(.., |w| w.than < next_offset);
        for waiter in ready {
            waiter.reply_to.send(Arc::clone(&self.intake.current));
        }
    }

    fn dump(&self) -> Value {
        let skipped = self
            .skipped
            .iter()
            .map(|skip| json!({"offset": skip.offset.0, "reason": skip.reason}));
        json!({
            "next_offset": self.intake.current.next_offset.0,
            "heard_offset": self.heard.0,
            "customers": self.intake.current.customers.len(),
            "models": self.intake.current.models.len(),
            "upstreams": self.intake.current.upstreams.len(),
            "services": self.intake.current.services.len(),
            "skipped": skipped.collect::<Vec<_>>(),
        })
    }
}

fn decode_page(page: LogPage) -> EntryPage {
    let entries = page.records.into_iter().map(|record| NumberedEntry {
        offset: record.offset,
        entry: decode_entry(&record.body),
    });
    EntryPage {
        first: page.first,
        next: page.next,
        entries: entries.collect(),
    }
}
