//! Load generator and benchmarks: seeded load on running entries, the latency that the path through
//! an entry adds, and the cost of single decisions.

pub mod engine_stats;
pub mod entry_call;
pub mod generator;
pub mod mail;
pub mod measure;
pub mod options;
pub mod path;
pub mod prompts;
pub mod report;
pub mod report_format;
pub mod run;
pub mod sample;
pub mod workload;
