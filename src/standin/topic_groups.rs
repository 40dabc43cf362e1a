//! Groups of readers that share the topics of the log, one member for each topic at a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::Moment;

/// What a member says when it joins or stays.
#[derive(Debug, Clone)]
pub struct GroupJoin {
    /// Name of the group.
    pub group: String,
    /// Name of the member.
    pub member: String,
    /// Topics that the group reads.
    pub topics: Vec<String>,
    /// When the member drops out unless it joins again.
    pub until: Moment,
}

/// A topic of one member, and how far it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupShare {
    /// The topic.
    pub topic: String,
    /// Its member.
    pub member: String,
    /// Offset that was committed last.
    pub offset: u64,
}

#[derive(Debug, Clone, Default)]
struct ConsumerGroup {
    generation: u64,
    members: BTreeMap<String, Moment>,
    topics: BTreeSet<String>,
    /// Member of each topic and the generation from which it holds it.
    owners_by_topic: BTreeMap<String, (String, u64)>,
    offsets: BTreeMap<String, u64>,
}

/// All groups.
#[derive(Debug, Clone, Default)]
pub struct TopicGroups {
    groups: BTreeMap<String, ConsumerGroup>,
}

impl TopicGroups {
    /// Joins a member or keeps it; returns the generation and the member's topics.
    pub fn join(&mut self, now: Moment, join: GroupJoin) -> (u64, Vec<GroupShare>) {
        let group = self.groups.entry(join.group).or_default();
        let expired = group.remove_expired(now);
        let known_topics = group.topics.len();
        group.topics.extend(join.topics);
        let is_new = group
            .members
            .insert(join.member.clone(), join.until)
            .is_none();
        if expired || is_new || group.topics.len() > known_topics {
            group.rebalance();
        }
        let shares = group.shares();
        let own = shares.filter(|share| share.member == join.member);
        (group.generation, own.collect())
    }

    /// Takes a member out at once.
    pub fn leave(&mut self, name: &str, member: &str) {
        if let Some(group) = self.groups.get_mut(name)
            && group.members.remove(member).is_some()
        {
            group.rebalance();
        }
    }

    /// Notes how far a member has read; `false` if it does not hold the topic in that generation.
    pub fn commit(&mut self, name: &str, generation: u64, share: GroupShare) -> bool {
        let Some(group) = self.groups.get_mut(name) else {
            return false;
        };
        let owner = group.owners_by_topic.get(&share.topic);
        if owner.is_none_or(|(member, since)| *member != share.member || generation < *since) {
            return false;
        }
        group.offsets.insert(share.topic, share.offset);
        true
    }

    /// Returns who holds each topic of a group.
    pub fn owners(&mut self, now: Moment, name: &str) -> Vec<GroupShare> {
        let Some(group) = self.groups.get_mut(name) else {
            return Vec::new();
        };
        if group.remove_expired(now) {
            group.rebalance();
        }
        group.shares().collect()
    }
}

impl ConsumerGroup {
    fn remove_expired(&mut self, now: Moment) -> bool {
        let before = self.members.len();
        self.members.retain(|_, until| !until.is_due(now));
        self.members.len() < before
    }

    /// Deals the topics evenly; a member keeps the generation from which it holds a topic.
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

    fn shares(&self) -> impl Iterator<Item = GroupShare> {
        self.owners_by_topic
            .iter()
            .map(|(topic, (member, _))| GroupShare {
                topic: topic.clone(),
                member: member.clone(),
                offset: self.offsets.get(topic).copied().unwrap_or(0),
            })
    }
}
