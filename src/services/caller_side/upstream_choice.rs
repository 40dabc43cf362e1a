//! Choice of an upstream for one submission: candidates by hash, then quotes in parallel.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tokio::time::{Instant, timeout_at};

use crate::decide::admission::Admission;
use crate::decide::config::{Configuration, Upstream, UpstreamKey};
use crate::decide::hashing::name_hash;
use crate::decide::ids::{Incarnation, PrefixKey};
use crate::decide::placement::{
    CandidateQuote, PlacementPolicy, PlacementTarget, ScoringInput, SubmissionTarget,
};
use crate::kernel::Directory;
use crate::services::common::mail::Mail;
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::wire::rpc::{QuoteCall, QuoteReply};

/// Time that a choice waits for the first quote.
const FIRST_QUOTE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time that it waits for the others once one has come; a candidate without one is tried last.
const QUOTE_GRACE: Duration = Duration::from_millis(10);

/// What a request is sent to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamScope {
    /// Engines of a model that serve the admitted version.
    Model(String),
    /// Upstreams of a plain service.
    Service(String),
}

impl UpstreamScope {
    /// Returns what a request is sent to, for people.
    #[must_use]
    pub fn describe(&self, version: &str) -> String {
        match self {
            Self::Model(model) => format!("model {model} version {version}"),
            Self::Service(service) => format!("service {service}"),
        }
    }
}

/// The upstream chosen for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamChoice {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Address of its sidecar.
    pub address: SocketAddr,
    /// Incarnation of its sidecar; 0 when it has not answered.
    pub incarnation: Incarnation,
    /// Longest expected wait to accept there, in microseconds.
    pub wait_limit_us: u64,
}

/// Chooses upstreams for the submissions of one request.
#[derive(Debug)]
pub struct UpstreamChooser {
    /// Mailboxes of the entry.
    pub directory: Directory<Mail>,
    /// How requests are placed.
    pub policy: PlacementPolicy,
    /// What the request is sent to.
    pub scope: UpstreamScope,
    /// Keys of the prompt's pieces, outermost first.
    pub keys: Vec<PrefixKey>,
    /// Random bits of the request.
    pub draw: u64,
    /// Choices that are left of the last round of quotes.
    pub choices: VecDeque<UpstreamChoice>,
}

impl UpstreamChooser {
    /// Returns the next choice outside `excluded`; `None` when no upstream is left.
    pub async fn next(
        &mut self,
        configuration: &Configuration,
        admission: &Admission,
        excluded: &[UpstreamKey],
    ) -> Option<UpstreamChoice> {
        while let Some(choice) = self.choices.pop_front() {
            if !excluded.contains(&choice.upstream) {
                return Some(choice);
            }
        }
        self.ask(configuration, admission, excluded).await;
        self.choices.pop_front()
    }

    async fn ask(
        &mut self,
        configuration: &Configuration,
        admission: &Admission,
        excluded: &[UpstreamKey],
    ) {
        let targets = self.targets(configuration, admission, excluded);
        let request = ScoringInput {
            keys: &self.keys,
            placement_pieces: u32::try_from(admission.placement_pieces).unwrap_or(u32::MAX),
            draw: self.draw,
        };
        let candidates = self.policy.candidates(&request, &targets);
        let replies = self.collect(configuration, admission, &candidates).await;
        let quotes: Vec<CandidateQuote> = replies.iter().map(|(quote, _)| *quote).collect();
        let hops = self
            .policy
            .submission_targets(admission.rank, &candidates, &quotes);
        let choose = |hop: &SubmissionTarget| {
            let upstream = configuration.upstreams.get(hop.upstream)?;
            let reply = replies
                .iter()
                .find(|(quote, _)| quote.upstream == hop.upstream);
            Some(UpstreamChoice {
                upstream: hop.upstream,
                address: upstream.sidecar,
                incarnation: reply.map_or(Incarnation(0), |(_, incarnation)| *incarnation),
                wait_limit_us: hop.wait_limit_us,
            })
        };
        self.choices = hops.iter().filter_map(choose).collect();
    }

    fn targets(
        &self,
        configuration: &Configuration,
        admission: &Admission,
        excluded: &[UpstreamKey],
    ) -> Vec<PlacementTarget> {
        let mut data_centres: Vec<&str> = Vec::new();
        let mut targets = Vec::new();
        for (key, upstream) in configuration.upstreams.iter() {
            if excluded.contains(&key) || !self.is_in_scope(upstream, &admission.version) {
                continue;
            }
            let name = upstream.data_centre.as_str();
            let known = data_centres.iter().position(|known| *known == name);
            let data_centre = known.unwrap_or_else(|| {
                data_centres.push(name);
                data_centres.len() - 1
            });
            targets.push(PlacementTarget {
                upstream: key,
                name_hash: name_hash(&upstream.name),
                data_centre: u32::try_from(data_centre).unwrap_or(u32::MAX),
                leaving: false,
            });
        }
        targets
    }

    fn is_in_scope(&self, upstream: &Upstream, version: &str) -> bool {
        match &self.scope {
            UpstreamScope::Model(model) => upstream.serves(model, version),
            UpstreamScope::Service(service) => upstream.runs_service(service),
        }
    }

    /// Asks all candidates at once and returns the answers that come in time.
    async fn collect(
        &self,
        configuration: &Configuration,
        admission: &Admission,
        candidates: &[UpstreamKey],
    ) -> Vec<(CandidateQuote, Incarnation)> {
        let call = QuoteCall {
            prefix_keys: self.keys.iter().map(|key| key.0).collect(),
            rank: admission.rank.into(),
            customer: admission.customer.clone(),
            version: admission.version.clone(),
        };
        let mut pending: FuturesUnordered<_> = candidates
            .iter()
            .filter_map(|key| {
                let calls = SidecarCalls {
                    directory: self.directory.clone(),
                    address: configuration.upstreams.get(*key)?.sidecar,
                };
                let reply = calls.start_quote(call.clone());
                Some(async move { Some((*key, reply.await.ok()??)) })
            })
            .collect();
        let mut replies = Vec::new();
        let mut deadline = Instant::now() + FIRST_QUOTE_TIMEOUT;
        while let Ok(Some(answer)) = timeout_at(deadline, pending.next()).await {
            if let Some((key, reply)) = answer {
                replies.push((candidate_quote(key, &reply), reply.head.incarnation()));
                deadline = deadline.min(Instant::now() + QUOTE_GRACE);
            }
        }
        replies
    }
}

fn candidate_quote(upstream: UpstreamKey, reply: &QuoteReply) -> CandidateQuote {
    CandidateQuote {
        upstream,
        open: reply.open,
        wait_us: u64::from(reply.wait_us),
        missing_pieces: reply.missing_pieces,
        piece_us: u64::from(reply.piece_us),
    }
}
