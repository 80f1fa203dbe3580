//! Budget that limits retries and hedges to a fraction of the starts.

/// Tokens of a new budget, so that a service with little traffic can still retry.
const INITIAL_TOKENS: f64 = 10.0;
/// Upper bound on saved tokens, so that a long period without retries does not fund a retry storm.
const MAX_TOKENS: f64 = 100.0;

/// Token bucket that each start refills by a fraction of a token, and from which each retry or hedge takes one token.
///
/// The number of tokens spent never exceeds the initial 10 plus the fraction of the starts.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    fraction: f64,
    tokens: f64,
}

impl RetryBudget {
    /// Creates a budget that allows `fraction` retries per start; values outside 0 to 1 are clamped.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routing::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.1);
    /// assert!(budget.try_spend());
    /// ```
    #[must_use]
    pub fn new(fraction: f64) -> Self {
        let mut budget = Self {
            fraction: 0.0,
            tokens: INITIAL_TOKENS,
        };
        budget.set_fraction(fraction);
        budget
    }

    /// Sets the fraction; saved tokens are retained.
    pub fn set_fraction(&mut self, fraction: f64) {
        let usable = if fraction.is_finite() { fraction } else { 0.0 };
        self.fraction = usable.clamp(0.0, 1.0);
    }

    /// Records the first attempt of a task.
    pub fn on_start(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(MAX_TOKENS);
    }

    /// Takes a token for a retry or a hedge, if there is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_routing::RetryBudget;
    ///
    /// let mut budget = RetryBudget::new(0.5);
    /// while budget.try_spend() {}
    /// budget.on_start();
    /// assert!(!budget.try_spend());
    /// budget.on_start();
    /// assert!(budget.try_spend());
    /// ```
    pub fn try_spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
