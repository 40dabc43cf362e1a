//! Configuration document as operators wrote it, before defaults replace what has no meaning.

/// Document with the values that a check needs.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftDocument {
    /// Version of the configuration.
    pub version: u64,
    /// Routes in the order of the document.
    pub routes: Vec<DraftRoute>,
    /// Services in the order of the document.
    pub services: Vec<DraftService>,
    /// Customers in the order of the document; `None` if requests carry no keys.
    pub customers: Option<Vec<DraftCustomer>>,
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
}

/// Route as written.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftRoute {
    /// Host that the route belongs to.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Word for the kind of response, if it has no meaning here.
    pub unknown_kind: Option<String>,
    /// Maximum time of a request, in milliseconds.
    pub timeout_ms: f64,
    /// Target latency, in milliseconds.
    pub target_latency_ms: f64,
    /// Maximum number of upstreams on which one request may run.
    pub max_attempts: u32,
    /// Whether requests are accepted without a customer key.
    pub is_public: bool,
    /// Names of services and their weights.
    pub targets: Vec<(String, f64)>,
}

/// Service as written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DraftService {
    /// Name of the service.
    pub name: String,
    /// Whether the service is a store for KV cache, which no route names.
    pub is_kv_store: bool,
    /// Names of the fields that have to be above 0 and are not.
    pub zero_fields: Vec<&'static str>,
}

/// Customer as written.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftCustomer {
    /// Name of the customer.
    pub name: String,
    /// Keys of the customer.
    pub keys: Vec<String>,
    /// Quota; `None` if all its amounts are 0.
    pub quota: Option<DraftQuota>,
}

/// Quota as written.
#[derive(Debug, Clone, PartialEq)]
pub struct DraftQuota {
    /// Word for the unit, if it has no meaning here.
    pub unknown_unit: Option<String>,
    /// Whether the quota counts tokens.
    pub counts_tokens: bool,
    /// Units of a request without a prompt.
    pub plain: f64,
    /// Units per second.
    pub per_s: f64,
    /// Units that may be used at once beyond the rate.
    pub burst: f64,
}
