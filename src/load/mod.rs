//! Experiments: seeded load against running entries, and the cost of single decisions.

pub mod caller;
pub mod engine_stats;
pub mod generator;
pub mod mail;
pub mod measure;
pub mod options;
pub mod path;
pub mod prompts;
pub mod report;
pub mod run;
pub mod sample;
pub mod table;
pub mod workload;
