//! Messages between the tasks of a stand-in, one variant for each receiving service.

use super::engine_mail::EngineMail;
use super::group_calls::GroupMail;
use super::kv_store::KvStoreMail;
use super::log_service::LogMail;
use super::notice::NoticeMail;
use super::plain::PlainMail;
use super::weight_service::WeightMail;

/// Message to a service of a stand-in; the variant names the receiving service.
#[derive(Debug)]
pub enum StandinMail {
    /// To the service `engine`.
    Engine(EngineMail),
    /// To the service `plain`.
    Plain(PlainMail),
    /// To the service `notice`.
    Notice(NoticeMail),
    /// To the service `log`.
    Log(LogMail),
    /// To the service `groups`.
    Groups(GroupMail),
    /// To the service `weights`.
    Weights(WeightMail),
    /// To the service `kept-cache`.
    KvStore(KvStoreMail),
}
