//! Division of free slots among the connected entries.
//!
//! Entries with waiting tasks get free slots in proportion to their demand, by the highest-averages method. Without
//! demand, free slots are divided evenly, so that a single task starts without a round trip. While demand is unmet,
//! idle credits are recalled from entries without demand, because an unused slot costs more than the round trip of a
//! later single task.

use std::time::Instant;

use chestnutfork_types::{AgentToEntry, CreditId, ProcessId};

use crate::core::{AgentCore, Recall};
use crate::event::Action;

impl AgentCore {
    /// Grants free slots, recalls idle credits while other entries have demand, and schedules the next renewal.
    pub(crate) fn balance(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.is_accepting() {
            return;
        }
        self.grant_free(now, actions);
        self.recall_idle(actions);
        if self.next_renewal.is_none() && !self.ledger.idle.is_empty() {
            self.next_renewal = Some(now + self.settings.renew_interval);
        }
    }

    /// Issues a credit to include in a result for `entry`, if that entry is next to get a slot.
    pub(crate) fn next_credit(&mut self, now: Instant, entry: ProcessId) -> Option<CreditId> {
        if !self.is_accepting() || self.free_slots() == 0 {
            return None;
        }
        let winner = self.pick_entry(Some(entry))?;
        (winner == entry).then(|| self.issue_credit(now, entry))
    }

    fn free_slots(&self) -> usize {
        self.usable_slots().saturating_sub(self.ledger.used_slots())
    }

    fn issue_credit(&mut self, now: Instant, entry: ProcessId) -> CreditId {
        let expires = now + self.settings.credit_ttl;
        self.schedule_expiry(expires);
        if let Some(state) = self.entries.get_mut(&entry) {
            state.unmet_demand = state.unmet_demand.saturating_sub(1);
        }
        self.ledger.issue(entry, expires)
    }

    fn grant_free(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut grants: Vec<(ProcessId, Vec<CreditId>)> = Vec::new();
        for _ in 0..self.free_slots() {
            let Some(entry) = self.pick_entry(None) else {
                break;
            };
            let credit = self.issue_credit(now, entry);
            match grants.iter_mut().find(|(to, _)| *to == entry) {
                Some((_, credits)) => credits.push(credit),
                None => grants.push((entry, vec![credit])),
            }
        }
        let ttl = self.settings.credit_ttl;
        for (entry, credits) in grants {
            let message = AgentToEntry::Grant { credits, ttl };
            actions.push(Action::Send { entry, message });
        }
    }

    /// Picks the entry that gets the next free slot; a tie goes to `preferred`, then to the first entry in the table.
    fn pick_entry(&self, preferred: Option<ProcessId>) -> Option<ProcessId> {
        let connected = self.entries.iter().filter(|(_, state)| state.connected);
        let mut best: Option<(ProcessId, u32, usize)> = None;
        for (&entry, state) in connected {
            let idle = self.ledger.idle_count(entry);
            let allocated = if state.waiting > 0 {
                idle + self.ledger.running_count(entry)
            } else {
                idle
            };
            let better = best.is_none_or(|(_, waiting, best_allocated)| {
                // Compares `waiting / (allocated + 1)` of both entries without a division.
                let score = u64::from(state.waiting) * (best_allocated as u64 + 1);
                let best_score = u64::from(waiting) * (allocated as u64 + 1);
                let wins_tie =
                    allocated < best_allocated || (allocated == best_allocated && preferred == Some(entry));
                score > best_score || (score == best_score && wins_tie)
            });
            if better {
                best = Some((entry, state.waiting, allocated));
            }
        }
        best.map(|(entry, _, _)| entry)
    }

    /// Recalls idle credits from entries without demand while another entry has unmet demand.
    fn recall_idle(&mut self, actions: &mut Vec<Action>) {
        let demand = self.entries.values().filter(|state| state.connected);
        let mut unmet_demand: usize = demand.map(|state| state.unmet_demand as usize).sum();
        if unmet_demand == 0 {
            return;
        }
        for index in 0..self.entries.len() {
            let (&entry, state) = self.entries.get_index(index).expect("index is within the table");
            if !state.connected || state.waiting > 0 || state.recall.is_some() {
                continue;
            }
            let count = self.ledger.idle_count(entry).min(unmet_demand);
            if count > 0 {
                unmet_demand -= count;
                self.recall(entry, count, actions);
            }
        }
    }

    fn recall(&mut self, entry: ProcessId, count: usize, actions: &mut Vec<Action>) {
        // Each entry has at most one recall in progress. It answers the recall on the same link, or the link is lost.
        let recall = Recall {
            count,
            last_issued: self.ledger.last_issued,
        };
        if let Some(state) = self.entries.get_mut(&entry) {
            state.recall = Some(recall);
        }
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let message = AgentToEntry::Recall { count };
        actions.push(Action::Send { entry, message });
    }

    /// Recalls half of the idle credits of the entry with the most if another entry has none.
    pub(crate) fn rebalance_idle(&mut self, actions: &mut Vec<Action>) {
        let connected = self.entries.iter().filter(|(_, state)| state.connected);
        let counts: Vec<(ProcessId, usize)> = connected
            .map(|(&entry, _)| (entry, self.ledger.idle_count(entry)))
            .collect();
        let least = counts.iter().map(|&(_, idle)| idle).min();
        let most = counts.iter().max_by_key(|&&(_, idle)| idle);
        let (Some(least), Some(&(entry, most))) = (least, most) else {
            return;
        };
        let recalling = self.entries[&entry].recall.is_some();
        if least == 0 && most >= 2 && !recalling {
            self.recall(entry, most / 2, actions);
        }
    }

    /// Extends the idle credits of all connected entries.
    pub(crate) fn renew_credits(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let ttl = self.settings.credit_ttl;
        for idle in self.ledger.idle.values_mut() {
            idle.expires = now + ttl;
        }
        for (&entry, state) in &self.entries {
            if state.connected && self.ledger.idle_count(entry) > 0 {
                let message = AgentToEntry::Renew { ttl };
                actions.push(Action::Send { entry, message });
            }
        }
    }
}
