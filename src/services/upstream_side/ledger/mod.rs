//! Service `ledger` of a sidecar: tickets, queue and buffered responses of one upstream.

mod engine_notice;
mod job;
mod reads;
mod running;
mod state;
mod submission;

pub use state::{LedgerSettings, LedgerState};

use crate::kernel::{Service, Signal, Turn};
use crate::services::common::mail::{LedgerMail, Mail};

/// Name of the service that owns the tickets of a sidecar.
pub const LEDGER: &str = "ledger";

/// Creates the service `ledger`.
#[must_use]
pub fn ledger_service(settings: LedgerSettings) -> Service<Mail> {
    let mut state = LedgerState::new(settings);
    Service::new(LEDGER, move |turn, signal| {
        match signal {
            Signal::Mail(Mail::Ledger(mail)) => handle(&mut state, turn, mail),
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
            Signal::Dump(reply_to) => reply_to.send(state.dump(turn.now)),
            Signal::Stop => state.begin_stop(turn.now),
        }
        state.advance(turn)
    })
}

/// Handles one message.
fn handle(state: &mut LedgerState, turn: &mut Turn<'_, Mail>, mail: LedgerMail) {
    let now = turn.now;
    match mail {
        LedgerMail::Quote(call, reply_to) => reply_to.send(state.quote(now, &call)),
        LedgerMail::Submit(call, reply_to) => reply_to.send(state.submit(now, call)),
        LedgerMail::Read(call, reply_to) => state.read(now, call, reply_to),
        LedgerMail::Withdraw(ticket, incarnation, reply_to) => {
            let reply = state.withdraw(turn, ticket, incarnation);
            reply_to.send(reply);
        }
        LedgerMail::Attach(ticket, repeatability, reply_to) => {
            state.attach(turn, ticket, repeatability, reply_to);
        }
        LedgerMail::LookupResult(key, verdict, reply_to) => {
            state.on_lookup(now, key, verdict, reply_to);
        }
        LedgerMail::Items(key, items) => state.on_items(turn, key, items),
        LedgerMail::ResponseEnded(key, end) => state.on_end(now, key, end),
        LedgerMail::HoldForOrder(closed_until, reply_to) => {
            reply_to.send(state.order_report(now, closed_until));
        }
        LedgerMail::Readiness(reply_to) => reply_to.send(state.unready_reason(now)),
        LedgerMail::EngineStatus(engine) => state.on_engine_state(engine),
        LedgerMail::PauseEnd(reply_to) => reply_to.send(state.pause_end(now)),
        LedgerMail::EngineNotice(notice) => state.on_engine_notice(now, notice),
        LedgerMail::EngineSilent(polled_at, reply_to) => {
            reply_to.send(state.on_engine_silent(polled_at));
        }
        LedgerMail::CacheEvents(page, reply_to) => reply_to.send(state.on_cache_events(&page)),
        LedgerMail::CacheKeys(list, reply_to) => reply_to.send(state.on_cache_keys(&list)),
        LedgerMail::Leaving => state.begin_leaving(now),
        LedgerMail::Suspects(updates, reply_to) => {
            state.apply_suspect_updates(now, &updates);
            reply_to.send(());
        }
        LedgerMail::Configured(configuration) => state.apply_configuration(configuration),
    }
}
