//! Connections between entry and sidecar that go silent while only quotes use them.

mod common;

use std::time::{Duration, Instant};

use common::{ChatCall, Fleet, FleetOptions};

/// Quotes end after 300 ms, other calls after 1 s; then the connection is dialled again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn an_upstream_behind_a_silent_connection_is_found_again() {
    let options = FleetOptions {
        relayed: true,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let call = ChatCall::repeatable(&"Preamble of all prompts. ".repeat(50), 5);
    call.assert_whole(&call.run(fleet.entry(0)).await);
    let home = usize::from(fleet.engine_count(1, "started").await > 0);
    fleet.relays[home].silence();
    call.assert_whole(&call.run(fleet.entry(0)).await);
    let started = fleet.engine_count(home, "started").await;
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while fleet.engine_count(home, "started").await == started {
        assert!(Instant::now() < deadline, "the upstream is not used again");
        call.assert_whole(&call.run(fleet.entry(0)).await);
    }
}
