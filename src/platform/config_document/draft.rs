//! Decoder of a configuration document for its check: each part by itself, with its place.

use serde::Deserialize;
use serde_json::value::RawValue;

use super::{WireConfiguration, WireLimits, WireRoute, WireService, WireTenant};
use crate::decide::document_difference::{DocumentItems, ItemFields};
use crate::decide::document_draft::{
    DraftCustomer, DraftDocument, DraftQuota, DraftRoute, DraftService,
};
use crate::decide::finding::{DocumentPart, TextPlace};
use crate::wire::located_json::{LocatedText, PlacedFinding, item_fields};

/// Words for kinds of responses.
const KINDS: [&str; 3] = ["idempotent", "non_idempotent", "streaming"];

/// Words for units of quotas.
const UNITS: [&str; 2] = ["requests", "tokens"];

/// Field of the keys of customers, which are shown by their hash only.
const KEYS_FIELD: &str = "api-keys";

#[derive(Deserialize)]
struct LocatedDocument<'a> {
    version: u64,
    #[serde(borrow)]
    routes: Vec<&'a RawValue>,
    #[serde(borrow)]
    services: Vec<&'a RawValue>,
    #[serde(borrow)]
    limits: &'a RawValue,
    #[serde(borrow)]
    tenants: Option<Vec<&'a RawValue>>,
}

/// Document for a check, with the places of its parts.
#[derive(Debug, Clone)]
pub struct LocatedDraft {
    /// Values of the document.
    pub document: DraftDocument,
    /// Items with all their fields, to be compared.
    pub items: DocumentItems,
    limits_place: TextPlace,
    route_places: Vec<TextPlace>,
    service_places: Vec<TextPlace>,
    customer_places: Vec<TextPlace>,
}

impl LocatedDraft {
    /// Returns the place at which a part of the document starts.
    #[must_use]
    pub fn place(&self, part: DocumentPart) -> TextPlace {
        let place = match part {
            DocumentPart::Whole | DocumentPart::Change(_) => None,
            DocumentPart::Limits => Some(&self.limits_place),
            DocumentPart::Route(index) => self.route_places.get(index),
            DocumentPart::Service(index) => self.service_places.get(index),
            DocumentPart::Customer(index) => self.customer_places.get(index),
        };
        place.copied().unwrap_or(LocatedText::START)
    }
}

/// Decodes a document part by part.
///
/// # Errors
///
/// Returns all errors of the parts, or the first error in the syntax of the document.
pub fn decode_draft(text: LocatedText<'_>) -> Result<LocatedDraft, Vec<PlacedFinding>> {
    let located: LocatedDocument<'_> = text.whole().map_err(|finding| vec![finding])?;
    let mut findings = Vec::new();
    let limits = text.decode(located.limits, DocumentPart::Limits, &mut findings);
    let routes = decode_all(text, &located.routes, DocumentPart::Route, &mut findings);
    let services = decode_all(
        text,
        &located.services,
        DocumentPart::Service,
        &mut findings,
    );
    let tenants = located
        .tenants
        .as_deref()
        .map(|raw| decode_all::<WireTenant>(text, raw, DocumentPart::Customer, &mut findings));
    let (Some(limits), true) = (limits, findings.is_empty()) else {
        return Err(findings);
    };
    let wire = WireConfiguration {
        version: located.version,
        routes,
        services,
        limits,
        tenants,
    };
    Ok(LocatedDraft {
        items: items(&located, &wire),
        limits_place: text.place(located.limits),
        route_places: text.places(&located.routes),
        service_places: text.places(&located.services),
        customer_places: text.places(located.tenants.as_deref().unwrap_or_default()),
        document: wire.into(),
    })
}

