//! Tests of requests that waited in the process before the core read them.

mod entry;

use chestnutfork_broker::{Answer, Event, RefusalReason, RequestKind};
use entry::{Entry, millis, request, submission};

/// Submits a job of one task that was received `waited` milliseconds ago.
fn submit_late(entry: &mut Entry, ticket: u64, job: u128, waited: u64) {
    let request = request(job, RequestKind::Submit(submission(1)));
    let received_at = entry.start + (entry.now - entry.start).saturating_sub(millis(waited));
    entry.handle(Event::Request {
        ticket,
        request,
        received_at,
    });
}

/// Guards against accepting a job that has used up its objective while it waited for the process.
#[test]
fn submission_without_time_for_its_objective_is_refused() {
    let mut entry = Entry::with_workers(1);
    entry.advance_to(millis(600), &[1]);
    submit_late(&mut entry, 1, 1, 250);
    let refused = matches!(
        entry.answers()[..],
        [(
            1,
            Answer::Refused {
                reason: RefusalReason::Overloaded,
                ..
            }
        )]
    );
    assert!(refused, "{:?}", entry.answers());
    assert_eq!(entry.attempts(), []);
}

/// Guards against a job that runs on after its caller has given up, because its deadline counted from when the core read it.
#[test]
fn deadline_counts_from_arrival() {
    let mut entry = Entry::with_workers(1);
    entry.advance_to(millis(600), &[1]);
    submit_late(&mut entry, 1, 1, 150);
    assert_eq!(entry.attempts().len(), 1);
    let deadline = 600 - 150 + 2_000;
    entry.advance_to(millis(deadline - 25), &[1]);
    assert_eq!(entry.answers(), []);
    entry.advance_to(millis(deadline + 25), &[1]);
    assert_eq!(entry.answers(), [(1, Answer::TimedOut)]);
}
