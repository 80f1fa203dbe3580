//! Fault classes that a run injects, so that the cause of a violation can be checked alone.

/// Class of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Links are reset, or partitioned until the loss is detected.
    LinkFaults,
    /// Agents and entries are killed and replaced at once.
    ProcessKills,
    /// Workers crash and are replaced by workers with a new name.
    WorkerReplacement,
    /// Single replies of workers are lost, and single orders are carried out seconds late.
    UnansweredCalls,
    /// Workers crash and start again under their former name, and announce themselves late.
    NameReuse,
    /// Workers crash, start again under their former name after a while, and announce themselves at once.
    AnnouncedNameReuse,
    /// For some seconds a worker leaves all stops unanswered and carries them out late.
    UnansweredStops,
    /// For some seconds a worker leaves all starts unanswered and carries them out late.
    UnansweredStarts,
    /// For some seconds a worker leaves all renewals unanswered and carries them out late.
    UnansweredRenewals,
    /// Workers leave and withdraw, and end up to 700 ms after the acknowledgement.
    Withdrawal,
    /// Withdrawals and announcements arrive late, some when a worker with the same name has started.
    LateNotices,
    /// Agents are killed several times in a row, and entries connect again late.
    AgentRestartSeries,
    /// Agents that no entry can reach for more than the run expiry are killed several times in a row.
    IsolatedAgentRestarts,
    /// An entry and an agent are killed or cut off together.
    EntryAndAgentFaults,
    /// Entries pause and then process what has waited for them in any order.
    EntryPauses,
    /// Some jobs have a task that crashes every worker that starts it.
    CrashingTasks,
    /// Workers carry out late what was ordered from a former incarnation of the same name.
    OrdersAcrossRestarts,
    /// Agents receive announcements of workers that do not exist, or of another system.
    ForeignAnnouncements,
    /// A paused or lagging entry never receives the end of a caller's connection.
    SilentCallers,
    /// Entries run for a few milliseconds between short stops, for seconds, so that events wait for them.
    EntryLags,
    /// Routes have different priorities, so entries shed submissions.
    Priorities,
}

impl Scenario {
    /// Returns all classes.
    pub const ALL: [Self; 21] = [
        Self::LinkFaults,
        Self::ProcessKills,
        Self::WorkerReplacement,
        Self::UnansweredCalls,
        Self::NameReuse,
        Self::AnnouncedNameReuse,
        Self::UnansweredStops,
        Self::UnansweredStarts,
        Self::UnansweredRenewals,
        Self::Withdrawal,
        Self::LateNotices,
        Self::AgentRestartSeries,
        Self::IsolatedAgentRestarts,
        Self::EntryAndAgentFaults,
        Self::EntryPauses,
        Self::CrashingTasks,
        Self::OrdersAcrossRestarts,
        Self::ForeignAnnouncements,
        Self::SilentCallers,
        Self::EntryLags,
        Self::Priorities,
    ];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::LinkFaults => "links",
            Self::ProcessKills => "kills",
            Self::WorkerReplacement => "replacement",
            Self::UnansweredCalls => "calls",
            Self::NameReuse => "reuse",
            Self::AnnouncedNameReuse => "announced",
            Self::UnansweredStops => "stops",
            Self::UnansweredStarts => "starts",
            Self::UnansweredRenewals => "renewals",
            Self::Withdrawal => "withdrawal",
            Self::LateNotices => "notices",
            Self::AgentRestartSeries => "series",
            Self::IsolatedAgentRestarts => "isolated",
            Self::EntryAndAgentFaults => "pairs",
            Self::EntryPauses => "pauses",
            Self::CrashingTasks => "crashing",
            Self::OrdersAcrossRestarts => "across",
            Self::ForeignAnnouncements => "foreign",
            Self::SilentCallers => "silent",
            Self::EntryLags => "lagging",
            Self::Priorities => "priorities",
        }
    }
}

/// Set of fault classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scenarios(u32);

impl Scenarios {
    /// Creates the set of the listed classes.
    pub fn of(listed: &[Scenario]) -> Self {
        Self(listed.iter().fold(0, |set, &scenario| set | bit(scenario)))
    }

    /// Returns the set of faults that occur in any deployment.
    pub fn standard() -> Self {
        Self::of(&[
            Scenario::LinkFaults,
            Scenario::ProcessKills,
            Scenario::WorkerReplacement,
            Scenario::UnansweredCalls,
        ])
    }

    /// Returns the set that comma-separated names list, in which `standard` and `all` stand for several classes.
    ///
    /// `all` leaves out orders across restarts, which a worker forgets when it crashes, tasks that crash their workers, and
    /// priorities, which are no fault; `across`, `crashing` and `priorities` add them.
    pub fn parse(names: &str) -> Option<Self> {
        let mut set = 0;
        for name in names.split(',') {
            set |= match name {
                "standard" => Self::standard().0,
                "all" => {
                    let left_out = [
                        Scenario::OrdersAcrossRestarts,
                        Scenario::CrashingTasks,
                        Scenario::Priorities,
                    ];
                    Self::of(&Scenario::ALL).0 & !Self::of(&left_out).0
                }
                _ => bit(Scenario::ALL
                    .into_iter()
                    .find(|scenario| scenario.name() == name)?),
            };
        }
        Some(Self(set))
    }

    /// Returns whether a class is in the set.
    pub fn contains(self, scenario: Scenario) -> bool {
        self.0 & bit(scenario) != 0
    }
}

fn bit(scenario: Scenario) -> u32 {
    1 << scenario as u32
}
