//! Tests of the fair queue.

use std::time::{Duration, Instant};

use chestnutfork_limits::FairQueue;
use quickcheck::{Gen, QuickCheck};

/// Guards against a team losing its weight while the quota of the team before it in turn is exhausted.
#[test]
fn pop_allowed_honours_weight() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    queue.set_weight("heavy", 2);
    for team in ["blocked", "heavy", "light"] {
        for _ in 0..4 {
            queue.push(team, now, team).unwrap();
        }
    }
    let next = || {
        queue
            .pop_allowed(|team| team != "blocked")
            .map(|queued| queued.item)
    };
    let order: Vec<_> = std::iter::from_fn(next).take(6).collect();
    assert_eq!(order, ["heavy", "heavy", "light", "heavy", "heavy", "light"]);
    assert_eq!(queue.pop().map(|queued| queued.item), Some("blocked"));
}

/// Guards against a deferred task that stays queued after its deadline or after its job is cancelled.
#[test]
fn defer_preserves_deadline_and_cancellation() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for item in 1..4 {
        queue
            .push("team", now + Duration::from_millis(item), item)
            .unwrap();
        assert!(queue.defer(now));
    }
    let mut removed = Vec::new();
    queue.expire(now + Duration::from_millis(1), &mut removed);
    queue.retain_at("team", now + Duration::from_millis(3), |_| false, &mut removed);
    assert_eq!(removed, [1, 3]);
    assert_eq!((queue.len(), queue.team_len("team")), (1, 1));
}

/// Returns a `QuickCheck` runner with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

fn drain<T>(queue: &mut FairQueue<T>) -> Vec<T> {
    std::iter::from_fn(|| queue.pop())
        .map(|queued| queued.item)
        .collect()
}

/// Guards against a team with many tasks delaying the tasks of other teams.
#[test]
fn pop_alternates_between_teams() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for item in 0..4 {
        queue.push("busy", now, ("busy", item)).unwrap();
    }
    queue.push("light", now, ("light", 0)).unwrap();
    queue.push("light", now, ("light", 1)).unwrap();
    let teams: Vec<_> = drain(&mut queue).into_iter().map(|(team, _)| team).collect();
    assert_eq!(teams, ["busy", "light", "busy", "light", "busy", "busy"]);
}

/// Guards against a later deadline overtaking an earlier one, and against reordering among equal deadlines.
#[test]
fn pop_orders_by_deadline_then_arrival() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut queue = FairQueue::new(100);
    for (deadline, item) in [(at(9), 'd'), (at(5), 'a'), (at(5), 'b'), (at(7), 'c')] {
        queue.push("team", deadline, item).unwrap();
    }
    assert_eq!(drain(&mut queue), ['a', 'b', 'c', 'd']);
}

/// Guards against a popped task losing its position if no target is found for it, also in a full queue.
#[test]
fn requeue_restores_full_queue() {
    let now = Instant::now();
    let mut queue = FairQueue::new(3);
    queue.push("a", now, 1).unwrap();
    queue.push("b", now, 2).unwrap();
    queue.push("a", now, 3).unwrap();
    let queued = queue.pop().unwrap();
    queue.push("b", now, 4).unwrap();
    queue.requeue(queued);
    assert_eq!(queue.push("b", now, 5), Err(5));
    assert_eq!(drain(&mut queue), [1, 2, 3, 4]);
}

/// Guards against dispatching expired tasks and against removing others.
#[test]
fn expire_removes_only_due() {
    let now = Instant::now();
    let mut queue = FairQueue::new(100);
    for millis in 0..10 {
        let team = if millis % 2 == 0 { "even" } else { "odd" };
        queue
            .push(team, now + Duration::from_millis(millis), millis)
            .unwrap();
    }
    let mut expired = Vec::new();
    queue.expire(now + Duration::from_millis(4), &mut expired);
    expired.sort_unstable();
    assert_eq!(expired, [0, 1, 2, 3, 4]);
    assert_eq!(queue.next_deadline(), Some(now + Duration::from_millis(5)));
}

