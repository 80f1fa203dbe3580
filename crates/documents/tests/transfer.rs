//! Tests of the transfer of documents over simulated links.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutfork_documents::{Document, FetchAction, Fetcher, Part, Publisher, parts};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Time without a part after which a fetcher requests the rest from another control process.
const PART_TIMEOUT: Duration = Duration::from_secs(1);

fn document(version: u64, bytes: usize) -> Document {
    let byte = u8::try_from(version % 251).unwrap();
    let content = Bytes::from(vec![byte; bytes]);
    Document { version, content }
}

fn request(link: u64, version: u64, offset: u64) -> FetchAction {
    FetchAction::Request {
        link,
        version,
        offset,
    }
}

/// Control processes that all have the same documents, and a fetcher with a link to each.
struct Deployment {
    now: Instant,
    newest: Document,
    publishers: Vec<Publisher>,
    fetcher: Fetcher,
    /// Requests that no control process has answered yet.
    requests: Vec<(u64, u64, u64)>,
    /// Parts on their way, with their links.
    parts: VecDeque<(u64, Part)>,
    delivered: Vec<(Document, Duration)>,
    received_bytes: usize,
}

impl Deployment {
    fn new(links: u64) -> Self {
        let publisher = |link| {
            let mut publisher = Publisher::default();
            publisher.watch(link);
            publisher
        };
        Self {
            now: Instant::now(),
            newest: document(0, 0),
            publishers: (0..links).map(publisher).collect(),
            fetcher: Fetcher::default(),
            requests: Vec::new(),
            parts: VecDeque::new(),
            delivered: Vec::new(),
            received_bytes: 0,
        }
    }

    fn publish(&mut self, version: u64, bytes: usize) {
        self.newest = document(version, bytes);
        for publisher in 0..self.publishers.len() {
            self.announce(publisher);
        }
    }

    fn announce(&mut self, publisher: usize) {
        for link in self.publishers[publisher].announce(self.newest.version) {
            let mut actions = Vec::new();
            self.fetcher
                .on_announced(self.now, link, self.newest.version, &mut actions);
            self.execute(actions);
        }
    }

    fn execute(&mut self, actions: Vec<FetchAction>) {
        for action in actions {
            match action {
                FetchAction::Request {
                    link,
                    version,
                    offset,
                } => self.requests.push((link, version, offset)),
                FetchAction::Deliver { document, behind } => self.delivered.push((document, behind)),
            }
        }
    }

    /// Answers the oldest request, if there is one.
    fn answer(&mut self) {
        if !self.requests.is_empty() {
            let (link, version, offset) = self.requests.remove(0);
            let answer = parts(&self.newest, version, offset);
            self.parts.extend(answer.map(|part| (link, part)));
        }
    }

    /// Passes on the oldest part and returns whether there was one.
    fn receive(&mut self) -> bool {
        let Some((link, part)) = self.parts.pop_front() else {
            return false;
        };
        self.received_bytes += part.content.len();
        let mut actions = Vec::new();
        self.fetcher.on_part(self.now, link, &part, &mut actions);
        self.execute(actions);
        true
    }