fn decode_all<'a, T: Deserialize<'a>>(
    text: LocatedText<'a>,
    raw: &[&'a RawValue],
    part: fn(usize) -> DocumentPart,
    findings: &mut Vec<PlacedFinding>,
) -> Vec<T> {
    let parts = raw.iter().enumerate();
    parts
        .filter_map(|(index, raw)| text.decode(raw, part(index), findings))
        .collect()
}

fn items(located: &LocatedDocument<'_>, wire: &WireConfiguration) -> DocumentItems {
    let route_name = |route: &WireRoute| format!("route {}{}", route.host, route.path_prefix);
    let tenants = wire.tenants.iter().flatten();
    let names = (wire.routes.iter().map(route_name))
        .chain(
            wire.services
                .iter()
                .map(|service| format!("service {}", service.name)),
        )
        .chain(tenants.map(|tenant| format!("customer {}", tenant.name)));
    let raw = located.routes.iter().chain(&located.services);
    let raw = raw.chain(located.tenants.iter().flatten());
    let mut items: DocumentItems = names.zip(raw.map(|raw| fields(raw))).collect();
    items.insert("limits".to_owned(), fields(located.limits));
    items
}

fn fields(raw: &RawValue) -> ItemFields {
    let value = serde_json::from_str(raw.get()).unwrap_or_default();
    let mut fields = item_fields(&value);
    if let Some(keys) = fields.get_mut(KEYS_FIELD) {
        let count = value[KEYS_FIELD].as_array().map_or(0, Vec::len);
        let hash = blake3::hash(keys.as_bytes()).to_hex();
        *keys = format!("{count} keys with hash {}", &hash[..8]);
    }
    fields
}

impl From<WireConfiguration> for DraftDocument {
    fn from(wire: WireConfiguration) -> Self {
        let WireLimits {
            max_header_bytes,
            max_body_bytes,
        } = wire.limits;
        let tenants = wire.tenants;
        Self {
            version: wire.version,
            routes: wire.routes.into_iter().map(Into::into).collect(),
            services: wire.services.into_iter().map(Into::into).collect(),
            customers: tenants.map(|tenants| tenants.into_iter().map(Into::into).collect()),
            head_bytes: max_header_bytes,
            body_bytes: max_body_bytes,
        }
    }
}

impl From<WireRoute> for DraftRoute {
    fn from(wire: WireRoute) -> Self {
        let splits = wire.traffic_split.unwrap_or_default().into_iter();
        let targets = splits.map(|split| (split.service, split.weight));
        let single = wire.service.map(|service| (service, 1.0));
        Self {
            host: wire.host,
            prefix: wire.path_prefix,
            unknown_kind: (!KINDS.contains(&wire.kind.as_str())).then_some(wire.kind),
            timeout_ms: wire.timeout_ms,
            target_latency_ms: wire.target_latency_ms,
            max_attempts: wire.max_attempts,
            is_public: wire.public,
            targets: targets.chain(single).collect(),
        }
    }
}

impl From<WireService> for DraftService {
    fn from(wire: WireService) -> Self {
        let engine = wire.engine.as_ref();
        let has_store = wire.kv_store_addr.is_some();
        let zero_fields = [
            ("max-connections", wire.max_connections == Some(0)),
            (
                "kv-capacity-tokens",
                engine.is_some_and(|engine| engine.kv_capacity_tokens == 0)
                    || (has_store && wire.kv_capacity_tokens.unwrap_or_default() == 0),
            ),
            (
                "token-kv-bytes",
                engine.is_some_and(|engine| engine.token_kv_bytes <= 0.0),
            ),
            (
                "link-mbps",
                engine.is_some_and(|engine| engine.link_mbps <= 0.0),
            ),
        ];
        let zero_fields = zero_fields.into_iter().filter(|(_, is_zero)| *is_zero);
        Self {
            zero_fields: zero_fields.map(|(name, _)| name).collect(),
            name: wire.name,
            is_kv_store: has_store,
        }
    }
}

impl From<WireTenant> for DraftCustomer {
    fn from(wire: WireTenant) -> Self {
        let amounts = [wire.rate_per_s, wire.burst, wire.plain_tokens];
        // A rate of 0 stands for no limit, so a unit alone says nothing.
        let is_limited = amounts.iter().any(|amount| *amount != 0.0);
        let counts_tokens = wire.unit.as_deref() == Some("tokens");
        let unknown_unit = wire.unit.filter(|unit| !UNITS.contains(&unit.as_str()));
        let quota = DraftQuota {
            unknown_unit,
            counts_tokens,
            plain: wire.plain_tokens,
            per_s: wire.rate_per_s,
            burst: wire.burst,
        };
        Self {
            name: wire.name,
            keys: wire.api_keys,
            quota: is_limited.then_some(quota),
        }
    }
}
