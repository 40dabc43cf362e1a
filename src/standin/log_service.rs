//! Service `log`: owns the append-only log and the readers that wait for records.

use std::time::Duration;

use serde_json::json;

use super::append_log::{AppendLog, AppendOutcome, LogLimits, LogPage, LogRecord};
use super::mail::StandinMail;
use crate::kernel::{Moment, NextStep, ReplyTo, Service, Signal};

/// Messages to the service `log`.
#[derive(Debug)]
pub enum LogMail {
    /// Append a record to a topic; with an offset only if the topic ends there.
    Append(String, String, Option<u64>, ReplyTo<LogReply>),
    /// Read the newest record of each key of a topic.
    Newest(String, ReplyTo<LogReply>),
    /// Read the records of a topic from an offset on.
    Read(LogReader),
    /// Delete the records of a topic before an offset.
    Trim(String, u64, ReplyTo<LogReply>),
    /// Inject a fault.
    Fault(LogFault, ReplyTo<LogReply>),
}

/// A long-polling read of a topic.
#[derive(Debug)]
pub struct LogReader {
    /// Name of the topic.
    pub topic: String,
    /// Offset of the first record to return.
    pub from: u64,
    /// Maximum number of records to return.
    pub limit: usize,
    /// When the read is answered even if there is no record.
    pub until: Moment,
    /// Where the reply is sent.
    pub reply: ReplyTo<LogReply>,
}

/// Faults that can be injected into the log.
#[derive(Debug, Clone, Copy)]
pub enum LogFault {
    /// Refuse appends and reads for a time in milliseconds.
    Outage(u64),
    /// Lose the responses to this number of next appends, which are carried out.
    LoseResponses(u64),
    /// Delay all replies but those to faults by a time in milliseconds.
    Delay(u64),
    /// Copy all topics.
    Copy,
    /// Come back from the last copy after an outage of a time in milliseconds.
    Restore(u64),
}

/// Reply of the log, which may be delayed.
#[derive(Debug)]
pub struct LogReply {
    /// Earliest moment at which the caller may get the response.
    pub not_before: Moment,
    /// Result of the call.
    pub response: LogResponse,
    /// Number of times that the log has come back from a copy.
    pub era: u64,
}

/// Result of a call to the log.
#[derive(Debug)]
pub enum LogResponse {
    /// Outcome of an append.
    Append(AppendOutcome),
    /// Page of records.
    Page(LogPage),
    /// Newest record of each key of a topic, and the end offset of the topic.
    Newest(Vec<(String, LogRecord)>, u64),
    /// The log has an outage.
    Unavailable,
    /// The fault is in effect.
    Done,
}

struct LogState {
    log: AppendLog,
    readers: Vec<LogReader>,
    delay_ms: u64,
}

/// Creates the service.
#[must_use]
pub fn log_service(limits: LogLimits) -> Service<StandinMail> {
    let mut state = LogState {
        log: AppendLog::new(limits),
        readers: Vec::new(),
        delay_ms: 0,
    };
    Service::new("log", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Log(mail)) => state.receive(turn.now, mail),
            Signal::Dump(reply) => reply.send(state.dump()),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::WaitUntil(state.reply_to_readers(turn.now))
    })
}

impl LogState {
    fn receive(&mut self, now: Moment, mail: LogMail) {
        match mail {
            LogMail::Newest(topic, reply) if !self.log.is_unavailable(now) => {
                let (records, end) = self.log.newest(&topic);
                self.reply(now, reply, LogResponse::Newest(records, end));
            }
            LogMail::Newest(_, reply) => self.reply(now, reply, LogResponse::Unavailable),
            LogMail::Append(topic, body, at, reply) => {
                let outcome = self.log.append(now, &topic, &body, at);
                self.reply(now, reply, LogResponse::Append(outcome));
            }
            LogMail::Read(reader) => self.readers.push(reader),
            LogMail::Trim(topic, first, reply) => {
                self.log.trim_before(&topic, first);
                self.reply(now, reply, LogResponse::Done);
            }
            LogMail::Fault(fault, reply) => {
                self.apply_fault(now, fault);
                reply.send(LogReply {
                    not_before: now,
                    response: LogResponse::Done,
                    era: self.log.era,
                });
            }
        }
    }

    fn apply_fault(&mut self, now: Moment, fault: LogFault) {
        match fault {
            LogFault::Outage(ms) => {
                self.log.outage_until = now.after(Duration::from_millis(ms));
            }
            LogFault::LoseResponses(count) => self.log.lost_responses = count,
            LogFault::Delay(ms) => self.delay_ms = ms,
            LogFault::Copy => self.log.copy_topics(),
            LogFault::Restore(ms) => {
                self.log.restore_copy();
                self.log.outage_until = now.after(Duration::from_millis(ms));
            }
        }
    }

    fn reply_to_readers(&mut self, now: Moment) -> Moment {
        let mut due = Moment::NEVER;
        for reader in std::mem::take(&mut self.readers) {
            if let Some(response) = self.response_for(now, &reader) {
                self.reply(now, reader.reply, response);
                continue;
            }
            due = due.min(reader.until);
            self.readers.push(reader);
        }
        due
    }

    fn response_for(&self, now: Moment, reader: &LogReader) -> Option<LogResponse> {
        if self.log.is_unavailable(now) {
            return Some(LogResponse::Unavailable);
        }
        let LogReader {
            topic,
            from,
            limit,
            until,
            ..
        } = reader;
        let page = self.log.read(topic, *from, *limit);
        let timed_out = || {
            let page = until.is_due(now);
            page.then(|| self.log.page(topic, *from, *limit))
        };
        page.or_else(timed_out).map(LogResponse::Page)
    }

    fn reply(&self, now: Moment, reply: ReplyTo<LogReply>, response: LogResponse) {
        let not_before = now.after(Duration::from_millis(self.delay_ms));
        reply.send(LogReply {
            not_before,
            response,
            era: self.log.era,
        });
    }

    fn dump(&self) -> serde_json::Value {
        let next: std::collections::BTreeMap<&str, u64> = self.log.next_offsets().collect();
        json!({ "next": next, "readers": self.readers.len(), "delay_ms": self.delay_ms })
    }
}
