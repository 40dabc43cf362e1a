//! Decisions as plain structs and functions: they take the current time and return what to do next.
//!
//! They use no sockets, clocks, encodings or tasks, so any front end can use them.

pub mod admission;
pub mod cache_index;
pub mod call_patience;
pub mod claim_coordinator;
pub mod claims;
pub mod config;
pub mod config_change;
pub mod config_check;
pub mod config_replica;
pub mod confirm;
pub mod fleet;
pub mod hashing;
pub mod ids;
pub mod keyed_view;
pub mod lease;
pub mod ledger;
pub mod ledger_step;
pub mod member_choice;
pub mod memory_budget;
pub mod memory_plan;
pub mod orders;
pub mod outcome;
pub mod placement;
pub mod plan;
pub mod policy;
pub mod prefix;
pub mod prompt_parts;
pub mod propagation;
pub mod queue;
pub mod replay;
pub mod request_state;
pub mod request_step;
pub mod retry_budget;
pub mod rollout;
pub mod route_table;
pub mod send_step;
pub mod snapshot;
pub mod snapshot_timer;
pub mod suspect_guard;
pub mod suspects;
pub mod tried_upstreams;
pub mod upstream_queue;
pub mod version_deadlines;
pub mod work_estimate;
