//! Choice of an upstream for one submission: candidates by hash, then quotes in parallel.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;

use super::mail::Mail;
use super::sidecar_calls::SidecarCalls;
use crate::decide::admission::Admission;
use crate::decide::config::{Configuration, Upstream, UpstreamKey};
use crate::decide::ids::{Incarnation, PrefixKey};
use crate::decide::placement::{
    CandidateQuote, PlacementHop, PlacementPolicy, PlacementRequest, PlacementTarget,
};
use crate::kernel::Directory;
use crate::wire::rpc::QuoteCall;

/// Time for a quote; a candidate that has not answered by then is left out.
const QUOTE_TIMEOUT: Duration = Duration::from_millis(25);

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
        let request = PlacementRequest {
            keys: &self.keys,
            placement_pieces: u32::try_from(admission.placement_pieces).unwrap_or(u32::MAX),
            draw: self.draw,
        };
        let candidates = self.policy.candidates(&request, &targets);
        let calls = candidates
            .iter()
            .map(|upstream| self.quote(configuration, admission, *upstream));
        let replies = join_all(calls).await;
        let quotes: Vec<CandidateQuote> =
            replies.iter().flatten().map(|(quote, _)| *quote).collect();
        let hops = self.policy.hops(admission.rank, &candidates, &quotes);
        let choose = |hop: &PlacementHop| {
            let upstream = configuration.upstreams.get(hop.upstream)?;
            let reply = replies
                .iter()
                .flatten()
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

    async fn quote(
        &self,
        configuration: &Configuration,
        admission: &Admission,
        key: UpstreamKey,
    ) -> Option<(CandidateQuote, Incarnation)> {
        let address = configuration.upstreams.get(key)?.sidecar;
        let calls = SidecarCalls {
            directory: self.directory.clone(),
            address,
        };
        let call = QuoteCall {
            prefix_keys: self.keys.iter().map(|key| key.0).collect(),
            rank: admission.rank.into(),
            customer: admission.customer.clone(),
            version: admission.version.clone(),
        };
        let reply = calls.quote(call, QUOTE_TIMEOUT).await?;
        let quote = CandidateQuote {
            upstream: key,
            open: reply.open,
            wait_us: u64::from(reply.wait_us),
            missing_pieces: reply.missing_pieces,
            piece_us: u64::from(reply.piece_us),
        };
        Some((quote, reply.head.incarnation()))
    }
}

fn name_hash(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    let mut word = [0; 8];
    word.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(word)
}
