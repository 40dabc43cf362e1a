//! Recovery of a connection between entry and sidecar on which no more bytes arrive.
//!
//! A connection that fails without being closed is noticed only through calls that time out. When
//! an entry sends nothing but quotes over it, a timeout of quotes has to be enough to replace it;
//! otherwise the upstream would get no more requests.

mod common;

use std::time::{Duration, Instant};

use common::{ChatCall, Fleet, FleetOptions};

/// Time within which the upstream gets requests again. Quotes time out after 300 ms and other calls
/// after 1 s; the connection is then replaced.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn an_upstream_behind_a_silent_connection_is_used_again() {
    let options = FleetOptions {
        relayed: true,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start_with(&options).await;
    let call = ChatCall::repeatable(&"Preamble of all prompts. ".repeat(50), 5);
    call.assert_whole(&call.run(fleet.entry(0)).await);
    let silenced = usize::from(fleet.engine_count(1, "started").await > 0);
    fleet.relays[silenced].silence();
    call.assert_whole(&call.run(fleet.entry(0)).await);
    let started = fleet.engine_count(silenced, "started").await;
    let deadline = Instant::now() + RECOVERY_LIMIT;
    while fleet.engine_count(silenced, "started").await == started {
        assert!(Instant::now() < deadline, "the upstream is not used again");
        call.assert_whole(&call.run(fleet.entry(0)).await);
    }
}
