//! Tests of announcements under another name than that of the worker in use: they prove nothing until the announced worker
//! answers at its address.

mod common;

use chestnutfork_types::RunOutcome;
use chestnutfork_worker::{Action, CallId, CallOutcome, Event, Notice, Refusal, Reply, RunList};
use common::{Agent, announcement, attempt, is_renewal, is_start, millis};

/// Returns an agent of `w-1` with a run that the worker has confirmed.
fn agent_with_run() -> Agent {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let start = agent.call(is_start);
    agent.reply(start, CallOutcome::Done);
    agent
}

/// Returns the calls to a worker among the latest actions.
fn calls_to(agent: &Agent, name: &str) -> Vec<CallId> {
    let calls = agent.actions.iter().filter_map(|action| match action {
        Action::Call { call, worker, .. } if worker == name => Some(*call),
        _ => None,
    });
    calls.collect()
}

fn has_notice(agent: &Agent, matches: impl Fn(&Notice) -> bool) -> bool {
    let mut notices = agent.actions.iter();
    notices.any(|action| matches!(action, Action::Notice(notice) if matches(notice)))
}

/// Replies to a call of a worker whose clock has just started.
fn reply(agent: &mut Agent, call: CallId, outcome: CallOutcome) {
    let reply = Reply {
        clock: Some(millis(5)),
        started_at: None,
        outcome,
    };
    agent.handle(Event::Replied { call, reply });
}

/// Guards against reporting runs as lost that continue, because another sender's announcement reached the agent: their
/// tasks would be started a second time elsewhere.
#[test]
fn foreign_announcement_ends_no_run() {
    let mut agent = agent_with_run();
    let mut foreign = announcement(2, 1);
    foreign.description.pool = "other-team".to_owned();
    agent.handle(Event::Announced(foreign));
    assert_eq!(agent.ended(), []);
    let question = calls_to(&agent, "w-2");
    assert_eq!(question.len(), 1, "the address is asked which worker answers");
    reply(&mut agent, question[0], CallOutcome::OtherIncarnation);
    assert_eq!(agent.ended(), []);
    assert!(has_notice(&agent, |notice| matches!(
        notice,
        Notice::AnnouncementRejected { .. }
    )));
    assert_eq!(agent.core.runs_in_progress(), 1);
}

/// Guards against a worker that gets no tasks any more because another sender's announcement reached its agent.
#[test]
fn foreign_announcement_keeps_worker_in_use() {
    let mut agent = agent_with_run();
    agent.handle(Event::Announced(announcement(2, 1)));
    let question = calls_to(&agent, "w-2");
    reply(&mut agent, question[0], CallOutcome::OtherIncarnation);
    agent.handle(Event::Announced(announcement(1, 2)));
    agent.start(&[attempt(1, 1)]);
    assert_eq!(calls_to(&agent, "w-1").len(), 1);
    assert!(agent.calls().iter().any(|(_, order)| is_start(order)));
}

/// Guards against a worker that is never used because another sender's announcement was the first to reach its agent.
#[test]
fn foreign_announcement_before_first_gives_way() {
    let mut agent = Agent::new();
    agent.handle(Event::Announced(announcement(9, 1)));
    for call in calls_to(&agent, "w-9") {
        reply(&mut agent, call, CallOutcome::OtherIncarnation);
    }
    agent.handle(Event::Announced(announcement(1, 1)));
    let question = calls_to(&agent, "w-1");
    reply(
        &mut agent,
        question[0],
        CallOutcome::LeaseRenewed(RunList::default()),
    );
    assert!(has_notice(&agent, |notice| matches!(
        notice,
        Notice::WorkerJoined { worker, .. } if worker == "w-1"
    )));
}

/// Guards against runs that count as in progress after their worker was replaced, and against reporting them as lost before
/// the replacement has answered.
#[test]
fn replacement_ends_all_runs_when_it_answers() {
    for outcome in [
        CallOutcome::LeaseRenewed(RunList::default()),
        CallOutcome::Refused(Refusal::Fenced),
    ] {
        let mut agent = agent_with_run();
        agent.handle(Event::Announced(announcement(2, 1)));
        assert_eq!(agent.ended(), []);
        let question = calls_to(&agent, "w-2");
        reply(&mut agent, question[0], outcome);
        assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
        assert!(has_notice(&agent, |notice| matches!(
            notice,
            Notice::WorkerJoined { .. }
        )));
    }
}

/// Guards against a replacement that is used only with its next announcement because a single call to it was lost.
#[test]
fn replacement_is_asked_again_if_it_does_not_answer() {
    let mut agent = agent_with_run();
    agent.handle(Event::Announced(announcement(2, 1)));
    let question = calls_to(&agent, "w-2");
    agent.now += millis(60);
    agent.reply(question[0], CallOutcome::NoAnswer);
    assert_eq!(agent.ended(), []);
    agent.advance_to(millis(100));
    let question = calls_to(&agent, "w-2");
    reply(
        &mut agent,
        question[0],
        CallOutcome::LeaseRenewed(RunList::default()),
    );
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}

/// Guards against endless calls to a worker that announced itself once and never answers.
#[test]
fn replacement_that_never_answers_is_given_up() {
    let mut agent = agent_with_run();
    agent.handle(Event::Announced(announcement(2, 1)));
    let mut asked = 0;
    for elapsed in (0..2_000).step_by(20) {
        agent.now = agent.start + millis(elapsed);
        let questions = calls_to(&agent, "w-2");
        asked += questions.len();
        for call in questions {
            agent.reply(call, CallOutcome::NoAnswer);
            asked += calls_to(&agent, "w-2").len();
        }
        agent.handle(Event::Tick);
    }
    assert!((1..=4).contains(&asked), "asked {asked} times");
}

/// Guards against taking a worker at another address for the replacement of one that still answers at its own.
#[test]
fn announcement_from_another_address_waits_for_the_end_of_the_former() {
    let mut agent = Agent::ready();
    agent.start(&[attempt(0, 1)]);
    let (start, renewal) = (agent.call(is_start), agent.call(is_renewal));
    agent.reply(start, CallOutcome::Done);
    let mut other = announcement(2, 1);
    other.address = "w:2".to_owned();
    agent.handle(Event::Announced(other.clone()));
    let question = calls_to(&agent, "w-2");
    reply(
        &mut agent,
        question[0],
        CallOutcome::LeaseRenewed(RunList::default()),
    );
    assert_eq!(agent.ended(), []);
    agent.reply(renewal, CallOutcome::Unreachable);
    other.sequence = 2;
    agent.handle(Event::Announced(other));
    let question = calls_to(&agent, "w-2");
    reply(
        &mut agent,
        question[0],
        CallOutcome::LeaseRenewed(RunList::default()),
    );
    assert_eq!(agent.ended()[0].outcome, RunOutcome::Lost);
}
