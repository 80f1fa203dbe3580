//! All events, grouped by the role or part of the system that logs them.

mod agent;
mod config;
mod control;
mod entry;
mod link;
mod process;
mod runs;

pub use agent::AgentEvent;
pub use config::ConfigEvent;
pub use control::ControlEvent;
pub use entry::EntryEvent;
pub use link::LinkEvent;
pub use process::ProcessEvent;
pub use runs::RunsEvent;

use crate::declaration::{Declaration, Event};

/// Group of events of a part of the system.
#[derive(Clone, Copy, Debug)]
pub struct Group {
    /// Title in the catalogue.
    pub title: &'static str,
    /// First number of the group, which has a range of 1,000 numbers.
    pub first: u16,
    /// Declarations in the order of their numbers.
    pub declarations: &'static [&'static Declaration],
}

/// All groups in the order of their numbers.
pub const GROUPS: [Group; 7] = [
    Group {
        title: "Every process",
        first: 1000,
        declarations: ProcessEvent::DECLARATIONS,
    },
    Group {
        title: "Links",
        first: 2000,
        declarations: LinkEvent::DECLARATIONS,
    },
    Group {
        title: "Configuration in entries and agents",
        first: 3000,
        declarations: ConfigEvent::DECLARATIONS,
    },
    Group {
        title: "Entry",
        first: 4000,
        declarations: EntryEvent::DECLARATIONS,
    },
    Group {
        title: "Agent",
        first: 5000,
        declarations: AgentEvent::DECLARATIONS,
    },
    Group {
        title: "Control",
        first: 6000,
        declarations: ControlEvent::DECLARATIONS,
    },
    Group {
        title: "Leased runs",
        first: 7000,
        declarations: RunsEvent::DECLARATIONS,
    },
];

/// Iterates over the declarations of all groups in the order of their numbers.
///
/// # Examples
///
/// ```
/// let started = chestnutfork_events::declarations().next().unwrap();
/// assert_eq!(started.name, "started");
/// ```
pub fn declarations() -> impl Iterator<Item = &'static Declaration> {
    GROUPS.iter().flat_map(|group| group.declarations.iter().copied())
}
