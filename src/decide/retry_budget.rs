//! Retry budget: limits the retries of each request and their share of the traffic.

/// Credit charged for one retry; credit is counted in hundredths of a retry.
const CREDIT_PER_RETRY: u64 = 100;

/// Limits on retries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Maximum number of retries of one request.
    pub max_per_request: u32,
    /// Retries granted for every 100 new requests.
    pub share_percent: u32,
    /// Maximum credit, in retries; also the initial credit.
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

/// Decision about a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryStep {
    /// The retry is granted and charged.
    Retry,
    /// The request has used up its own retries.
    RequestExhausted,
    /// The entry has used up its retry credit.
    BudgetExhausted,
}

/// Retry credit of one entry: each new request adds to it, each retry subtracts from it.
///
/// In any order of calls, retries never exceed `burst + requests * share_percent / 100`. The credit
/// does not grow with time, so retries cannot overload a failing fleet at low traffic either.
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
    /// Limits on retries.
    pub policy: RetryPolicy,
    /// Remaining credit, in hundredths of a retry.
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

    /// Adds credit for the first submission of a request.
    pub fn record_new_request(&mut self) {
        let limit = u64::from(self.policy.burst) * CREDIT_PER_RETRY;
        let credit = self.credit + u64::from(self.policy.share_percent);
        self.credit = credit.min(limit);
    }

    /// Returns whether there is credit for a retry.
    #[must_use]
    pub const fn has_credit(&self) -> bool {
        self.credit >= CREDIT_PER_RETRY
    }

    /// Grants and charges a retry of a request that has been retried `retries` times before.
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
