//! Admission of a request: who asks, for what, in which rank and on which version.

use super::config::{BearerHash, Configuration, Customer};
use super::ids::{Rank, Repeatability};

/// What a request is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionTarget<'a> {
    /// A model by name.
    Model(&'a str),
    /// A plain service by name, and the HTTP method.
    Service(&'a str, &'a str),
}

/// What a request states about itself.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery<'a> {
    /// Hash of the bearer key; `None` when none was sent.
    pub bearer: Option<BearerHash>,
    /// What the request is for.
    pub target: AdmissionTarget<'a>,
    /// Rank that it asks for; the customer's default otherwise.
    pub rank: Option<Rank>,
    /// Whether it says that it may run more than once; by target otherwise.
    pub idempotent: Option<bool>,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionFault {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No bearer key was sent.
    MissingKey,
    /// The bearer key belongs to no customer.
    UnknownKey,
    /// The customer may not use the rank.
    RankNotAllowed,
    /// No such model is declared.
    UnknownModel,
    /// No such plain service is declared.
    UnknownService,
}

/// What is fixed about an admitted request; it does not change while the request runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Name of the customer.
    pub customer: String,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether it may run more than once.
    pub repeatability: Repeatability,
    /// Weights version that it runs on; empty for plain services.
    pub version: String,
    /// Bytes of prompt text in one cache piece.
    pub piece_bytes: usize,
    /// Prompt pieces whose prefix decides the placement.
    pub placement_pieces: usize,
    /// Milliseconds after arrival by which it must have started.
    pub start_timeout_ms: u32,
}

/// Admits a request under a configuration.
///
/// # Errors
///
/// Returns the first [`AdmissionFault`] that applies; authentication is checked first.
pub fn admit(
    configuration: &Configuration,
    query: &AdmissionQuery<'_>,
) -> Result<Admission, AdmissionFault> {
    let customer = authenticate(configuration, query.bearer)?;
    let rank = pick_rank(customer, query.rank)?;
    let (version, piece_bytes, idempotent) = match query.target {
        AdmissionTarget::Model(name) => {
            let (_, model) = configuration
                .model(name)
                .ok_or(AdmissionFault::UnknownModel)?;
            let version = customer.versions.get(name).unwrap_or(&model.version);
            (version.clone(), model.piece_bytes as usize, true)
        }
        AdmissionTarget::Service(name, method) => {
            let (_, service) = configuration
                .service(name)
                .ok_or(AdmissionFault::UnknownService)?;
            let declared = service
                .idempotent_methods
                .iter()
                .any(|declared| declared == method);
            (String::new(), 0, method == "GET" || declared)
        }
    };
    let repeatability = if query.idempotent.unwrap_or(idempotent) {
        Repeatability::Idempotent
    } else {
        Repeatability::NonIdempotent
    };
    Ok(Admission {
        customer: customer.name.clone(),
        rank,
        repeatability,
        version,
        piece_bytes,
        placement_pieces: customer.placement_pieces as usize,
        start_timeout_ms: configuration.rank_policy(rank).start_timeout_ms,
    })
}

/// Returns the customer of a bearer key.
///
/// # Errors
///
/// Returns a fault when no configuration is in force or the key is missing or unknown.
pub fn authenticate(
    configuration: &Configuration,
    bearer: Option<BearerHash>,
) -> Result<&Customer, AdmissionFault> {
    if configuration.customers.is_empty() {
        return Err(AdmissionFault::NoConfiguration);
    }
    let hash = bearer.ok_or(AdmissionFault::MissingKey)?;
    let known = configuration.customer_by_bearer(&hash);
    known
        .map(|(_, customer)| customer)
        .ok_or(AdmissionFault::UnknownKey)
}

fn pick_rank(customer: &Customer, wanted: Option<Rank>) -> Result<Rank, AdmissionFault> {
    let Some(wanted) = wanted else {
        return customer
            .ranks
            .first()
            .copied()
            .ok_or(AdmissionFault::RankNotAllowed);
    };
    if !customer.ranks.contains(&wanted) {
        return Err(AdmissionFault::RankNotAllowed);
    }
    Ok(wanted)
}
