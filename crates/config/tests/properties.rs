//! Randomised properties with fixed seeds.

#![expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]

mod common;

use std::collections::HashMap;

use chestnutfork_config::{
    AppliedConfig, ConfigStore, PatchCommand, Update, Verdict, merge_patch, patch_between, validate,
};
use common::command;
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use serde_json::{Map, Value, json};

const SEED: u64 = 0x00c0_ffee;
const SIZE: usize = 40;

fn check<T: Testable>(property: T) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .quickcheck(property);
}

/// Any JSON value of limited depth.
#[derive(Clone, Debug)]
struct Json(Value);

impl Arbitrary for Json {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(any_value(g, 4))
    }
}

fn any_value(g: &mut Gen, depth: u32) -> Value {
    let kinds = if depth == 0 { 5 } else { 7 };
    match u32::arbitrary(g) % kinds {
        0 => Value::Null,
        1 => Value::from(bool::arbitrary(g)),
        2 => Value::from(i64::arbitrary(g)),
        3 => Value::from(f64::arbitrary(g)),
        4 => Value::from(String::arbitrary(g)),
        5 => (0..u32::arbitrary(g) % 4)
            .map(|_| any_value(g, depth - 1))
            .collect(),
        _ => Value::Object(
            (0..u32::arbitrary(g) % 5)
                .map(|_| (any_key(g), any_value(g, depth - 1)))
                .collect(),
        ),
    }
}

fn any_key(g: &mut Gen) -> String {
    let known = [
        "services",
        "teams",
        "desk",
        "pool",
        "retry",
        "budget",
        "quota",
        "services",
        "token_sha256",
    ];
    if bool::arbitrary(g) {
        return String::arbitrary(g);
    }
    (*g.choose(&known).expect("list is not empty")).to_owned()
}

/// Command that is likely to be valid and to meet others on base and id.
#[derive(Clone, Debug)]
struct Op {
    back: u64,
    id: u128,
    body: Value,
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            back: u64::from(u8::arbitrary(g) % 8 / 6),
            id: u128::from(u8::arbitrary(g) % 64),
            body: any_body(g),
        }
    }
}

fn any_body(g: &mut Gen) -> Value {
    let name = *g.choose(&["a", "b", "c"]).expect("list is not empty");
    match u32::arbitrary(g) % 8 {
        0 => json!({ "services": { name: null } }),
        1 => {
            json!({ "teams": { name: { "token_sha256": format!("{name:0>64}"), "quota": 5, "services": ["a"] } } })
        }
        2 => json!({ "teams": { name: { "quota": u8::arbitrary(g) } } }),
        3 => {
            json!({ "services": { name: { "pool": "p", "retry": { "budget": f64::from(u8::arbitrary(g)) / 300.0 } } } })
        }
        4 => json!({ "services": { name: { "pool": "p", "retry": null } } }),
        5 => Json::arbitrary(g).0,
        _ => json!({ "services": { name: { "pool": "p", "max_in_flight": u8::arbitrary(g) } } }),
    }
}

/// Turns operations into the commands that the log would hold for this store.
fn next_command(store: &ConfigStore, op: &Op) -> PatchCommand {
    command(store.version().saturating_sub(op.back), op.id, op.body.clone())
}

/// Guards against a crash of validation on any input, and against accepting what the types cannot hold.
#[test]
fn validate_never_panics() {
    fn property(document: Json) -> bool {
        let _ = validate(&document.0);
        let whole = json!({ "services": document.0.clone(), "teams": { "t": document.0 } });
        validate(&whole).is_err() || whole["services"].is_object()
    }
    check(property as fn(Json) -> bool);
}

/// Guards against bytes from disk or network that crash the process.
#[test]
fn decode_never_panics() {
    fn property(bytes: Vec<u8>, value: Json) -> bool {
        let text = value.0.to_string();
        for bytes in [bytes.as_slice(), text.as_bytes()] {
            let _ = ConfigStore::restore(bytes);
            let _ = PatchCommand::decode(bytes);
            let _ = Update::decode(bytes);
        }
        true
    }
    check(property as fn(Vec<u8>, Json) -> bool);
}

/// Guards against a merge that departs from RFC 7396: a patch is idempotent, and a patch between two documents works.
#[test]
fn merge_patch_between_reaches_target() {
    fn property(old: Json, body: Json) -> bool {
        let mut base = json!({});
        merge_patch(&mut base, &json!({ "x": old.0 }));
        let mut target = base.clone();
        merge_patch(&mut target, &json!({ "x": body.0.clone(), "y": body.0 }));
        let mut patched = base.clone();
        merge_patch(&mut patched, &patch_between(&base, &target));
        patched == target
    }
    check(property as fn(Json, Json) -> bool);
}

