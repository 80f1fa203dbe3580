//! Round trips of messages between entries and the agents of workers through their encoding.

use std::time::Duration;

use bytes::Bytes;
use chestnutfork_types::{
    AttemptKey, Demand, DemandBand, DemandSum, EndLimit, EndedRun, EntryToWorker, InterferenceReport, JobId,
    KindPair, OrderKinds, PairEvidence, RecordedAttempt, Resources, RunOutcome, StartOrder, TaskKey,
    TaskOrder, WorkerCrash, WorkerDescription, WorkerLoad, WorkerToEntry,
};
use chestnutfork_wire::{EntryToWorkerWire, WorkerToEntryWire, decode, encode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

fn key(job: JobId) -> AttemptKey {
    let task = TaskKey {
        job,
        step: 2,
        index: 3,
    };
    AttemptKey { task, attempt: 4 }
}

fn crash() -> WorkerCrash {
    WorkerCrash {
        incarnation: 3,
        worker: "w".to_owned(),
        confirmed: true,
        age: Duration::from_micros(17),
        tasks: vec![key(8).task, key(9).task],
        reporter: Some(11),
    }
}

/// Description of a worker in the form that versions without reports of crashes encode and accept.
#[derive(Debug, PartialEq, Eq, Serialize, Deserialize)]
enum FormerWorkerToEntryWire {
    #[serde(rename = "d")]
    Describe {
        #[serde(rename = "w")]
        worker: String,
        #[serde(rename = "p")]
        pool: String,
        #[serde(rename = "d")]
        failure_domain: String,
        #[serde(rename = "b")]
        labels: Vec<String>,
        #[serde(rename = "c")]
        capacity: (u64, u64, u64),
        #[serde(rename = "l")]
        leaving: bool,
    },
}

fn load() -> WorkerLoad {
    WorkerLoad {
        free: Resources {
            cpu_millis: 1,
            memory_mb: 2,
            gpus: 3,
        },
        share: Resources {
            cpu_millis: 8,
            memory_mb: 9,
            gpus: 10,
        },
        waiting: 4,
        run_time_permille: 5,
        failure_permille: 6,
        available: true,
        last_order: 7,
        demand: None,
    }
}

fn demand() -> Demand {
    let mut demand = Demand::default();
    for priority in [0, 1, 2] {
        demand.add(DemandBand {
            priority,
            jobs: 120 + priority,
            work: 130_000,
        });
    }
    demand
}

fn interference() -> InterferenceReport {
    let evidence = PairEvidence {
        pair: KindPair {
            slowed: u64::MAX - 2,
            beside: u64::MAX - 3,
        },
        log_permille: -21,
        precision: 22,
        runs: 23,
        age: Duration::from_millis(24),
    };
    InterferenceReport {
        pairs: Some(vec![evidence]),
        running: vec![(u64::MAX - 4, 25)],
    }
}

fn end_limit(heartbeat: Option<u64>) -> EndLimit {
    EndLimit {
        heartbeat,
        after: Duration::from_micros(12),
    }
}

fn recorded(job: JobId, resources: Option<Resources>) -> RecordedAttempt {
    let key = key(job);
    RecordedAttempt { key, resources }
}

/// Guards against a field that is lost or swapped in a message to an agent.
#[test]
fn entry_to_worker_round_trips() {
    let order = StartOrder {
        refuse_if_full: true,
        kinds: OrderKinds {
            tasks: vec![u64::MAX - 1],
            watched: vec![u64::MAX],
        },
        time_limit: Some(Duration::from_micros(4)),
        end_limit: Some(end_limit(Some(10))),
        report_interval: Some(Duration::from_micros(5)),
        number: 1,
        last_heartbeat: 2,
        time_to_objective: Duration::from_micros(3),
        spec: Bytes::from_static(b"spec"),
        tasks: vec![TaskOrder {
            key: key(JobId::MAX - 5),
            resources: load().free,
            declared_run_time: Duration::from_micros(9),
        }],
    };
    let messages = [
        EntryToWorker::Start(order),
        EntryToWorker::Stop(vec![key(1)]),
        EntryToWorker::HeartbeatAck(8, None),
        EntryToWorker::HeartbeatAck(8, Some(demand())),
        EntryToWorker::Reconcile {
            keep: vec![recorded(1, Some(load().free))],
            stop: vec![recorded(2, Some(load().share))],
        },
        EntryToWorker::Reconcile {
            keep: vec![recorded(1, None)],
            stop: vec![recorded(2, None)],
        },
        EntryToWorker::TimeLimits(vec![(key(1), Duration::from_micros(5))]),
        EntryToWorker::EndLimits(vec![(key(1), end_limit(Some(6))), (key(2), end_limit(None))]),
        EntryToWorker::Losses(vec![crash()]),
    ];
    for message in messages {
        let mut buf = Vec::new();
        encode(&EntryToWorkerWire::from(message.clone()), &mut buf).expect("encodes");
        let wire: EntryToWorkerWire = decode(&buf).expect("decodes");
        assert_eq!(EntryToWorker::from(wire), message);
    }
}

/// Guards against a field that is lost or swapped in a message to an entry.
#[test]
fn worker_to_entry_round_trips() {
    let description = WorkerDescription {
        worker: "w".to_owned(),
        pool: "p".to_owned(),
        failure_domain: "d".to_owned(),
        labels: vec!["a".to_owned(), "r1-1".to_owned()],
        capacity: load().free,
        leaving: true,
        stores_losses: true,
        reads_resources: true,
        reads_time_limits: true,
        reads_end_limits: true,
        reads_demand: true,
    };
    let outcomes = [
        RunOutcome::Completed,
        RunOutcome::Failed,
        RunOutcome::Stopped,
        RunOutcome::Lost,
        RunOutcome::NotStarted,
    ];
    let ended = outcomes.map(|outcome| EndedRun {
        key: key(6),
        outcome,
        run_time: Duration::from_micros(11),
    });
    let messages = [
        WorkerToEntry::Describe(description.clone(), Vec::new()),
        WorkerToEntry::Describe(description, vec![crash()]),
        WorkerToEntry::Heartbeat(12, load()),
        WorkerToEntry::Heartbeat(
            13,
            WorkerLoad {
                demand: Some(DemandSum {
                    demand: demand(),
                    age: Duration::from_micros(14),
                }),
                ..load()
            },
        ),
        WorkerToEntry::Load(load()),
        WorkerToEntry::Ended(ended.to_vec(), load()),
        WorkerToEntry::Interference(interference()),
        WorkerToEntry::Interference(InterferenceReport::default()),
    ];
    for message in messages {
        let mut buf = Vec::new();
        encode(&WorkerToEntryWire::from(message.clone()), &mut buf).expect("encodes");
        let wire: WorkerToEntryWire = decode(&buf).expect("decodes");
        assert_eq!(WorkerToEntry::from(wire), message);
    }
}

/// Guards against a report of crashes that an entry of an earlier version cannot decode, which would close its link, and
/// against an agent of an earlier version whose description cannot be decoded.
#[test]
fn describe_is_compatible_with_former_version() {
    let description = WorkerDescription {
        worker: "w".to_owned(),
        ..WorkerDescription::default()
    };
    let mut buf = Vec::new();
    let message = WorkerToEntry::Describe(description.clone(), vec![crash()]);
    encode(&WorkerToEntryWire::from(message), &mut buf).expect("encodes");
    let former: FormerWorkerToEntryWire = decode(&buf).expect("the former version decodes it");
    let mut buf = Vec::new();
    encode(&former, &mut buf).expect("encodes");
    let wire: WorkerToEntryWire = decode(&buf).expect("this version decodes the former one");
    assert_eq!(
        WorkerToEntry::from(wire),
        WorkerToEntry::Describe(description, Vec::new())
    );
}

/// Decodes variants of an encoded message, each with one byte replaced or the end missing, and converts what can be decoded.
fn decode_variants<W, M>(message: M)
where
    W: From<M> + Into<M> + Serialize + DeserializeOwned,
{
    let mut buf = Vec::new();
    encode(&W::from(message), &mut buf).expect("encodes");
    for at in 0..buf.len() {
        // Any result is fine; the receiver closes the link on an error.
        let _ = decode::<W>(&buf[..at]);
        let original = buf[at];
        for byte in 0..=u8::MAX {
            buf[at] = byte;
            if let Ok(wire) = decode::<W>(&buf) {
                let _: M = wire.into();
            }
        }
        buf[at] = original;
    }
}

/// Guards against a process that one malformed message between entries and agents ends.
#[test]
fn decode_malformed_message_does_not_panic() {
    decode_variants::<EntryToWorkerWire, _>(EntryToWorker::Stop(vec![key(1)]));
    decode_variants::<EntryToWorkerWire, _>(EntryToWorker::Losses(vec![crash()]));
    decode_variants::<EntryToWorkerWire, _>(EntryToWorker::HeartbeatAck(8, Some(demand())));
    decode_variants::<WorkerToEntryWire, _>(WorkerToEntry::Heartbeat(12, load()));
    let description = WorkerDescription {
        worker: "w".to_owned(),
        ..WorkerDescription::default()
    };
    decode_variants::<WorkerToEntryWire, _>(WorkerToEntry::Describe(description, vec![crash()]));
}

/// Guards against messages that an entry or agent of an earlier version cannot read, although the sender states no demand, and
/// against demand that takes more than a few bytes of an entry's link.
#[test]
fn demand_adds_few_bytes_and_only_where_stated() {
    let size = |message: EntryToWorker| {
        let mut buf = Vec::new();
        encode(&EntryToWorkerWire::from(message), &mut buf).expect("encodes");
        buf
    };
    let plain = size(EntryToWorker::HeartbeatAck(100_000, None));
    assert_eq!(
        decode::<EntryToWorkerWire>(&plain).expect("decodes"),
        EntryToWorkerWire::HeartbeatAck(100_000)
    );
    let stated = size(EntryToWorker::HeartbeatAck(100_000, Some(demand())));
    // Three bands of at most 10 bytes each.
    assert!(
        stated.len() <= plain.len() + 32,
        "{} > {}",
        stated.len(),
        plain.len()
    );
}

/// Guards against a report of interference that takes a noticeable part of an entry's link: the largest one that an agent sends,
/// and one of a deployment with one interfering pair.
#[test]
fn interference_report_is_small() {
    let report = |pairs: u64, kinds: u64| {
        let evidence = (0..pairs).map(|pair| PairEvidence {
            pair: KindPair {
                slowed: u64::MAX - pair,
                beside: u64::MAX / 2 - pair,
            },
            ..interference().pairs.expect("pairs")[0]
        });
        let report = InterferenceReport {
            pairs: Some(evidence.collect()),
            running: (0..kinds).map(|kind| (u64::MAX - kind, 40)).collect(),
        };
        let mut buf = Vec::new();
        encode(
            &WorkerToEntryWire::from(WorkerToEntry::Interference(report)),
            &mut buf,
        )
        .expect("encodes");
        buf.len()
    };
    let (largest, usual) = (report(24, 16), report(2, 2));
    println!(
        "largest {largest} bytes, usual {usual} bytes, without pairs {}",
        report(0, 2)
    );
    assert!(largest <= 1_024, "{largest} bytes");
    assert!(usual <= 128, "{usual} bytes");
}
