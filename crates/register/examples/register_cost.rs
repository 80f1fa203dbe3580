//! Memory of a remembered job, and messages and processor time of its claim and answer.
//!
//! `register_cost [--jobs N] [--entries N] [--tasks N] [--output BYTES] [--claims-only]`
//!
//! The registers of a view run in this process and deliver each other's messages at once. Every job is claimed and
//! answered by the first entry. Memory is the growth of the resident set divided by jobs and entries; outputs of the
//! replicas share no memory, as on separate machines. Linux only, because it reads `/proc/self/statm`.

#![expect(
    clippy::cast_precision_loss,
    reason = "printed figures are far below the precision of f64"
)]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use chestnutfork_register::{Action, Event, PeerMessage, Register, View};
use chestnutfork_types::{Answer, ProcessId, TaskStatus};

const WALL: Duration = Duration::from_secs(1_700_000_000);
const PAGE_BYTES: usize = 4096;

struct Group {
    now: Instant,
    registers: Vec<Register>,
    messages: u64,
    spent: Duration,
}

impl Group {
    fn new(entries: usize, max_records: usize) -> Self {
        let members: Vec<ProcessId> = (1..=entries as u64).collect();
        let registers = members
            .iter()
            .map(|&id| Register::builder(id).max_records(max_records).build());
        let mut group = Self {
            now: Instant::now(),
            registers: registers.collect(),
            messages: 0,
            spent: Duration::ZERO,
        };
        for at in 0..entries {
            group.run(at, Event::ViewInstalled(View::initial(1, members.clone())));
        }
        group
    }

    /// Runs an event at one register and delivers all messages that follow from it.
    fn run(&mut self, at: usize, event: Event) {
        let mut pending = VecDeque::from([(at, event)]);
        let mut actions = Vec::new();
        while let Some((at, event)) = pending.pop_front() {
            let started = Instant::now();
            self.registers[at].handle(self.now, WALL, event, &mut actions);
            self.spent += started.elapsed();
            for action in actions.drain(..) {
                if let Action::Send { peer, message } = action {
                    self.messages += 1;
                    let to = usize::try_from(peer).expect("ids are small") - 1;
                    let peer = at as u64 + 1;
                    let message = unshared(message);
                    pending.push_back((to, Event::FromPeer { peer, message }));
                }
            }
        }
    }
}

/// Copies the outputs of a message, as its way over a link does.
fn unshared(message: PeerMessage) -> PeerMessage {
    match message {
        PeerMessage::Accept {
            view,
            job,
            digest,
            owner,
            ballot,
            answer,
        } => PeerMessage::Accept {
            view,
            job,
            digest,
            owner,
            ballot,
            answer: copy(&answer),
        },
        other => other,
    }
}

fn copy(answer: &Answer) -> Answer {
    let tasks = answer.tasks.iter().map(|task| match task {
        TaskStatus::Completed { output } => TaskStatus::Completed {
            output: output.to_vec().into(),
        },
        other => other.clone(),
    });
    Answer::new(answer.job, tasks.collect())
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the system is Linux");
    let pages: usize = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .expect("statm has a resident size");
    pages * PAGE_BYTES
}

fn option(name: &str, default: usize) -> usize {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .map_or(default, |value| value.parse().expect("a number"))
}

fn main() {
    let jobs = option("--jobs", 20_000);
    let entries = option("--entries", 3);
    let tasks = option("--tasks", 200);
    let output = option("--output", 16);
    let claims_only = std::env::args().any(|arg| arg == "--claims-only");
    let mut group = Group::new(entries, jobs + 1);
    let before = resident_bytes();
    let messages = group.messages;
    group.spent = Duration::ZERO;
    for number in 1..=jobs as u128 {
        let job = (WALL.as_millis() << 80) | number;
        let digest = 7;
        let at_most_once = true;
        group.run(
            0,
            Event::Claim {
                job,
                digest,
                at_most_once,
            },
        );
        if claims_only {
            continue;
        }
        let statuses = (0..tasks).map(|_| TaskStatus::Completed {
            output: vec![b'x'; output].into(),
        });
        let answer = Answer::new(job, statuses.collect());
        group.run(0, Event::RecordAnswer { job, digest, answer });
    }
    let grown = resident_bytes().saturating_sub(before);
    println!(
        "entries {entries}  jobs {jobs}  tasks {tasks}  output {output} B  answers {}: {} B per job and entry, {:.2} messages and {:.2} us per job over all entries",
        !claims_only,
        grown / (jobs * entries),
        (group.messages - messages) as f64 / jobs as f64,
        group.spent.as_secs_f64() * 1e6 / jobs as f64,
    );
}
