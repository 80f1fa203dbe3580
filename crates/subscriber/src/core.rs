//! State machine of a subscription.

use std::time::{Duration, Instant};

use chestnutfork_config::{
    AppliedConfig, ApplyOutcome, CONTROL_SWITCH_TIMEOUT, Confirmation, ErrorKind, Update,
};
use chestnutfork_types::{ConfigVersion, ViewNumber};
use indexmap::IndexMap;

use crate::event::{Action, ControlView, Event};

/// Delay of the wakeup that detects an expired confirmation, after the confirmation bound.
const EXPIRY_MARGIN: Duration = Duration::from_millis(1);
/// Maximum number of unanswered renewals to track.
const MAX_PENDING_PROBES: usize = 32;

/// State machine of a subscription, without I/O.
#[derive(Debug)]
pub struct SubscriberCore {
    applied: AppliedConfig,
    /// Interval between lease renewals.
    renew_interval: Duration,
    /// Number of control processes.
    control_count: usize,
    /// Index of the control process in use.
    current_control: usize,
    linked: bool,
    next_renew: Option<Instant>,
    /// Time of the latest renewal that the control process in use confirmed, or of its selection if that is later.
    last_progress_at: Instant,
    last_probe: u64,
    /// Unanswered renewals and the times at which they were sent.
    pending_probes: IndexMap<u64, Instant>,
    synced_view: ViewNumber,
    latest_view: ViewNumber,
    reported_confirmation: Confirmation,
    active_version: ConfigVersion,
}

impl SubscriberCore {
    /// Creates a subscription to one of `control_count` control processes, starting with the one at index
    /// `first_control` modulo `control_count`.
    ///
    /// # Panics
    ///
    /// Panics if `control_count` is zero.
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
    pub fn new(control_count: usize, first_control: usize, renew_interval: Duration, now: Instant) -> Self {
        assert!(
            control_count > 0,
            "a subscription needs at least one control process"
        );
        Self {
            applied: AppliedConfig::default(),
            renew_interval,
            control_count,
            current_control: first_control % control_count,
            linked: false,
            next_renew: None,
            last_progress_at: now,
            last_probe: 0,
            pending_probes: IndexMap::new(),
            synced_view: 0,
            latest_view: 0,
            reported_confirmation: Confirmation::Never,
            active_version: 0,
        }
    }

    /// Returns the index of the control process in use.
    #[must_use]
    pub fn current_control(&self) -> usize {
        self.current_control
    }

    /// Returns the latest received configuration version.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.applied.version()
    }

    /// Processes an event and appends the resulting actions, which must be executed in order.
    pub fn handle(&mut self, now: Instant, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::LinkUp => self.link_up(now, actions),
            Event::LinkDown => self.link_down(),
            Event::Update(update) => self.apply_update(&update, actions),
            Event::Confirm { probe, version, age } => self.on_confirm(probe, version, age),
            Event::View(view) => self.install_view(view, actions),
            Event::Synced(view) => self.report_synced(now, view, actions),
            Event::Tick => {}
        }
        self.renew_if_due(now, actions);
        self.switch_control_if_stalled(now, actions);
        self.report_changes(now, actions);
    }

    /// Returns the time at which the core needs the next [`Event::Tick`].
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let expires = match self.reported_confirmation {
            // At the bound itself the version still counts as confirmed, so a tick there would have no effect.
            Confirmation::Confirmed => self.applied.tracker().expires_at().map(|at| at + EXPIRY_MARGIN),
            Confirmation::Never | Confirmation::Unconfirmed => None,
        };
        [
            Some(self.last_progress_at + CONTROL_SWITCH_TIMEOUT),
            self.next_renew,
            expires,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn link_up(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.linked = true;
        self.pending_probes.clear();
        actions.push(Action::Subscribe(self.applied.version()));
        self.next_renew = Some(now);
    }

    fn link_down(&mut self) {
        self.linked = false;
        self.next_renew = None;
    }

    fn apply_update(&mut self, update: &Update, actions: &mut Vec<Action>) {
        match self.applied.apply(update) {
            Ok(ApplyOutcome::Applied { to, .. }) => actions.push(Action::Ack(to)),
            Ok(ApplyOutcome::Ignored) => {}
            // An update was lost. Control replies with the missing changes or the full document.
            Err(error) if matches!(error.kind, ErrorKind::Gap { .. }) => {
                actions.push(Action::Subscribe(self.applied.version()));
            }
            Err(error) => {
                let (version, reason) = (update.version(), error.to_string());
                actions.push(Action::ReportUnusable { version, reason });
            }
        }
    }

    fn on_confirm(&mut self, probe: u64, version: ConfigVersion, age: Duration) {
        // Ignore a reply to a renewal on an earlier link, and a duplicate reply: neither proves a current state.
        let Some(sent_at) = self.pending_probes.swap_remove(&probe) else {
            return;
        };
        self.applied.confirm(sent_at, version, age);
        self.last_progress_at = self.last_progress_at.max(sent_at);
    }

    fn install_view(&mut self, view: ControlView, actions: &mut Vec<Action>) {
        if view.view.number >= self.latest_view {
            self.latest_view = view.view.number;
            actions.push(Action::ReportView(view));
        }
    }

    fn report_synced(&mut self, now: Instant, view: ViewNumber, _actions: &mut Vec<Action>) {
        if view > self.synced_view {
            self.synced_view = view;
            // Control waits for this report before it settles the view, so renew now rather than at the next interval.
            self.next_renew = self.linked.then_some(now);
        }
    }

    fn renew_if_due(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if !self.linked || self.next_renew.is_none_or(|at| at > now) {
            return;
        }
        self.last_probe += 1;
        let probe = self.last_probe;
        if self.pending_probes.len() >= MAX_PENDING_PROBES {
            self.pending_probes.shift_remove_index(0);
        }
        self.pending_probes.insert(probe, now);
        self.next_renew = Some(now + self.renew_interval);
        let (version, synced) = (self.applied.version(), self.synced_view);
        actions.push(Action::Renew {
            probe,
            version,
            synced,
        });
    }

    /// Switches to the next control process if the current one has confirmed nothing within [`CONTROL_SWITCH_TIMEOUT`].
    fn switch_control_if_stalled(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.last_progress_at + CONTROL_SWITCH_TIMEOUT {
            return;
        }
        self.last_progress_at = now;
        self.current_control = (self.current_control + 1) % self.control_count;
        self.link_down();
        actions.push(Action::DialControl(self.current_control));
    }

    /// Reports changes of the version in force and of its confirmation. A version comes into force only after a first
    /// confirmation.
    fn report_changes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let state = self.applied.confirmation(now);
        let version = self.applied.version();
        if state != Confirmation::Never && version > self.active_version {
            self.active_version = version;
            let document = self.applied.document().clone();
            actions.push(Action::ApplyConfig { version, document });
        }
        if state != self.reported_confirmation {
            self.reported_confirmation = state;
            actions.push(Action::ReportConfirmation(state));
        }
    }
}
