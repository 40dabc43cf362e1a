//! Choice of an upstream for one submission: candidates by hash, then parallel quotes from them.

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
use crate::services::common::call_outcome::QuoteOutcome;
use crate::services::common::mail::Mail;
use crate::services::common::sidecar_calls::SidecarCalls;
use crate::wire::rpc::{QuoteCall, QuoteReply};

/// Time for which a choice waits for the first quote.
const FIRST_QUOTE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time for which a choice waits for further quotes after the first one; candidates without a quote
/// are tried last.
const QUOTE_GRACE: Duration = Duration::from_millis(10);

/// Upstreams that can serve a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamScope {
    /// Engines that serve the admitted version of the named model.
    Model(String),
    /// Upstreams of the named plain service.
    Service(String),
}

impl UpstreamScope {
    /// Returns a description for reports to operators.
    #[must_use]
    pub fn describe(&self, version: &str) -> String {
        match self {
            Self::Model(model) => format!("model {model} version {version}"),
            Self::Service(service) => format!("service {service}"),
        }
    }
}

/// Upstream that is chosen for one submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamChoice {
    /// Key of the upstream in the configuration.
    pub upstream: UpstreamKey,
    /// Address of the sidecar of the upstream.
    pub address: SocketAddr,
    /// Incarnation of the sidecar; 0 if it sent no quote.
    pub incarnation: Incarnation,
    /// Expected wait in microseconds beyond which the sidecar refuses the submission.
    pub wait_limit_us: u64,
    /// Whether the sidecar accepted no connection for a quote.
    pub is_unreachable: bool,
}

/// Replies to the requests for quotes of one round.
#[derive(Debug, Default)]
struct QuoteRound {
    quotes: Vec<(CandidateQuote, Incarnation)>,
    /// Upstreams whose sidecars accept no connection.
    unreachable: Vec<UpstreamKey>,
}

/// Chooses the upstreams for the submissions of one request.
#[derive(Debug)]
pub struct UpstreamChooser {
    /// Directory of the entry process.
    pub directory: Directory<Mail>,
    /// Placement policy of the entry.
    pub policy: PlacementPolicy,
    /// Upstreams that can serve the request.
    pub scope: UpstreamScope,
    /// Prefix keys of the prompt, shortest prefix first.
    pub keys: Vec<PrefixKey>,
    /// Random number of the request, the same for all of its submissions.
    pub random: u64,
    /// Remaining choices of the last round of quotes.
    pub choices: VecDeque<UpstreamChoice>,
}

impl UpstreamChooser {
    /// Returns the next choice that is not in `excluded`, or `None` if no upstream is left.
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
        self.request_quotes(configuration, admission, excluded)
            .await;
        self.choices.pop_front()
    }

    /// Requests quotes and refills the choices from them.
    async fn request_quotes(
        &mut self,
        configuration: &Configuration,
        admission: &Admission,
        excluded: &[UpstreamKey],
    ) {
        let targets = self.targets(configuration, admission, excluded);
        let request = ScoringInput {
            keys: &self.keys,
            placement_pieces: u32::try_from(admission.placement_pieces).unwrap_or(u32::MAX),
            draw: self.random,
        };
        let mut candidates = self.policy.candidates(&request, &targets);
        let round = self
            .collect_quotes(configuration, admission, &candidates)
            .await;
        let quotes: Vec<CandidateQuote> = round.quotes.iter().map(|(quote, _)| *quote).collect();
        // A sidecar that is only slow to reply may still run the request.
        candidates.sort_by_key(|upstream| round.unreachable.contains(upstream));
        let submission_targets =
            self.policy
                .submission_targets(admission.rank, &candidates, &quotes);
        let choice = |target: &SubmissionTarget| {
            let upstream = configuration.upstreams.get(target.upstream)?;
            let reply = round
                .quotes
                .iter()
                .find(|(quote, _)| quote.upstream == target.upstream);
            Some(UpstreamChoice {
                upstream: target.upstream,
                address: upstream.sidecar,
                incarnation: reply.map_or(Incarnation(0), |(_, incarnation)| *incarnation),
                wait_limit_us: target.wait_limit_us,
                is_unreachable: round.unreachable.contains(&target.upstream),
            })
        };
        self.choices = submission_targets.iter().filter_map(choice).collect();
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

    /// Requests quotes from all candidates in parallel and returns what arrives in time.
    async fn collect_quotes(
        &self,
        configuration: &Configuration,
        admission: &Admission,
        candidates: &[UpstreamKey],
    ) -> QuoteRound {
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
                Some(async move { (*key, reply.await.unwrap_or(QuoteOutcome::Silent)) })
            })
            .collect();
        let mut round = QuoteRound::default();
        let mut deadline = Instant::now() + FIRST_QUOTE_TIMEOUT;
        while let Ok(Some((key, outcome))) = timeout_at(deadline, pending.next()).await {
            match outcome {
                QuoteOutcome::Quote(reply) => {
                    let quote = candidate_quote(key, &reply);
                    round.quotes.push((quote, reply.head.incarnation()));
                    deadline = deadline.min(Instant::now() + QUOTE_GRACE);
                }
                QuoteOutcome::Unreachable => round.unreachable.push(key),
                QuoteOutcome::Silent => {}
            }
        }
        round
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
