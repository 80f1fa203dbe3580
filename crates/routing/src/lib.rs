//! Target speeds, health, placement, and retry and hedge budgets.
