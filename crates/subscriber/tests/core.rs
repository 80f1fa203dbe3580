//! Cases of the subscription: confirmations, changes of control, and versions that only rise.

use std::time::{Duration, Instant, SystemTime};

use chestnutfork_config::{ConfigStore, Confirmation, Patch, PatchCommand, Update};
use chestnutfork_register::View;
use chestnutfork_subscriber::{Action, ControlView, Event, SubscriberCore};
use serde_json::{Value, json};

const SECOND: Duration = Duration::from_secs(1);

/// Subscription with the time and the actions of a test.
struct Bench {
    core: SubscriberCore,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            core: SubscriberCore::new(3, 0, SECOND, now),
            now,
        }
    }

    fn run(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    /// Lets time pass in steps of the wake-up times and returns what was asked for.
    fn pass(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut actions = Vec::new();
        let mut former = None;
        while let Some(at) = self.core.next_wakeup().filter(|&at| at <= end) {
            assert!(
                former < Some(at),
                "a wake-up that changes nothing is repeated without end"
            );
            former = Some(at);
            self.now = self.now.max(at);
            self.core.handle(self.now, Event::Tick, &mut actions);
        }
        self.now = end;
        actions
    }

    /// Opens the link and confirms the first renewal for a version.
    fn connect(&mut self, version: u64) -> Vec<Action> {
        let mut actions = self.run(Event::LinkUp);
        let probe = last_probe(&actions);
        actions.extend(self.run(Event::Confirm {
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
    probes.next_back().expect("the lease is renewed")
}

fn store_with(versions: u64) -> ConfigStore {
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
    store.update_since(have).expect("there is something newer")
}

/// Guards against a process that serves a configuration that no quorum has confirmed.
#[test]
fn update_waits_for_first_confirmation() {
    let mut bench = Bench::new();
    let store = store_with(2);
    let probe = last_probe(&bench.run(Event::LinkUp));
    let actions = bench.run(Event::Update(update_since(&store, 0)));
    assert_eq!(actions, [Action::Ack(2)]);
    let actions = bench.run(Event::Confirm {
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

/// Guards against a process that keeps serving when it may have missed an accepted version.
#[test]
fn confirmation_expires_without_control() {
    let mut bench = Bench::new();
    bench.connect(0);
    let early = bench.pass(Duration::from_secs(7));
    assert!(
        !early
            .iter()
            .any(|action| matches!(action, Action::ReportConfirmation(_))),
        "{early:?}"
    );
    let late = bench.pass(Duration::from_secs(2));
    assert!(
        late.contains(&Action::ReportConfirmation(Confirmation::Unconfirmed)),
        "{late:?}"
    );
}

/// Guards against a confirmation that looks fresh although it was delayed for long on the way.
#[test]
fn confirmation_counts_from_its_renewal() {
    let mut bench = Bench::new();
    let probe = last_probe(&bench.run(Event::LinkUp));
    bench.now += Duration::from_secs(9);
    let actions = bench.run(Event::Confirm {
        probe,
        version: 0,
        age: Duration::ZERO,
    });
    assert!(
        !actions.contains(&Action::ReportConfirmation(Confirmation::Confirmed)),
        "{actions:?}"
    );
}

/// Guards against an answer to a renewal of an earlier link, or a repeated one, that extends the confirmation.
#[test]
fn confirmation_of_former_link_is_ignored() {
    let mut bench = Bench::new();
    let probe = last_probe(&bench.run(Event::LinkUp));
    bench.run(Event::LinkDown);
    bench.run(Event::LinkUp);
    let actions = bench.run(Event::Confirm {
        probe,
        version: 0,
        age: Duration::ZERO,
    });
    assert_eq!(actions, []);
}

/// Guards against a subscription that stays with a control process that confirms nothing, such as an isolated one.
#[test]
fn silent_control_is_replaced() {
    let mut bench = Bench::new();
    bench.run(Event::LinkUp);
    let actions = bench.pass(Duration::from_secs(5));
    assert!(actions.contains(&Action::DialControl(1)), "{actions:?}");
    let actions = bench.pass(Duration::from_secs(10));
    assert!(
        actions.contains(&Action::DialControl(2)) && actions.contains(&Action::DialControl(0)),
        "{actions:?}"
    );
}

/// Guards against a return to a lower version when a control process that lags takes over the subscription.
#[test]
fn update_never_goes_back() {
    let mut bench = Bench::new();
    let (old, new) = (store_with(3), store_with(5));
    bench.connect(0);
    bench.run(Event::Update(update_since(&new, 0)));
    assert_eq!(bench.core.version(), 5);
    bench.run(Event::LinkDown);
    bench.run(Event::LinkUp);
    assert_eq!(bench.run(Event::Update(old.whole())), []);
    assert_eq!(bench.core.version(), 5);
}

/// Guards against a missed change that is skipped silently; control must send it again.
#[test]
fn update_with_gap_subscribes_again() {
    let mut bench = Bench::new();
    let store = store_with(4);
    bench.connect(0);
    let actions = bench.run(Event::Update(update_since(&store, 2)));
    assert_eq!(actions, [Action::Subscribe(0)]);
    bench.run(Event::Update(update_since(&store, 0)));
    assert_eq!(bench.core.version(), 4);
}

/// Guards against an older view that replaces a newer one.
#[test]
fn view_never_goes_back() {
    let mut bench = Bench::new();
    let view = |number| ControlView {
        view: View::initial(number, vec![1]),
        entries: Vec::new(),
    };
    assert_eq!(bench.run(Event::View(view(4))), [Action::ReportView(view(4))]);
    assert_eq!(bench.run(Event::View(view(3))), []);
}

/// Guards against a lost report of a copied register: every renewal repeats it, the first one at once.
#[test]
fn synced_is_reported_with_every_renewal() {
    let mut bench = Bench::new();
    bench.connect(0);
    let at_once = bench.run(Event::Synced(7));
    let later = bench.pass(SECOND);
    for actions in [at_once, later] {
        let synced = actions
            .iter()
            .any(|action| matches!(action, Action::Renew { synced: 7, .. }));
        assert!(synced, "{actions:?}");
    }
}
