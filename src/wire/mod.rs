//! Wire types, each with `From` and `TryFrom` towards the types of the decisions.

pub mod config_objects;
pub mod config_record;
pub mod rpc;
