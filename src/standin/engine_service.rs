//! Service `engine`: drives the engine's state by mail and deadlines.

use serde_json::json;

use super::engine::{EngineSettings, EngineState};
use super::mail::StandinMail;
use crate::kernel::{NextStep, Service, Signal};

/// Creates the service.
#[must_use]
pub fn engine_service(settings: EngineSettings) -> Service<StandinMail> {
    let mut state = EngineState::new(settings);
    Service::new("engine", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Engine(mail)) => state.receive(turn.now, mail),
            Signal::Dump(reply) => {
                let load = state.load_report();
                reply.send(json!({ "running": load.running, "waiting": load.waiting }));
            }
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::WaitUntil(state.advance(turn.now))
    })
}
