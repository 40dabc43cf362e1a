//! Types that are encoded into messages, log records and HTTP bodies, converted from and to the
//! types of [`crate::decide`] with `From` and `TryFrom`.

pub mod cache_feed;
pub mod change_list;
pub mod claim_record;
pub mod claim_rpc;
pub mod config_objects;
pub mod config_page;
pub mod config_record;
pub mod config_snapshot;
pub mod event_scanner;
pub mod event_splitter;
pub mod frame_timeout;
pub mod headers;
pub mod ids;
pub mod lease_record;
pub mod located_json;
pub mod models;
pub mod openai;
pub mod order_claim;
pub mod origin_news;
pub mod origin_record;
pub mod pace_news;
pub mod peer_rpc;
pub mod position;
pub mod records_call;
pub mod rpc;
pub mod site_digest;
pub mod sse;
pub mod suspect_news;
pub mod suspect_rpc;
pub mod transport;
pub mod use_news;
pub mod write_timeout;
