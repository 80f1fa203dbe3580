//! Team quotas of tasks in flight, shared by all entries through exchanged usage.

use std::time::{Duration, Instant};

use chestnutfork_types::{ProcessId, TeamName};
use indexmap::IndexMap;

use crate::violation::Violation;

/// Age at which a peer's report expires; a link without messages is closed after the same time.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Quota of one team and its use at this entry.
#[derive(Clone, Debug, Default)]
struct TeamState {
    quota: u32,
    in_flight: u32,
    acquired: u64,
    released: u64,
}

/// Last usage that a peer entry reported, by team index.
#[derive(Clone, Debug)]
struct PeerReport {
    at: Instant,
    usage: Vec<u32>,
}

/// Quotas of all teams at one entry.
///
/// An entry may always use its share, `quota / entries`, and also the part of the quota that the reports of the other
/// entries leave unused. An entry without a valid report is assumed to use its full share. A team without a quota may
/// start nothing.
///
/// The total can exceed the quota: between two reports, several entries may use the same unused part for one exchange
/// interval, and an entry may use its share although another entry has borrowed it.
#[derive(Clone, Debug)]
pub struct Quotas {
    entries: u32,
    teams: IndexMap<TeamName, TeamState>,
    peers: IndexMap<ProcessId, PeerReport>,
}

impl Default for Quotas {
    fn default() -> Self {
        Self::new()
    }
}

