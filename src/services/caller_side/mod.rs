//! Callers' side: takes requests, chooses upstreams and answers; run by an entry.

pub mod caller_answer;
pub mod callers;
pub mod journal;
pub mod key_claim;
pub mod plain_answer;
pub mod request_meter;
pub mod request_runner;
pub mod tickets;
pub mod turned_away;
pub mod upstream_choice;