    fn answer_all(&mut self) {
        while !(self.requests.is_empty() && self.parts.is_empty()) {
            self.answer();
            while self.receive() {}
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        let mut actions = Vec::new();
        self.fetcher.on_tick(self.now, &mut actions);
        self.execute(actions);
    }

    /// Closes a link and opens it again, which announces the newest version on it.
    fn reopen(&mut self, link: u64) {
        let publisher = usize::try_from(link).unwrap();
        self.requests.retain(|request| request.0 != link);
        self.parts.retain(|part| part.0 != link);
        self.publishers[publisher].remove(link);
        let mut actions = Vec::new();
        self.fetcher.on_closed(self.now, link, &mut actions);
        self.execute(actions);
        self.publishers[publisher].watch(link);
        self.announce(publisher);
    }

    fn delivered_versions(&self) -> Vec<u64> {
        self.delivered
            .iter()
            .map(|(document, _)| document.version)
            .collect()
    }
}

/// Guards against a document that is fetched from every control process, which multiplies the traffic of a slow link.
#[test]
fn announced_version_is_fetched_once() {
    let mut deployment = Deployment::new(5);
    deployment.publish(1, 300_000);
    deployment.answer_all();
    assert_eq!(deployment.delivered_versions(), [1]);
    assert_eq!(deployment.received_bytes, 300_000);
}

/// Guards against a delay that grows with the number of changes: versions that are superseded during a transfer are skipped.
#[test]
fn superseded_versions_are_skipped() {
    let mut deployment = Deployment::new(5);
    deployment.publish(1, 300_000);
    deployment.answer();
    for version in 2..=40 {
        deployment.publish(version, 300_000);
    }
    assert_eq!(deployment.requests, []);
    deployment.answer_all();
    assert_eq!(deployment.delivered_versions(), [1, 40]);
    assert_eq!(deployment.received_bytes, 600_000);
}

/// Guards against an entry that stays behind because its only source does not answer while others have the version.
#[test]
fn overdue_part_is_requested_from_other_source() {
    let mut deployment = Deployment::new(2);
    deployment.publish(1, 300_000);
    let (link, version, _) = deployment.requests[0];
    deployment.answer();
    assert!(deployment.receive());
    deployment.parts.clear();
    deployment.advance(PART_TIMEOUT);
    let (other, same_version, offset) = deployment.requests[0];
    assert_ne!(other, link);
    assert_eq!((same_version, offset), (version, 65_536));
    deployment.answer_all();
    assert_eq!(deployment.delivered[0].0, document(1, 300_000));
    assert_eq!(deployment.received_bytes, 300_000);
}

/// Guards against a slow entry that never completes a document, because it discards what arrives after it has asked another
/// control process.
#[test]
fn late_parts_of_former_source_count() {
    let mut deployment = Deployment::new(2);
    deployment.publish(1, 300_000);
    deployment.answer();
    for _ in 0..4 {
        deployment.advance(PART_TIMEOUT);
        assert!(deployment.receive());
    }
    deployment.advance(PART_TIMEOUT);
    assert!(deployment.receive());
    assert_eq!(deployment.delivered_versions(), [1]);
}

/// Guards against an entry that follows a control process that is behind, and ignores a newer version of another one.
#[test]
fn newest_announced_version_is_chosen() {
    let mut fetcher = Fetcher::default();
    let (now, mut actions) = (Instant::now(), Vec::new());
    fetcher.on_announced(now, 1, 3, &mut actions);
    fetcher.on_announced(now, 2, 9, &mut actions);
    fetcher.on_closed(now, 1, &mut actions);
    let part = Part {
        version: 9,
        total: 4,
        offset: 0,
        content: Bytes::from_static(b"nine"),
    };
    fetcher.on_part(now, 2, &part, &mut actions);
    fetcher.on_announced(now, 3, 8, &mut actions);
    let delivered = FetchAction::Deliver {
        document: Document {
            version: 9,
            content: part.content,
        },
        behind: Duration::ZERO,
    };
    assert_eq!(actions, [request(1, 3, 0), request(2, 9, 0), delivered]);
}

/// Guards against a part of a superseded document that is taken as one of the current document.
#[test]
fn part_of_other_version_is_ignored() {
    let mut deployment = Deployment::new(2);
    deployment.publish(1, 100_000);
    deployment.answer();
    assert!(deployment.receive());
    deployment.publish(2, 100_000);
    deployment.advance(PART_TIMEOUT);
    deployment.answer();
    let (link, late) = deployment.parts.pop_front().expect("the last part of version 1");
    deployment.parts.insert(1, (link, late));
    deployment.answer_all();
    assert_eq!(deployment.delivered[0].0, document(2, 100_000));
}

/// Guards against a delay that the log does not show: the time counts from the oldest version that was superseded.
#[test]
fn deliver_states_time_since_oldest_superseded_version() {
    let mut deployment = Deployment::new(1);
    deployment.publish(1, 100_000);
    deployment.answer();
    deployment.advance(Duration::from_millis(100));
    deployment.publish(2, 100);
    deployment.advance(Duration::from_millis(100));
    deployment.publish(3, 100);
    deployment.advance(Duration::from_millis(100));
    deployment.answer_all();
    let behind: Vec<u128> = deployment
        .delivered
        .iter()
        .map(|(_, behind)| behind.as_millis())
        .collect();
    assert_eq!(
        (deployment.delivered_versions(), behind),
        (vec![1, 3], vec![300, 200])
    );
}

/// Guards against an overflow at the highest version that an operator can assign.
#[test]
fn highest_version_is_delivered() {
    let mut deployment = Deployment::new(1);
    deployment.publish(u64::MAX, 10);
    deployment.answer_all();
    assert_eq!(deployment.delivered_versions(), [u64::MAX]);
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Publish { bytes: u16 },
    Answer,
    Receive,
    LoseRequest,
    LosePart,
    Reopen { link: u8 },
    Wait { millis: u16 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 12 {
            0 | 1 => Self::Publish {
                bytes: u16::arbitrary(g),
            },
            2..=4 => Self::Answer,
            5..=7 => Self::Receive,
            8 => Self::LoseRequest,
            9 => Self::LosePart,
            10 => Self::Reopen {
                link: u8::arbitrary(g) % 3,
            },
            _ => Self::Wait {
                millis: u16::arbitrary(g) % 1_500,
            },
        }
    }
}

/// Guards against documents that are delivered damaged, out of order or not at all, whatever is lost on the links.
#[test]
fn transfer_delivers_newest_document_under_losses() {
    fn property(steps: Vec<Step>) -> bool {
        let mut deployment = Deployment::new(3);
        let mut version = 0;
        let mut published = vec![document(0, 0)];
        for step in steps {
            match step {
                Step::Publish { bytes } => {
                    version += 1;
                    deployment.publish(version, usize::from(bytes) * 4);
                    published.push(deployment.newest.clone());
                }
                Step::Answer => deployment.answer(),
                Step::Receive => {
                    deployment.receive();
                }
                Step::LoseRequest => {
                    deployment.requests.pop();
                }
                Step::LosePart => {
                    deployment.parts.pop_back();
                }
                Step::Reopen { link } => deployment.reopen(u64::from(link)),
                Step::Wait { millis } => deployment.advance(Duration::from_millis(u64::from(millis))),
            }
        }
        for _ in 0..4 {
            deployment.answer_all();
            deployment.advance(PART_TIMEOUT);
        }
        let versions = deployment.delivered_versions();
        let intact = deployment
            .delivered
            .iter()
            .all(|(document, _)| published.contains(document));
        let newest = versions.last().copied().unwrap_or(0) == version;
        intact && newest && versions.is_sorted_by(|a, b| a < b)
    }
    QuickCheck::new().quickcheck(property as fn(Vec<Step>) -> bool);
}
