//! The subscriber's state machine.

use std::time::{Duration, Instant};

use chestnutfork_config::{AppliedConfig, Change, Confirmation, ErrorKind, SWITCH_AFTER, Update};
use chestnutfork_types::{ConfigVersion, ViewNumber};
use indexmap::IndexMap;

use crate::event::{Action, ControlView, Event};

/// Time behind the bound at which an expired confirmation is noticed.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Renewals without an answer that are remembered.
const MAX_PROBES: usize = 32;

/// State machine of a subscription.
#[derive(Debug)]
pub struct SubscriberCore {
    applied: AppliedConfig,
    /// Interval between renewals.
    renew_interval: Duration,
    /// Number of control processes.
    controls: usize,
    /// Position of the control process in use.
    current: usize,
    linked: bool,
    next_renew: Option<Instant>,
    /// Latest time at which the control process in use was chosen or confirmed a version.
    useful_at: Instant,
    last_probe: u64,
    /// Renewals without an answer, with the times at which they were sent.
    probes: IndexMap<u64, Instant>,
    synced: ViewNumber,
    view: ViewNumber,
    told: Confirmation,
    configured: ConfigVersion,
}

impl SubscriberCore {
    /// Creates a subscription to one of `controls` control processes, beginning with the one at `first`.
    ///
    /// # Panics
    ///
    /// Panics if `controls` is zero.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use chestnutfork_subscriber::{Action, Event, SubscriberCore};
    ///
    /// let now = Instant::now();
    /// let mut core = SubscriberCore::new(3, 1, Duration::from_secs(2), now);
    /// let mut actions = Vec::new();
    /// core.handle(now, Event::LinkUp, &mut actions);
    /// assert_eq!(actions[0], Action::Subscribe(0));
    /// ```
    #[must_use]
    pub fn new(controls: usize, first: usize, renew_interval: Duration, now: Instant) -> Self {
        assert!(controls > 0, "a subscription needs at least one control process");
        Self {
            applied: AppliedConfig::default(),
            renew_interval,
            controls,
            current: first % controls,
            linked: false,
            next_renew: None,
            useful_at: now,
            last_probe: 0,
            probes: IndexMap::new(),
            synced: 0,
            view: 0,
            told: Confirmation::Never,
            configured: 0,
        }
    }

    /// Returns the position of the control process in use.
    #[must_use]
    pub fn current(&self) -> usize {
        self.current
    }

    /// Returns the version that was received last.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.applied.version()
    }

    /// Handles one event and appends the resulting actions, which must be carried out in order.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LinkUp => self.link_up(now, actions),
            Event::LinkDown => self.link_down(),
            Event::Update(update) => self.update(&update, actions),
            Event::Confirm { probe, version, age } => self.confirm(probe, version, age),
            Event::View(view) => self.install(view, actions),
            Event::Synced(view) => self.report_synced(now, view, actions),
            Event::Tick => {}
        }
        self.renew_if_due(now, actions);
        self.switch_if_useless(now, actions);
        self.tell(now, actions);
    }

    /// Returns the time of the next [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let expires = match self.told {
            // At the bound itself the version still counts as confirmed; waking there would change nothing.
            Confirmation::Confirmed => self.applied.tracker().expires_at().map(|at| at + EXPIRY_MARGIN),
            Confirmation::Never | Confirmation::Unconfirmed => None,
        };
        [Some(self.useful_at + SWITCH_AFTER), self.next_renew, expires]
            .into_iter()
            .flatten()
            .min()
    }

    fn link_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.linked = true;
        self.probes.clear();
        actions.push(Action::Subscribe(self.applied.version()));
        self.next_renew = Some(now);
    }

    fn link_down(&mut self) {
        self.linked = false;
        self.next_renew = None;
    }

    fn update(&mut self, update: &Update, actions: &mut Vec<Action>) {
        match self.applied.apply(update) {
            Ok(Change::Raised { to, .. }) => actions.push(Action::Ack(to)),
            Ok(Change::Ignored) => {}
            // An update was lost; control sends what is missing, or the whole document.
            Err(error) if matches!(error.kind, ErrorKind::Gap { .. }) => {
                actions.push(Action::Subscribe(self.applied.version()));
            }
            Err(error) => {
                let (version, reason) = (update.version(), error.to_string());
                actions.push(Action::ReportUnusable { version, reason });
            }
        }
    }

    fn confirm(&mut self, probe: u64, version: ConfigVersion, age: Duration) {
        // An answer to a renewal of an earlier link, or a repeated answer, says nothing about the present.
        let Some(sent_at) = self.probes.swap_remove(&probe) else {
            return;
        };
        self.applied.confirm(sent_at, version, age);
        self.useful_at = self.useful_at.max(sent_at);
    }

    fn install(&mut self, view: ControlView, actions: &mut Vec<Action>) {
        if view.view.number >= self.view {
            self.view = view.view.number;
            actions.push(Action::ReportView(view));
        }
    }

    fn report_synced(&mut self, now: Instant, view: ViewNumber, _actions: &mut Vec<Action>) {
        if view > self.synced {
            self.synced = view;
            // Control waits for this before it settles the view, so it is not left to the next interval.
            self.next_renew = self.linked.then_some(now);
        }
    }

    fn renew_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.linked || self.next_renew.is_none_or(|at| at > now) {
            return;
        }
        self.last_probe += 1;
        let probe = self.last_probe;
        if self.probes.len() >= MAX_PROBES {
            self.probes.shift_remove_index(0);
        }
        self.probes.insert(probe, now);
        self.next_renew = Some(now + self.renew_interval);
        let (version, synced) = (self.applied.version(), self.synced);
        actions.push(Action::Renew {
            probe,
            version,
            synced,
        });
    }

    /// Moves to another control process if the present one confirms nothing.
    fn switch_if_useless(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.useful_at + SWITCH_AFTER {
            return;
        }
        self.useful_at = now;
        self.current = (self.current + 1) % self.controls;
        self.link_down();
        actions.push(Action::DialControl(self.current));
    }

    /// Tells the process what changed; a version comes into force only after a first confirmation.
    fn tell(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let state = self.applied.confirmation(now);
        let version = self.applied.version();
        if state != Confirmation::Never && version > self.configured {
            self.configured = version;
            let document = self.applied.document().clone();
            actions.push(Action::ApplyConfig { version, document });
        }
        if state != self.told {
            self.told = state;
            actions.push(Action::ReportConfirmation(state));
        }
    }
}
