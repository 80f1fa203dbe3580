//! Links between entries and agents: their numbers, and which are open.

use std::collections::HashSet;

/// Number of starts of a process before the current one.
pub type Life = u64;

/// Open links, and the agents that are cut off.
#[derive(Debug)]
pub struct Connections {
    workers: u64,
    pairs: u64,
    open: Vec<Option<u64>>,
    opened: u64,
    pub cut: HashSet<u16>,
}

impl Connections {
    pub fn new(entries: u16, workers: u16) -> Self {
        let pairs = u64::from(entries) * u64::from(workers);
        Self {
            workers: u64::from(workers),
            pairs,
            open: vec![None; usize::from(entries) * usize::from(workers)],
            opened: 0,
            cut: HashSet::new(),
        }
    }

    /// Opens a link with a new number.
    pub fn open(&mut self, entry: u16, agent: u16) -> u64 {
        let pair = u64::from(entry) * self.workers + u64::from(agent);
        let link = self.opened * self.pairs + pair;
        self.opened += 1;
        *self.slot(link) = Some(link);
        link
    }

    pub fn is_open(&self, entry: u16, agent: u16) -> bool {
        let workers = usize::try_from(self.workers).expect("workers are few");
        self.open[usize::from(entry) * workers + usize::from(agent)].is_some()
    }

    /// Closes the link between an entry and an agent, and returns its number.
    pub fn close(&mut self, entry: u16, agent: u16) -> Option<u64> {
        let pair = u64::from(entry) * self.workers + u64::from(agent);
        self.slot(pair).take()
    }

    /// Returns whether a message on a link arrives.
    pub fn carries(&mut self, link: u64) -> bool {
        *self.slot(link) == Some(link) && !self.cut.contains(&self.agent_of(link))
    }

    pub fn entry_of(&self, link: u64) -> u16 {
        u16::try_from(link % self.pairs / self.workers).expect("links number entries and agents")
    }

    pub fn agent_of(&self, link: u64) -> u16 {
        u16::try_from(link % self.pairs % self.workers).expect("links number entries and agents")
    }

    fn slot(&mut self, link: u64) -> &mut Option<u64> {
        &mut self.open[usize::try_from(link % self.pairs).expect("links are few")]
    }
}
