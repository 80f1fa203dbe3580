//! Budget that bounds retries and hedges to a fraction of the starts.

/// Tokens of a new budget, so that a service with little traffic can retry at all.
const FLOOR: f64 = 10.0;
/// Most tokens that a budget saves, so that a long calm does not pay for a storm.
const CAPACITY: f64 = 100.0;

/// Token bucket that every start fills by a fraction and every retry or hedge empties by one.
///
/// The number of tokens spent never exceeds a floor of 10 plus the fraction of the starts.
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
            tokens: FLOOR,
        };
        budget.set_fraction(fraction);
        budget
    }

    /// Changes the fraction and keeps the saved tokens.
    pub fn set_fraction(&mut self, fraction: f64) {
        let usable = if fraction.is_finite() { fraction } else { 0.0 };
        self.fraction = usable.clamp(0.0, 1.0);
    }

    /// Records the first attempt of a task.
    pub fn on_start(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(CAPACITY);
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
