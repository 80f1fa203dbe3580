//! Fault classes that a run injects, so that the cause of a violation can be checked alone.

/// Class of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Links are reset or partitioned; entries, agents and workers are killed; single orders are carried out late.
    Standard,
    /// Workers crash and start again under their former name, and announce themselves late.
    NameReuse,
}

/// Set of fault classes.
#[derive(Clone, Copy, Debug)]
pub struct Scenarios(u16);

impl Scenarios {
    /// Creates the set of the listed classes.
    pub fn of(listed: &[Scenario]) -> Self {
        Self(listed.iter().fold(0, |set, &scenario| set | bit(scenario)))
    }

    /// Returns whether a class is in the set.
    pub fn contains(self, scenario: Scenario) -> bool {
        self.0 & bit(scenario) != 0
    }
}

fn bit(scenario: Scenario) -> u16 {
    1 << scenario as u16
}
