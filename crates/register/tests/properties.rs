//! Properties of views over arbitrary losses, joins, copies and grants.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutfork_register::View;
use chestnutfork_types::ProcessId;
use quickcheck::{Gen, QuickCheck, TestResult};

/// One step: its kind, and a bit mask of processes.
type Step = (u8, u8);

const PROCESSES: u32 = 8;

fn chosen(mask: u8) -> Vec<ProcessId> {
    (0..PROCESSES)
        .filter(|bit| mask & (1 << bit) != 0)
        .map(ProcessId::from)
        .collect()
}

/// Model of the register: who holds each granted claim.
struct Model {
    view: View,
    holders: Vec<BTreeSet<ProcessId>>,
    synced: Vec<ProcessId>,
    alive: Vec<ProcessId>,
    joined: ProcessId,
}

impl Model {
    fn new(members: Vec<ProcessId>) -> Self {
        Self {
            alive: members.clone(),
            joined: ProcessId::from(PROCESSES),
            view: View::initial(1, members),
            holders: Vec::new(),
            synced: Vec::new(),
        }
    }

    fn step(&mut self, (kind, mask): Step) {
        match kind % 5 {
            0 | 1 => self.grant(mask),
            2 => self.lose(mask),
            3 => self.copy(mask),
            _ => {
                self.joined += 1;
                self.alive.push(self.joined);
            }
        }
        self.change();
    }

    fn grant(&mut self, mask: u8) {
        let members = self.view.members.iter().enumerate();
        let voters: Vec<ProcessId> = members
            .filter(|(at, _)| mask & (1 << (at % 8)) != 0)
            .map(|(_, &id)| id)
            .collect();
        if self.view.is_quorum(&voters) {
            self.holders.push(voters.into_iter().collect());
        }
    }

    /// Loses one or two processes; a lost one never comes back under its id.
    fn lose(&mut self, mask: u8) {
        for at in [mask % 4, mask / 64] {
            if self.alive.len() > 1 {
                let at = usize::from(at) % self.alive.len();
                self.alive.remove(at);
            }
        }
    }

    fn copy(&mut self, mask: u8) {
        let all = self.view.members.iter().chain(&self.view.learners).copied();
        let readers: Vec<ProcessId> = all
            .enumerate()
            .filter(|(at, id)| mask & (1 << (at % 8)) != 0 && self.alive.contains(id))
            .map(|(_, id)| id)
            .collect();
        let sources = &self.view.survivors;
        if !sources.iter().all(|id| self.alive.contains(id)) {
            return;
        }
        for holders in &mut self.holders {
            if sources.iter().any(|id| holders.contains(id)) {
                holders.extend(&readers);
            }
        }
        self.synced.extend(readers);
    }

    fn change(&mut self) {
        if let Some(next) = self
            .view
            .next(&self.alive, &self.synced, Duration::from_secs(self.view.number))
        {
            if next.floor != self.view.floor {
                self.holders.clear();
            }
            self.view = next;
            self.synced.clear();
        }
    }

    /// Returns a claim that members without its record could grant again.
    fn forgotten(&self) -> Option<usize> {
        self.holders.iter().position(|holders| {
            let members = self.view.members.iter().copied();
            let blank: Vec<ProcessId> = members.filter(|id| !holders.contains(id)).collect();
            self.view.is_quorum(&blank)
        })
    }
}

fn run(first: u8, steps: Vec<Step>) -> TestResult {
    let members = chosen(first);
    if members.is_empty() {
        return TestResult::discard();
    }
    let mut model = Model::new(members);
    for step in steps {
        model.step(step);
        if let Some(claim) = model.forgotten() {
            return TestResult::error(format!("claim {claim} can be granted twice in {:?}", model.view));
        }
    }
    TestResult::passed()
}

/// Guards against view changes after which a granted claim can be granted again.
#[test]
fn view_changes_keep_grants_visible() {
    let check = run as fn(u8, Vec<Step>) -> TestResult;
    let seeded = Gen::from_size_and_seed(100, 0x0c4e_d175);
    QuickCheck::new().rng(seeded).quickcheck(check);
}
