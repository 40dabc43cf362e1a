//! Service `config`: owns the configuration in force and replays records into it.

use std::sync::Arc;

use serde_json::{Value, json};

use super::mail::{ConfigMail, Mail};
use crate::decide::config::Configuration;
use crate::decide::config_change::ApplyOutcome;
use crate::decide::ids::LogOffset;
use crate::events::{RECORD_SKIPPED, log_event};
use crate::kernel::{NextStep, ReplyTo, Service, Signal};
use crate::platform::log_client::{LogPage, LogRecord};
use crate::wire::config_record::decode_record;

/// Name of the service that owns the configuration.
pub const CONFIG: &str = "config";

/// Records without effect that a dump shows, newest last.
const MAX_SHOWN_SKIPS: usize = 32;

/// A record that had no effect.
#[derive(Debug, Clone)]
struct SkippedRecord {
    offset: LogOffset,
    reason: String,
}

/// Someone who waits for a newer configuration.
#[derive(Debug)]
struct ConfigWaiter {
    than: LogOffset,
    reply_to: ReplyTo<Arc<Configuration>>,
}

#[derive(Debug, Default)]
struct ConfigOwner {
    current: Arc<Configuration>,
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
            ConfigMail::Current(reply_to) => reply_to.send(Arc::clone(&self.current)),
            ConfigMail::Heard(offset) => self.heard = self.heard.max(offset),
            ConfigMail::Newer { than, reply_to } => {
                self.waiters.push(ConfigWaiter { than, reply_to });
            }
            ConfigMail::Apply { page, reply_to } => {
                self.apply(&page);
                reply_to.send(self.current.next_offset);
            }
        }
        self.answer_waiters();
    }

    fn apply(&mut self, page: &LogPage) {
        for record in &page.records {
            self.apply_record(record);
        }
        self.heard = self.heard.max(self.current.next_offset);
    }

    fn apply_record(&mut self, record: &LogRecord) {
        let current = Arc::make_mut(&mut self.current);
        let reason = match decode_record(&record.body) {
            Ok(decoded) => match current.apply(record.offset, &decoded) {
                ApplyOutcome::Refused(refusal) => refusal.to_string(),
                ApplyOutcome::Applied | ApplyOutcome::Stale | ApplyOutcome::Gap => return,
            },
            Err(error) if record.offset == current.next_offset => {
                current.skip(record.offset);
                error.to_string()
            }
            Err(_) => return,
        };
        let offset = record.offset.0;
        log_event(&RECORD_SKIPPED, &[("offset", &offset), ("reason", &reason)]);
        if self.skipped.len() == MAX_SHOWN_SKIPS {
            self.skipped.remove(0);
        }
        let offset = record.offset;
        self.skipped.push(SkippedRecord { offset, reason });
    }

    fn answer_waiters(&mut self) {
        let next_offset = self.current.next_offset;
        let ready = self.waiters.extract_if(.., |w| w.than < next_offset);
        for waiter in ready {
            waiter.reply_to.send(Arc::clone(&self.current));
        }
    }

    fn dump(&self) -> Value {
        let skipped = self
            .skipped
            .iter()
            .map(|skip| json!({"offset": skip.offset.0, "reason": skip.reason}));
        json!({
            "next_offset": self.current.next_offset.0,
            "heard_offset": self.heard.0,
            "customers": self.current.customers.len(),
            "models": self.current.models.len(),
            "upstreams": self.current.upstreams.len(),
            "services": self.current.services.len(),
            "skipped": skipped.collect::<Vec<_>>(),
        })
    }
}
