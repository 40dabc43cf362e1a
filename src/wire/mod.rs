//! Wire types, each with `From` and `TryFrom` towards the types of the decisions.

pub mod rpc;
