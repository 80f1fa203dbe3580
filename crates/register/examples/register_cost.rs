//! Measures the memory of a recorded job, and the messages and processor time of its claim and answer.
//!
//! `register_cost [--jobs N] [--entries N] [--tasks N] [--output BYTES] [--claims-only]`
//!
//! The registers of a view run in this process, and messages between them are delivered immediately. The first entry
//! claims and answers every job. Memory is the growth of the resident set divided by jobs and entries. The outputs at
//! different replicas share no memory, as on separate machines. Runs on Linux only, because it reads
//! `/proc/self/statm`.

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

struct Cluster {
    now: Instant,
    registers: Vec<Register>,
    messages: u64,
    handling_time: Duration,
}

impl Cluster {
    fn new(entries: usize, max_records: usize) -> Self {
        let members: Vec<ProcessId> = (1..=entries as u64).collect();
        let registers = members
            .iter()
            .map(|&id| Register::builder(id).max_records(max_records).build());
        let mut cluster = Self {
            now: Instant::now(),
            registers: registers.collect(),
            messages: 0,
            handling_time: Duration::ZERO,
        };
        for index in 0..entries {
            cluster.deliver(index, Event::ViewInstalled(View::initial(1, members.clone())));
        }
        cluster
    }

    /// Handles an event at one register and delivers all resulting messages.
    fn deliver(&mut self, index: usize, event: Event) {
        let mut pending = VecDeque::from([(index, event)]);
        let mut actions = Vec::new();
        while let Some((index, event)) = pending.pop_front() {
            let started = Instant::now();
            self.registers[index].handle(self.now, WALL, event, &mut actions);
            self.handling_time += started.elapsed();
            for action in actions.drain(..) {
                if let Action::Send { peer, message } = action {
                    self.messages += 1;
                    let to = usize::try_from(peer).expect("ids are small") - 1;
                    let peer = index as u64 + 1;
                    let message = with_copied_outputs(message);
                    pending.push_back((to, Event::FromPeer { peer, message }));
                }
            }
        }
    }
}

/// Copies the outputs in a message, as encoding and decoding would.
fn with_copied_outputs(message: PeerMessage) -> PeerMessage {
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
            answer: copy_outputs(&answer),
        },
        other => other,
    }
}

fn copy_outputs(answer: &Answer) -> Answer {
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

fn parse_option(name: &str, default: usize) -> usize {
    let mut args = std::env::args().skip_while(|arg| arg != name);
    args.nth(1)
        .map_or(default, |value| value.parse().expect("a number"))
}

fn main() {
    let jobs = parse_option("--jobs", 20_000);
    let entries = parse_option("--entries", 3);
    let tasks = parse_option("--tasks", 200);
    let output = parse_option("--output", 16);
    let claims_only = std::env::args().any(|arg| arg == "--claims-only");
    let mut cluster = Cluster::new(entries, jobs + 1);
    let before = resident_bytes();
    let messages = cluster.messages;
    cluster.handling_time = Duration::ZERO;
    for number in 1..=jobs as u128 {
        let job = (WALL.as_millis() << 80) | number;
        let digest = 7;
        let at_most_once = true;
        cluster.deliver(
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
        cluster.deliver(0, Event::RecordAnswer { job, digest, answer });
    }
    let growth = resident_bytes().saturating_sub(before);
    println!(
        "entries {entries}  jobs {jobs}  tasks {tasks}  output {output} B  answers {}: {} B per job and entry, {:.2} messages and {:.2} us per job over all entries",
        !claims_only,
        growth / (jobs * entries),
        (cluster.messages - messages) as f64 / jobs as f64,
        cluster.handling_time.as_secs_f64() * 1e6 / jobs as f64,
    );
}
