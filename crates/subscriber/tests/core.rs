//! Tests of the subscriber core: confirmations, switches to another control process, and versions that never decrease.

use std::time::{Duration, Instant, SystemTime};

use chestnutfork_config::{ConfigStore, Confirmation, Patch, PatchCommand, Update};
use chestnutfork_register::View;
use chestnutfork_subscriber::{Action, ControlView, Event, SubscriberCore};
use serde_json::{Value, json};

const SECOND: Duration = Duration::from_secs(1);

/// Subscriber core with a virtual clock.
struct TestSubscriber {
    core: SubscriberCore,
    now: Instant,
}

impl TestSubscriber {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            core: SubscriberCore::new(3, 0, SECOND, now),
            now,
        }
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock, delivers the ticks that are due on the way, and returns the resulting actions.
    fn advance(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        let mut last_wakeup = None;
        while let Some(at) = self.core.next_wakeup().filter(|&at| at <= end) {
            assert!(
                last_wakeup < Some(at),
                "the core repeats a wakeup that has no effect, which would loop forever"
            );
            last_wakeup = Some(at);
            self.now = self.now.max(at);
            self.core.handle(self.now, Event::Tick, &mut actions);
        }
        self.now = end;
        actions
    }

    /// Opens the link and confirms a version in reply to the first renewal.
    fn connect(&mut self, version: u64) -> Vec<Action> {
        let mut actions = self.handle(Event::LinkUp);
        let probe = last_probe(&actions);
        actions.extend(self.handle(Event::Confirm {
            probe,
            version,
            age: Duration::ZERO,
        }));
        actions
    }
}

fn last_probe(actions: &[Action]) -> u64 {
    let mut probes = actions.iter().filter_map(|action| match action {
        Action::Renew { probe, .. } => Some(*probe),
        _ => None,
    });
    probes.next_back().expect("no renewal")
}

fn store_with_versions(versions: u64) -> ConfigStore {
    let mut store = ConfigStore::default();
    for base in 0..versions {
        let body: Value = json!({ "services": { "desk": { "pool": "main", "max_queue": 1_000 + base } } });
        let patch = Patch {
            base,
            id: u128::from(base) + 1,
            operator: "ann".into(),
            reason: "test".into(),
            body,
        };
        let verdict = store.apply(&PatchCommand {
            patch,
            time: SystemTime::UNIX_EPOCH,
        });
        assert_eq!(verdict.accepted_version(), Some(base + 1));
    }
    store
}

fn update_since(store: &ConfigStore, have: u64) -> Update {
    store.update_since(have).expect("no newer version")
}

/// Guards against a process that serves a configuration that no quorum has confirmed.
#[test]
fn update_waits_for_first_confirmation() {
    let mut subscriber = TestSubscriber::new();
    let store = store_with_versions(2);
    let probe = last_probe(&subscriber.handle(Event::LinkUp));
    let actions = subscriber.handle(Event::Update(update_since(&store, 0)));
    assert_eq!(actions, [Action::Ack(2)]);
    let actions = subscriber.handle(Event::Confirm {
        probe,
        version: 2,
        age: Duration::ZERO,
    });
    assert!(
        matches!(actions[0], Action::ApplyConfig { version: 2, .. }),
        "{actions:?}"
    );
    assert_eq!(actions[1], Action::ReportConfirmation(Confirmation::Confirmed));
}

/// Guards against a configuration that still counts as confirmed when the process may have missed an accepted version.
#[test]
fn confirmation_expires_without_control() {
    let mut subscriber = TestSubscriber::new();
    subscriber.connect(0);
    let early = subscriber.advance(Duration::from_secs(7));
    assert!(
        !early
            .iter()
            .any(|action| matches!(action, Action::ReportConfirmation(_))),
        "{early:?}"
    );
    let late = subscriber.advance(Duration::from_secs(2));
    assert!(
        late.contains(&Action::ReportConfirmation(Confirmation::Unconfirmed)),
        "{late:?}"
    );
}

