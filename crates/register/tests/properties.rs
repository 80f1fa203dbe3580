//! Properties of views under arbitrary sequences of grants, crashes, joins and copies.

use std::collections::BTreeSet;
use std::time::Duration;

use chestnutfork_register::View;
use chestnutfork_types::ProcessId;
use quickcheck::{Gen, QuickCheck, TestResult};

/// Kind of the step, and a bit mask that selects processes.
type Step = (u8, u8);

const PROCESSES: u32 = 8;

fn processes_in(mask: u8) -> Vec<ProcessId> {
    (0..PROCESSES)
        .filter(|bit| mask & (1 << bit) != 0)
        .map(ProcessId::from)
        .collect()
}

/// Model of the register: the current view, and the processes that have a record of each granted claim.
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
            2 => self.crash(mask),
            3 => self.copy(mask),
            _ => {
                self.joined += 1;
                self.alive.push(self.joined);
            }
        }
        self.update_view();
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

    /// Crashes one or two processes, which never return under the same id.
    fn crash(&mut self, mask: u8) {
        for at in [mask % 4, mask / 64] {
            if self.alive.len() > 1 {
                let at = usize::from(at) % self.alive.len();
                self.alive.remove(at);
            }
        }
    }

    fn copy(&mut self, mask: u8) {
        let all = self.view.members.iter().chain(&self.view.learners).copied();
        let copying: Vec<ProcessId> = all
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
                holders.extend(&copying);
            }
        }
        self.synced.extend(copying);
    }

    fn update_view(&mut self) {
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

    /// Returns a claim that a quorum without a record of it could grant again.
    fn regrantable_claim(&self) -> Option<usize> {
        self.holders.iter().position(|holders| {
            let members = self.view.members.iter().copied();
            let without_record: Vec<ProcessId> = members.filter(|id| !holders.contains(id)).collect();
            self.view.is_quorum(&without_record)
        })
    }
}

fn run(first: u8, steps: Vec<Step>) -> TestResult {
    let members = processes_in(first);
    if members.is_empty() {
        return TestResult::discard();
    }
    let mut model = Model::new(members);
    for step in steps {
        model.step(step);
        if let Some(claim) = model.regrantable_claim() {
            return TestResult::error(format!("claim {claim} can be granted twice in {:?}", model.view));
        }
    }
    TestResult::passed()
}

/// Guards against view changes after which a quorum without its record can grant a claim again.
#[test]
fn view_changes_preserve_grants() {
    let check = run as fn(u8, Vec<Step>) -> TestResult;
    let generator = Gen::from_size_and_seed(100, 0x0c4e_d175);
    QuickCheck::new().rng(generator).quickcheck(check);
}
