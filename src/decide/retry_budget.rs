//! Retry budget: bounds retries for each request and to a share of the fresh traffic.

/// Hundredths of a retry in one whole retry; credit is counted in hundredths.
const CREDIT_PER_RETRY: u64 = 100;

/// Bounds on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Retries of one request at most.
    pub max_per_request: u32,
    /// Retries for each hundred fresh requests.
    pub share_percent: u32,
    /// Retries that may be made at once after a quiet time.
    pub burst: u32,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_per_request: 3,
            share_percent: 20,
            burst: 10,
        }
    }
}

/// Whether a request may be tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// It may; the retry has been charged.
    Retry,
    /// The request has had all of its retries.
    RequestExhausted,
    /// The share of retries in the traffic is used up.
    BudgetExhausted,
}

/// Credit of one entry: each fresh request adds to it, each retry takes from it.
///
/// Whatever the order, retries never exceed `burst + fresh * share_percent / 100`. The credit
/// does not grow with time, so a fleet that fails while little comes in is not buried either.
///
/// ```
/// use bulrushslip::decide::retry_budget::{RetryBudget, RetryPolicy, RetryStep};
/// let policy = RetryPolicy { max_per_request: 2, share_percent: 50, burst: 1 };
/// let mut budget = RetryBudget::new(policy);
/// assert_eq!(budget.try_retry(0), RetryStep::Retry);
/// assert_eq!(budget.try_retry(0), RetryStep::BudgetExhausted);
/// ```
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    /// The bounds.
    pub policy: RetryPolicy,
    /// Hundredths of a retry that may be spent.
    pub credit: u64,
}

impl RetryBudget {
    /// Creates a budget with a full burst.
    #[must_use]
    pub fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            credit: u64::from(policy.burst) * CREDIT_PER_RETRY,
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn record_fresh(&mut self) {
        let limit = u64::from(self.policy.burst) * CREDIT_PER_RETRY;
        let credit = self.credit + u64::from(self.policy.share_percent);
        self.credit = credit.min(limit);
    }

    /// Charges a retry of a request that has been retried `retries` times before.
    pub fn try_retry(&mut self, retries: u32) -> RetryStep {
        if retries >= self.policy.max_per_request {
            return RetryStep::RequestExhausted;
        }
        let Some(credit) = self.credit.checked_sub(CREDIT_PER_RETRY) else {
            return RetryStep::BudgetExhausted;
        };
        self.credit = credit;
        RetryStep::Retry
    }
}
