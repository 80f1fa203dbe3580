//! Tests of team quotas.

use std::time::{Duration, Instant};

use chestnutfork_limits::Quotas;
use quickcheck::{Gen, QuickCheck};

/// Returns a `QuickCheck` runner with a fixed seed.
fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1))
}

fn quotas(entries: u32, quota: u32) -> Quotas {
    let mut quotas = Quotas::new();
    quotas.set_quota("team", quota);
    quotas.set_entry_count(entries);
    quotas
}

fn acquire_all(quotas: &mut Quotas) -> u32 {
    let mut count = 0;
    while quotas.try_acquire("team") {
        count += 1;
    }
    count
}

fn usage(count: u32) -> Vec<(String, u32)> {
    vec![("team".to_owned(), count)]
}

/// Guards against denying an entry its share while others use the entire quota.
#[test]
fn acquire_grants_share_under_busy_peers() {
    let now = Instant::now();
    let mut quotas = quotas(3, 30);
    quotas.on_peer_usage(1, &usage(20), now);
    quotas.on_peer_usage(2, &usage(20), now);
    assert_eq!(acquire_all(&mut quotas), 10);
}

/// Guards against leaving a team's quota unused while the other entries report little or no use.
#[test]
fn acquire_borrows_unused_quota() {
    let now = Instant::now();
    let mut quotas = quotas(3, 30);
    quotas.on_peer_usage(1, &[], now);
    quotas.on_peer_usage(2, &usage(5), now);
    assert_eq!(acquire_all(&mut quotas), 25);
}

/// Guards against using the share of an unreachable entry, which may be in use there.
#[test]
fn acquire_reserves_share_of_unreachable_peer() {
    let now = Instant::now();
    let mut quotas = quotas(3, 30);
    quotas.on_peer_usage(1, &[], now);
    quotas.on_peer_usage(2, &[], now);
    quotas.remove_peer(2);
    assert_eq!(quotas.allowance("team"), 20);
    quotas.on_peer_usage(2, &[], now + Duration::from_secs(10));
    assert_eq!(quotas.allowance("team"), 20, "the report of peer 1 has expired");
}

/// Guards against starting tasks of a team without a quota.
#[test]
fn acquire_refuses_unknown_team() {
    assert!(!quotas(1, 5).try_acquire("unknown"));
}

/// Guards against a total above the quota by more than the borrowed shares, while every entry has current reports of
/// all others.
#[test]
fn total_stays_within_quota() {
    fn property(quota: u16, ops: Vec<(u8, bool)>) -> bool {
        let now = Instant::now();
        let quota = u32::from(quota % 50);
        let mut entries = vec![quotas(3, quota); 3];
        for (entry, acquire) in ops {
            let at = usize::from(entry % 3);
            if acquire {
                entries[at].try_acquire("team");
            } else if entries[at].in_flight("team") > 0 {
                entries[at].release("team");
            }
            let reported: Vec<_> = entries.iter().map(Quotas::usage).collect();
            for (to, entry) in entries.iter_mut().enumerate() {
                for from in (0..3).filter(|from| *from != to) {
                    entry.on_peer_usage(from as u64, &reported[from], now);
                }
            }
        }
        // An entry may use its share although another entry has borrowed it, so the total may exceed the quota by the
        // shares of two entries.
        let total: u32 = entries.iter().map(|entry| entry.in_flight("team")).sum();
        entries.iter().all(|entry| entry.verify().is_ok()) && total <= quota + 2 * (quota / 3)
    }
    seeded().quickcheck(property as fn(u16, Vec<(u8, bool)>) -> bool);
}
