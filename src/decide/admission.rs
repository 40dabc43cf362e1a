//! Admission control: authenticates a request and resolves its customer, rank and weights version.

use super::config::{BearerHash, Configuration, Customer};
use super::ids::{Rank, Repeatability};

/// The model or service that a request addresses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionTarget<'a> {
    /// The model of this name.
    Model(&'a str),
    /// The plain HTTP service of this name, and the method of the request.
    Service(&'a str, &'a str),
}

/// Parts of a request that decide its admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionQuery<'a> {
    /// Hash of the bearer key; `None` if the request has none.
    pub bearer: Option<BearerHash>,
    /// Model or service that the request addresses.
    pub target: AdmissionTarget<'a>,
    /// Requested rank; `None` selects the customer's default.
    pub rank: Option<Rank>,
    /// Idempotency that the request declares; `None` selects the default of the target.
    pub idempotent: Option<bool>,
}

/// Error of [`admit`] and [`authenticate`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionError {
    /// No configuration has been received yet.
    NoConfiguration,
    /// The request has no bearer key.
    MissingKey,
    /// The bearer key belongs to no customer.
    UnknownKey,
    /// The customer may not use the requested rank.
    RankNotAllowed,
    /// The configuration declares no model of this name.
    UnknownModel,
    /// The configuration declares no plain service of this name.
    UnknownService,
}

/// Properties of an admitted request; they stay the same for all of its attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admission {
    /// Name of the customer.
    pub customer: String,
    /// Rank of the request.
    pub rank: Rank,
    /// Whether the request may run more than once.
    pub repeatability: Repeatability,
    /// Weights version that the request runs on; empty for plain services.
    pub version: String,
    /// Bytes of prompt text in one cache piece; 0 for plain services.
    pub piece_bytes: usize,
    /// Number of leading prompt pieces that determine the placement.
    pub placement_pieces: usize,
    /// Time from arrival within which the request must start, in milliseconds.
    pub start_timeout_ms: u32,
}

/// Admits a request under the given configuration.
///
/// # Errors
///
/// Returns the first [`AdmissionError`] found; authentication is checked before rank and target.
pub fn admit(
    configuration: &Configuration,
    query: &AdmissionQuery<'_>,
) -> Result<Admission, AdmissionError> {
    let customer = authenticate(configuration, query.bearer)?;
    let rank = select_rank(customer, query.rank)?;
    let (version, piece_bytes, idempotent) = match query.target {
        AdmissionTarget::Model(name) => {
            let (_, model) = configuration
                .model(name)
                .ok_or(AdmissionError::UnknownModel)?;
            let version = customer.versions.get(name).unwrap_or(&model.version);
            (version.clone(), model.piece_bytes as usize, true)
        }
        AdmissionTarget::Service(name, method) => {
            let (_, service) = configuration
                .service(name)
                .ok_or(AdmissionError::UnknownService)?;
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

/// Returns the customer that a bearer key belongs to.
///
/// # Errors
///
/// Returns an [`AdmissionError`] if the configuration is empty or the key is missing or unknown.
pub fn authenticate(
    configuration: &Configuration,
    bearer: Option<BearerHash>,
) -> Result<&Customer, AdmissionError> {
    if configuration.customers.is_empty() {
        return Err(AdmissionError::NoConfiguration);
    }
    let hash = bearer.ok_or(AdmissionError::MissingKey)?;
    let found = configuration.customer_by_bearer(&hash);
    found
        .map(|(_, customer)| customer)
        .ok_or(AdmissionError::UnknownKey)
}

fn select_rank(customer: &Customer, requested: Option<Rank>) -> Result<Rank, AdmissionError> {
    let Some(requested) = requested else {
        return customer
            .ranks
            .first()
            .copied()
            .ok_or(AdmissionError::RankNotAllowed);
    };
    if !customer.ranks.contains(&requested) {
        return Err(AdmissionError::RankNotAllowed);
    }
    Ok(requested)
}
