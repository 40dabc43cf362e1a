//! Wire types, each with `From` and `TryFrom` towards the types of the decisions.

pub mod models;
pub mod openai;
pub mod rpc;
pub mod sse;
pub mod transport;