/// Guards against a confirmation that counts as recent although it was delayed in transit.
#[test]
fn confirmation_age_counts_from_renewal() {
    let mut subscriber = TestSubscriber::new();
    let probe = last_probe(&subscriber.handle(Event::LinkUp));
    subscriber.now += Duration::from_secs(9);
    let actions = subscriber.handle(Event::Confirm {
        probe,
        version: 0,
        age: Duration::ZERO,
    });
    assert!(
        !actions.contains(&Action::ReportConfirmation(Confirmation::Confirmed)),
        "{actions:?}"
    );
}

/// Guards against a reply to a renewal on an earlier link that extends the confirmation.
#[test]
fn confirmation_of_earlier_link_is_ignored() {
    let mut subscriber = TestSubscriber::new();
    let probe = last_probe(&subscriber.handle(Event::LinkUp));
    subscriber.handle(Event::LinkDown);
    subscriber.handle(Event::LinkUp);
    let actions = subscriber.handle(Event::Confirm {
        probe,
        version: 0,
        age: Duration::ZERO,
    });
    assert_eq!(actions, []);
}

/// Guards against a subscription that stays with a control process that confirms nothing, such as an isolated one.
#[test]
fn unresponsive_control_is_replaced() {
    let mut subscriber = TestSubscriber::new();
    subscriber.handle(Event::LinkUp);
    let actions = subscriber.advance(Duration::from_secs(5));
    assert!(actions.contains(&Action::DialControl(1)), "{actions:?}");
    let actions = subscriber.advance(Duration::from_secs(10));
    assert!(
        actions.contains(&Action::DialControl(2)) && actions.contains(&Action::DialControl(0)),
        "{actions:?}"
    );
}

/// Guards against a return to a lower version after a switch to a control process that lags behind.
#[test]
fn update_never_goes_back() {
    let mut subscriber = TestSubscriber::new();
    let (old, new) = (store_with_versions(3), store_with_versions(5));
    subscriber.connect(0);
    subscriber.handle(Event::Update(update_since(&new, 0)));
    assert_eq!(subscriber.core.version(), 5);
    subscriber.handle(Event::LinkDown);
    subscriber.handle(Event::LinkUp);
    assert_eq!(subscriber.handle(Event::Update(old.full_update())), []);
    assert_eq!(subscriber.core.version(), 5);
}

/// Guards against a lost update that is skipped: the core must subscribe again so that control resends it.
#[test]
fn update_with_gap_subscribes_again() {
    let mut subscriber = TestSubscriber::new();
    let store = store_with_versions(4);
    subscriber.connect(0);
    let actions = subscriber.handle(Event::Update(update_since(&store, 2)));
    assert_eq!(actions, [Action::Subscribe(0)]);
    subscriber.handle(Event::Update(update_since(&store, 0)));
    assert_eq!(subscriber.core.version(), 4);
}

/// Guards against an older view that replaces a newer one, as after a switch to a control process that lags behind.
#[test]
fn view_never_goes_back() {
    let mut subscriber = TestSubscriber::new();
    let view = |number| ControlView {
        view: View::initial(number, vec![1]),
        entries: Vec::new(),
    };
    assert_eq!(
        subscriber.handle(Event::View(view(4))),
        [Action::ReportView(view(4))]
    );
    assert_eq!(subscriber.handle(Event::View(view(3))), []);
}

/// Guards against a lost report of a copied register: a renewal is sent immediately, and every later one repeats it.
#[test]
fn synced_is_reported_with_every_renewal() {
    let mut subscriber = TestSubscriber::new();
    subscriber.connect(0);
    let at_once = subscriber.handle(Event::Synced(7));
    let later = subscriber.advance(SECOND);
    for actions in [at_once, later] {
        let synced = actions
            .iter()
            .any(|action| matches!(action, Action::Renew { synced: 7, .. }));
        assert!(synced, "{actions:?}");
    }
}
