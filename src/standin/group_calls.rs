//! Service `groups`: owns the consumer groups; and the HTTP calls on it.

use std::time::Duration;

use hyper::{Response, StatusCode};
use serde::Deserialize;
use serde_json::json;

use super::http_call::{
    BufferedRequest, CallError, StandinDirectory, done_response, error_response,
};
use super::mail::StandinMail;
use super::topic_groups::{ConsumerGroups, GroupJoin, TopicAssignment};
use crate::kernel::{NextStep, ReplyTo, Service, Signal};
use crate::platform::http_server::{ResponseBody, json_response};

/// Messages to the service `groups`.
#[derive(Debug)]
pub enum GroupMail {
    /// Join a group or renew the membership; replies the generation and the member's assignments.
    Join(GroupJoin, ReplyTo<(u64, Vec<TopicAssignment>)>),
    /// Remove a member, given second, from a group.
    Leave(String, String, ReplyTo<()>),
    /// Commit an offset in a generation of a group; replies whether it was committed.
    Commit(String, u64, TopicAssignment, ReplyTo<bool>),
    /// Read the assignments of all topics of a group.
    Owners(String, ReplyTo<Vec<TopicAssignment>>),
}

#[derive(Debug, Deserialize)]
struct JoinBody {
    group: String,
    member: String,
    #[serde(default)]
    topics: Vec<String>,
    #[serde(default, rename = "ttl-ms")]
    ttl_ms: u64,
}

#[derive(Debug, Deserialize)]
struct CommitBody {
    group: String,
    member: String,
    generation: u64,
    topic: String,
    offset: u64,
}

/// Creates the service.
#[must_use]
pub fn group_service() -> Service<StandinMail> {
    let mut groups = ConsumerGroups::default();
    Service::new("groups", move |turn, signal| {
        match signal {
            Signal::Mail(StandinMail::Groups(mail)) => match mail {
                GroupMail::Join(join, reply) => reply.send(groups.join(turn.now, join)),
                GroupMail::Leave(group, member, reply) => {
                    groups.leave(&group, &member);
                    reply.send(());
                }
                GroupMail::Commit(group, generation, assignment, reply) => {
                    reply.send(groups.commit(&group, generation, assignment));
                }
                GroupMail::Owners(group, reply) => reply.send(groups.owners(turn.now, &group)),
            },
            Signal::Dump(reply) => reply.send(serde_json::Value::Null),
            Signal::Stop => return NextStep::Stopped,
            Signal::Start | Signal::Due | Signal::Mail(_) => {}
        }
        NextStep::Wait
    })
}

/// Handles the HTTP call that joins a group.
pub async fn join(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let Ok(body) = serde_json::from_slice::<JoinBody>(&request.body) else {
        return Some(CallError::BadBody.into());
    };
    let join = GroupJoin {
        group: body.group,
        member: body.member,
        topics: body.topics,
        expires_at: directory.now().after(Duration::from_millis(body.ttl_ms)),
    };
    let mail = |reply| StandinMail::Groups(GroupMail::Join(join, reply));
    let (generation, assignments) = directory.ask("groups", mail).await?;
    let parts = assignments
        .iter()
        .map(|assignment| json!([assignment.topic, 0, assignment.offset]));
    let json_body = json!({ "generation": generation, "parts": parts.collect::<Vec<_>>() });
    Some(json_response(StatusCode::OK, &json_body))
}

/// Handles the HTTP call that leaves a group.
pub async fn leave(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let Ok(body) = serde_json::from_slice::<JoinBody>(&request.body) else {
        return Some(CallError::BadBody.into());
    };
    let mail = |reply| StandinMail::Groups(GroupMail::Leave(body.group, body.member, reply));
    directory.ask("groups", mail).await?;
    Some(done_response())
}

/// Handles the HTTP call that commits an offset.
pub async fn commit(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let Ok(body) = serde_json::from_slice::<CommitBody>(&request.body) else {
        return Some(CallError::BadBody.into());
    };
    let assignment = TopicAssignment {
        topic: body.topic,
        member: body.member,
        offset: body.offset,
    };
    let (group, generation) = (body.group, body.generation);
    let mail = |reply| StandinMail::Groups(GroupMail::Commit(group, generation, assignment, reply));
    if directory.ask("groups", mail).await? {
        return Some(done_response());
    }
    Some(error_response(StatusCode::CONFLICT, "not_the_holder"))
}

/// Handles the HTTP call that reads the assignments of a group.
pub async fn owners(
    directory: &StandinDirectory,
    request: &BufferedRequest,
) -> Option<Response<ResponseBody>> {
    let group = request.parameter("group").unwrap_or_default().to_owned();
    let mail = |reply| StandinMail::Groups(GroupMail::Owners(group, reply));
    let assignments = directory.ask("groups", mail).await?;
    let rows = assignments
        .iter()
        .map(|assignment| json!([assignment.topic, 0, assignment.member, assignment.offset]));
    let json_body = json!({ "owners": rows.collect::<Vec<_>>() });
    Some(json_response(StatusCode::OK, &json_body))
}
