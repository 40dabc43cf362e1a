//! Entries of upstreams that another writer has written.

mod gateway_world;

use std::time::Duration;

use gateway_world::{Behaviour, TestEnvironment, Upstream, route};
use serde_json::json;
use tokio::time::sleep;

/// Guards against requests that reach an upstream of another service because an entry without all fields
/// names it.
#[tokio::test]
async fn an_entry_that_lacks_fields_takes_no_requests_to_another_service() {
    let world = TestEnvironment::start();
    world.configure(1, &[route("/", "non_idempotent", 1)]).await;
    let foreign = Upstream::start(vec![Behaviour::Answer(200, "done")]).await;
    // An upstream of the service that takes no requests, so that the gateway is ready.
    let leaving = Upstream::start(vec![Behaviour::NotExecuted]).await;
    world.announce("i-s", &leaving, "draining").await;
    let entry = json!({"service": "other", "address": foreign.address, "zone": "near", "version": "v1",
        "slots": 8, "state": "ready", "cold-left-ms": 0, "born": 1, "sequence": 1, "models": []});
    world.announce_invalid("i-f", &entry.to_string()).await;
    let gateway = world.gateway("g");
    gateway.ready().await;
    for field in ["version", "cold-left-ms", "sequence"] {
        let mut odd = entry.clone();
        odd["service"] = "s".into();
        odd.as_object_mut().expect("an object").remove(field);
        world.announce_invalid("i-f", &odd.to_string()).await;
        sleep(Duration::from_millis(600)).await;
        for number in 0..4 {
            let id = format!("{field}{number}");
            let headers = [("x-api-key", "key")];
            let response = gateway.send_as(&id, "/commit", &headers, "body").await;
            let status = response.expect("a response").status;
            assert_eq!(status, hyper::StatusCode::SERVICE_UNAVAILABLE);
        }
        let reached = foreign.seen.try_iter().count();
        assert_eq!(reached, 0, "without {field}");
    }
}