/// Guards against two winners of a base, verdicts that change on a resend, and versions that fall.
#[test]
fn apply_keeps_one_winner_and_first_verdict() {
    fn property(ops: Vec<Op>) -> bool {
        let mut store = ConfigStore::default();
        let mut winners: HashMap<u64, u128> = HashMap::new();
        let mut sent: Vec<(PatchCommand, Verdict)> = Vec::new();
        ops.iter().all(|op| {
            let command = next_command(&store, op);
            let before = store.version();
            let dry = store.dry_run(&command.patch);
            let verdict = store.apply(&command);
            let known = sent.iter().any(|(earlier, _)| earlier.patch.id == op.id);
            let risen = store.version() - before;
            let accepted = verdict.accepted_version().is_some() && !known;
            let single = !accepted || winners.insert(command.patch.base, op.id).is_none();
            if !known {
                sent.push((command, verdict.clone()));
            }
            let same = sent
                .iter()
                .all(|(command, verdict)| store.dry_run(&command.patch) == *verdict);
            risen == u64::from(accepted) && single && same && dry == verdict
        })
    }
    check(property as fn(Vec<Op>) -> bool);
}

/// Guards against replicas that drift apart by the encoding of commands, snapshots or updates.
#[test]
fn replicas_agree_over_log_snapshot_and_deltas() {
    fn property(ops: Vec<Op>, start: usize) -> bool {
        let mut leader = ConfigStore::default();
        let mut follower = ConfigStore::default();
        let mut subscriber = AppliedConfig::default();
        let mut late = AppliedConfig::default();
        for (position, op) in ops.iter().enumerate() {
            let command = next_command(&leader, op);
            let decoded = PatchCommand::decode(&command.encode()).expect("command is readable");
            let verdict = leader.apply(&command);
            assert_eq!(follower.apply(&decoded), verdict);
            if position % 7 == start % 7 {
                follower = ConfigStore::restore(&follower.snapshot()).expect("snapshot is readable");
            }
            if position % 3 == 0 {
                update(&mut subscriber, &leader);
            }
        }
        update(&mut subscriber, &follower);
        late.apply(&leader.full_update()).expect("snapshot is valid");
        leader == follower
            && subscriber.document() == leader.document()
            && late.document() == leader.document()
            && subscriber.version() == leader.version()
    }
    check(property as fn(Vec<Op>, usize) -> bool);
}

fn update(subscriber: &mut AppliedConfig, store: &ConfigStore) {
    if let Some(update) = store.update_since(subscriber.version()) {
        let update = Update::decode(&update.encode()).expect("update is readable");
        subscriber.apply(&update).expect("update is valid");
    }
}

/// Guards against a subscriber that goes back when updates arrive late, twice or out of order.
#[test]
fn applied_version_only_rises() {
    fn property(ops: Vec<Op>, order: Vec<u8>) -> bool {
        let mut store = ConfigStore::default();
        let mut updates = vec![store.full_update()];
        for op in &ops {
            let have = store.version();
            store.apply(&next_command(&store, op));
            updates.push(store.full_update());
            updates.extend(store.update_since(have));
        }
        let mut applied = AppliedConfig::default();
        order.iter().all(|pick| {
            let before = applied.version();
            let result = applied.apply(&updates[usize::from(*pick) % updates.len()]);
            applied.version() >= before && (result.is_ok() || applied.version() == before)
        })
    }
    check(property as fn(Vec<Op>, Vec<u8>) -> bool);
}

/// Guards against generators that never reach the interesting cases, which would make the properties empty.
#[test]
fn generated_commands_reach_all_verdicts() {
    let mut g = Gen::from_size_and_seed(SIZE, SEED);
    let mut store = ConfigStore::default();
    let mut seen: Map<String, Value> = Map::new();
    for _ in 0..200 {
        let op = Op::arbitrary(&mut g);
        let name = match store.apply(&next_command(&store, &op)) {
            Verdict::Accepted { .. } => "accepted",
            Verdict::Conflict { .. } => "conflict",
            Verdict::Invalid { .. } => "invalid",
        };
        seen.insert(name.to_owned(), Value::Null);
    }
    assert_eq!(seen.len(), 3);
    assert!(store.version() > 5);
}
