//! Consumer groups: members share the topics of the log, and each topic has one member at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::Moment;

/// Call with which a member joins a group or renews its membership.
#[derive(Debug, Clone)]
pub struct GroupJoin {
    /// Name of the group.
    pub group: String,
    /// Name of the member.
    pub member: String,
    /// Topics that the group reads.
    pub topics: Vec<String>,
    /// When the membership expires unless it is renewed.
    pub expires_at: Moment,
}

/// Assignment of a topic to a member, and the committed offset of the topic.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TopicAssignment {
    /// Name of the topic.
    pub topic: String,
    /// Name of the member that the topic is assigned to.
    pub member: String,
    /// Committed offset.
    pub offset: u64,
}

#[derive(Debug, Clone, Default)]
struct ConsumerGroup {
    generation: u64,
    members: BTreeMap<String, Moment>,
    topics: BTreeSet<String>,
    /// Member that each topic is assigned to, and the generation since which it is.
    owners_by_topic: BTreeMap<String, (String, u64)>,
    offsets: BTreeMap<String, u64>,
}

/// All consumer groups, by name.
#[derive(Debug, Clone, Default)]
pub struct ConsumerGroups {
    groups: BTreeMap<String, ConsumerGroup>,
}

impl ConsumerGroups {
    /// Adds a member or renews its membership; returns the generation and the member's assignments.
    pub fn join(&mut self, now: Moment, join: GroupJoin) -> (u64, Vec<TopicAssignment>) {
        let group = self.groups.entry(join.group).or_default();
        let expired = group.remove_expired(now);
        let known_topics = group.topics.len();
        group.topics.extend(join.topics);
        let is_new = group
            .members
            .insert(join.member.clone(), join.expires_at)
            .is_none();
        if expired || is_new || group.topics.len() > known_topics {
            group.rebalance();
        }
        let assignments = group.assignments();
        let own = assignments.filter(|assignment| assignment.member == join.member);
        (group.generation, own.collect())
    }

    /// Removes a member from its group, and assigns its topics to the others.
    pub fn leave(&mut self, name: &str, member: &str) {
        if let Some(group) = self.groups.get_mut(name)
            && group.members.remove(member).is_some()
        {
            group.rebalance();
        }
    }

    /// Commits an offset of a topic.
    ///
    /// Returns `false` and commits nothing if the topic is assigned to another member, or has been
    /// assigned to this one only since a later generation.
    pub fn commit(&mut self, name: &str, generation: u64, assignment: TopicAssignment) -> bool {
        let Some(group) = self.groups.get_mut(name) else {
            return false;
        };
        let owner = group.owners_by_topic.get(&assignment.topic);
        if owner.is_none_or(|(member, since)| *member != assignment.member || generation < *since) {
            return false;
        }
        group.offsets.insert(assignment.topic, assignment.offset);
        true
    }

    /// Returns the assignments of all topics of a group.
    pub fn owners(&mut self, now: Moment, name: &str) -> Vec<TopicAssignment> {
        let Some(group) = self.groups.get_mut(name) else {
            return Vec::new();
        };
        if group.remove_expired(now) {
            group.rebalance();
        }
        group.assignments().collect()
    }
}

impl ConsumerGroup {
    fn remove_expired(&mut self, now: Moment) -> bool {
        let before = self.members.len();
        self.members.retain(|_, expires_at| !expires_at.is_due(now));
        self.members.len() < before
    }

    /// Assigns the topics evenly to the members and starts a new generation.
    ///
    /// A topic that keeps its member also keeps the generation since which it is assigned.
    fn rebalance(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        let mut owners_by_topic = BTreeMap::new();
        for (index, topic) in self.topics.iter().enumerate() {
            let Some(member) = members.get(index % members.len().max(1)) else {
                continue;
            };
            let before = self
                .owners_by_topic
                .get(topic)
                .filter(|(known, _)| known == *member);
            let since = before.map_or(self.generation, |(_, since)| *since);
            owners_by_topic.insert(topic.clone(), ((*member).clone(), since));
        }
        self.owners_by_topic = owners_by_topic;
    }

    fn assignments(&self) -> impl Iterator<Item = TopicAssignment> {
        self.owners_by_topic
            .iter()
            .map(|(topic, (member, _))| TopicAssignment {
                topic: topic.clone(),
                member: member.clone(),
                offset: self.offsets.get(topic).copied().unwrap_or(0),
            })
    }
}