/// Guards against a cancellation removing tasks of other jobs that share team or deadline.
#[test]
fn retain_at_preserves_other_jobs() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    let mut queue = FairQueue::new(100);
    for (team, deadline, job) in [("a", now, 1), ("a", now, 2), ("a", later, 1), ("b", now, 1)] {
        queue.push(team, deadline, (team, deadline, job)).unwrap();
    }
    let mut removed = Vec::new();
    queue.retain_at("a", now, |(_, _, job)| *job != 1, &mut removed);
    assert_eq!(removed, [("a", now, 1)]);
    assert_eq!(queue.len(), 3);
}

/// Guards against lost or duplicated tasks and violated invariants in any sequence of operations.
#[test]
fn operations_conserve_items() {
    fn property(ops: Vec<(u8, u8, u8)>) -> bool {
        let start = Instant::now();
        let mut queue = FairQueue::new(20);
        let mut expected: Vec<usize> = Vec::new();
        let mut popped = Vec::new();
        for (serial, (op, team, delay)) in ops.into_iter().enumerate() {
            let team = format!("team{}", team % 4);
            let at = start + Duration::from_millis(u64::from(delay));
            let mut out = Vec::new();
            match op % 8 {
                0..=2 => {
                    let full = queue.len() >= 20;
                    let refused = queue.push(&team, at, serial).is_err();
                    assert_eq!(refused, full);
                    if !refused {
                        expected.push(serial);
                    }
                }
                3 => {
                    let next = queue.peek().copied();
                    let queued = queue.pop();
                    assert_eq!(next, queued.as_ref().map(|queued| queued.item));
                    popped.extend(queued);
                }
                4 => {
                    if let Some(queued) = popped.pop() {
                        queue.requeue(queued);
                    }
                }
                5 => {
                    let next = queue.peek().copied();
                    assert_eq!(queue.defer(start), next.is_some());
                    let last = queue.deferred_len().checked_sub(1);
                    assert_eq!(
                        last.and_then(|last| queue.deferred(last))
                            .map(|(item, _)| *item)
                            .filter(|_| next.is_some()),
                        next
                    );
                }
                6 => {
                    let next = queue.deferred(0).map(|(item, _)| *item);
                    let queued = queue.remove_deferred(0);
                    assert_eq!(next, queued.as_ref().map(|queued| queued.item));
                    popped.extend(queued);
                }
                _ if delay % 2 == 0 => queue.expire(at, &mut out),
                _ => queue.retain(|item| item % 3 != 0, &mut out),
            }
            expected.retain(|item| !out.contains(item));
            queue.verify().unwrap();
        }
        let mut left = drain(&mut queue);
        left.extend(std::iter::from_fn(|| queue.remove_deferred(0)).map(|queued| queued.item));
        left.extend(popped.into_iter().map(|queued| queued.item));
        left.sort_unstable();
        left == expected
    }
    seeded().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

/// Guards against starvation: if all teams have a backlog, no team is ever two turns ahead of another.
#[test]
fn backlogged_teams_share_evenly() {
    fn property(teams: u8, rounds: u8) -> bool {
        let now = Instant::now();
        let (teams, rounds) = (usize::from(teams % 8) + 1, usize::from(rounds % 20) + 1);
        let mut queue = FairQueue::new(usize::MAX);
        for item in 0..teams * rounds {
            queue
                .push(&format!("team{}", item % teams), now, item % teams)
                .unwrap();
        }
        let mut served = vec![0_usize; teams];
        for team in drain(&mut queue) {
            served[team] += 1;
            assert!(served.iter().max().unwrap() - served.iter().min().unwrap() <= 1);
        }
        queue.is_empty()
    }
    seeded().quickcheck(property as fn(u8, u8) -> bool);
}