impl Quotas {
    /// Creates quotas for a single entry, without teams.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Quotas;
    ///
    /// let mut quotas = Quotas::new();
    /// assert!(!quotas.try_acquire("setters"));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: 1,
            teams: IndexMap::new(),
            peers: IndexMap::new(),
        }
    }

    /// Sets the quota of a team; a lowered quota takes effect as tasks end.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Quotas;
    ///
    /// let mut quotas = Quotas::new();
    /// quotas.set_quota("setters", 1);
    /// assert!(quotas.try_acquire("setters"));
    /// assert!(!quotas.try_acquire("setters"));
    /// ```
    pub fn set_quota(&mut self, team: &str, quota: u32) {
        let index = self.team_index(team);
        self.teams[index].quota = quota;
    }

    /// Sets the number of entries that share the quotas, this one included; zero counts as one.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut quotas = chestnutfork_limits::Quotas::new();
    /// quotas.set_quota("setters", 9);
    /// quotas.set_entry_count(3);
    /// assert_eq!(quotas.allowance("setters"), 3);
    /// ```
    pub fn set_entry_count(&mut self, count: u32) {
        self.entries = count.max(1);
    }

    /// Returns the tasks in flight of every team that has any, to be sent to the other entries.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Quotas;
    ///
    /// let mut quotas = Quotas::new();
    /// quotas.set_quota("setters", 5);
    /// quotas.try_acquire("setters");
    /// assert_eq!(quotas.usage(), [("setters".to_owned(), 1)]);
    /// ```
    #[must_use]
    pub fn usage(&self) -> Vec<(TeamName, u32)> {
        let active = self.teams.iter().filter(|(_, team)| team.in_flight > 0);
        active
            .map(|(name, team)| (name.clone(), team.in_flight))
            .collect()
    }

    /// Replaces the last report of a peer; a team that is missing from it has no tasks in flight there.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    /// use chestnutfork_limits::Quotas;
    ///
    /// let mut quotas = Quotas::new();
    /// quotas.set_quota("setters", 4);
    /// quotas.set_entry_count(2);
    /// assert_eq!(quotas.allowance("setters"), 2);
    /// quotas.on_peer_usage(7, &[("setters".to_owned(), 1)], Instant::now());
    /// assert_eq!(quotas.allowance("setters"), 3);
    /// ```
    pub fn on_peer_usage(&mut self, peer: ProcessId, usage: &[(TeamName, u32)], now: Instant) {
        self.peers
            .retain(|_, report| now.saturating_duration_since(report.at) < REPORT_LIFETIME);
        let mut by_team = vec![0; self.teams.len()];
        for (team, in_flight) in usage {
            // A team that is unknown at this entry has no quota here yet, so its usage has no effect.
            if let Some(index) = self.teams.get_index_of(team) {
                by_team[index] = *in_flight;
            }
        }
        let report = PeerReport {
            at: now,
            usage: by_team,
        };
        self.peers.insert(peer, report);
    }

    /// Discards the report of a peer, which is then assumed to use its full share as long as it counts as an entry.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Instant;
    ///
    /// let mut quotas = chestnutfork_limits::Quotas::new();
    /// quotas.set_quota("setters", 4);
    /// quotas.set_entry_count(2);
    /// quotas.on_peer_usage(7, &[], Instant::now());
    /// quotas.remove_peer(7);
    /// assert_eq!(quotas.allowance("setters"), 2);
    /// ```
    pub fn remove_peer(&mut self, peer: ProcessId) {
        self.peers.shift_remove(&peer);
    }

    /// Acquires one unit of a team's quota for a task that is about to start, if one is available.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Quotas;
    ///
    /// let mut quotas = Quotas::new();
    /// quotas.set_quota("setters", 1);
    /// assert!(quotas.try_acquire("setters"));
    /// quotas.release("setters");
    /// assert!(quotas.try_acquire("setters"));
    /// ```
    pub fn try_acquire(&mut self, team: &str) -> bool {
        let Some(index) = self.teams.get_index_of(team) else {
            return false;
        };
        if self.teams[index].in_flight >= self.allowance_at(index) {
            return false;
        }
        let team = &mut self.teams[index];
        team.in_flight += 1;
        team.acquired += 1;
        true
    }

    /// Releases one unit of a team's quota after a task has ended.
    pub fn release(&mut self, team: &str) {
        let released = self.teams.get_mut(team).map(|team| {
            team.released += 1;
            team.in_flight = team.in_flight.saturating_sub(1);
        });
        debug_assert!(
            released.is_some(),
            "release of team {team} without an acquisition"
        );
        debug_assert_eq!(self.verify(), Ok(()));
    }

    /// Returns the number of tasks that the team may currently have in flight at this entry.
    #[must_use]
    pub fn allowance(&self, team: &str) -> u32 {
        let index = self.teams.get_index_of(team);
        index.map_or(0, |index| self.allowance_at(index))
    }

    /// Returns the number of tasks that the team has in flight at this entry.
    #[must_use]
    pub fn in_flight(&self, team: &str) -> u32 {
        self.teams.get(team).map_or(0, |team| team.in_flight)
    }

    /// Checks that the tasks in flight of each team are its acquisitions less its releases.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_limits::Quotas;
    ///
    /// assert_eq!(Quotas::new().verify(), Ok(()));
    /// ```
    pub fn verify(&self) -> Result<(), Violation> {
        for (name, team) in &self.teams {
            let Some(expected) = team.acquired.checked_sub(team.released) else {
                return Err(Violation::QuotaReleased { team: name.clone() });
            };
            if u64::from(team.in_flight) != expected {
                return Err(Violation::QuotaCount {
                    team: name.clone(),
                    counted: team.in_flight,
                    expected,
                });
            }
        }
        Ok(())
    }

    fn team_index(&mut self, team: &str) -> usize {
        match self.teams.get_index_of(team) {
            Some(index) => index,
            None => self.teams.insert_full(team.to_owned(), TeamState::default()).0,
        }
    }

    fn allowance_at(&self, index: usize) -> u32 {
        let quota = self.teams[index].quota;
        let share = quota / self.entries;
        let other_entries = usize::try_from(self.entries - 1).unwrap_or(usize::MAX);
        let unreported = other_entries.saturating_sub(self.peers.len());
        // Rounded up, so that the remainder of the division is not allotted twice while reports are missing.
        let assumed = u64::from(quota.div_ceil(self.entries)) * (unreported as u64);
        let reported: u64 = self.peers.values().map(|report| report.in_flight(index)).sum();
        let unused = u64::from(quota).saturating_sub(assumed + reported);
        share.max(u32::try_from(unused).unwrap_or(quota))
    }
}

impl PeerReport {
    fn in_flight(&self, index: usize) -> u64 {
        self.usage.get(index).copied().map_or(0, u64::from)
    }
}
