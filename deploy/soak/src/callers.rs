//! Callers: submit jobs over connections that they keep, and send lost ones again at another entry.

use std::net::SocketAddr;
use std::time::Duration;

use chestnutfork_net::{Body, HttpClient, http_client};
use chestnutfork_types::JobId;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout};

use crate::dialect;
use crate::seen::{Answer, Seen};

/// Time that a caller waits for its answer.
const PATIENCE: Duration = Duration::from_millis(3_500);
/// Time after which a job without an answer is sent again.
const RESEND: Duration = Duration::from_millis(1_300);
/// Time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause between two jobs of a caller.
const LONGEST_PAUSE: Duration = Duration::from_millis(60);
/// Most tasks of a job.
const MOST_TASKS: u16 = 6;
/// One in this many jobs has a task that crashes each worker that starts it.
const CRASHING_SHARE: JobId = 80;

/// What callers submit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Traffic {
    /// All kinds of jobs.
    Mixed,
    /// Jobs that crash no worker.
    Harmless,
    /// Nothing more.
    Ended,
}

/// Job of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission {
    pub(crate) id: JobId,
    pub(crate) tasks: u16,
    pub(crate) declared: Duration,
    /// Whether its first task crashes each worker that starts it.
    pub(crate) crashes: bool,
}

impl Submission {
    fn random(rng: &mut ChaCha8Rng, traffic: Traffic) -> Self {
        let id = JobId::from(rng.random::<u64>());
        Self {
            id,
            tasks: rng.random_range(1..=MOST_TASKS),
            declared: Duration::from_millis(rng.random_range(20..200)),
            crashes: traffic == Traffic::Mixed && id.is_multiple_of(CRASHING_SHARE),
        }
    }

    /// Returns the input of its tasks: the declared time, from which workers derive theirs, the job, and the mark of one
    /// that crashes workers.
    pub(crate) fn spec(&self) -> String {
        let mark = if self.crashes { " crash" } else { "" };
        format!("{} {:016x}{mark}", self.declared.as_millis(), self.id)
    }
}

/// Sends a request and returns status and body, or nothing if no whole answer came in time.
pub(crate) async fn exchange(
    http: &HttpClient,
    request: Request<Body>,
    limit: Duration,
) -> Option<(StatusCode, Vec<u8>)> {
    let exchange = async {
        let response = http.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?;
        Some((status, body.to_bytes().to_vec()))
    };
    timeout(limit, exchange).await.ok().flatten()
}

/// Submits jobs until the traffic has ended.
pub(crate) async fn run(
    seed: u64,
    entries: Vec<SocketAddr>,
    ledger: mpsc::UnboundedSender<Seen>,
    mut traffic: watch::Receiver<Traffic>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let http = http_client(CONNECT_TIMEOUT);
    let first = rng.random_range(0..entries.len());
    loop {
        let traffic = *traffic.borrow_and_update();
        if traffic == Traffic::Ended {
            return;
        }
        let job = Submission::random(&mut rng, traffic);
        submit(job, &http, &entries, first, &ledger).await;
        sleep(LONGEST_PAUSE.mul_f64(rng.random())).await;
    }
}

async fn submit(
    job: Submission,
    http: &HttpClient,
    entries: &[SocketAddr],
    first: usize,
    ledger: &mpsc::UnboundedSender<Seen>,
) {
    // Without a ledger the soak is over; the same holds below.
    drop(ledger.send(Seen::Submitted {
        job: job.id,
        spec: job.spec(),
        tasks: job.tasks,
    }));
    let begun = Instant::now();
    for attempt in 0.. {
        let left = PATIENCE.saturating_sub(begun.elapsed());
        let entry = entries[(first + attempt) % entries.len()];
        let request = dialect::submission(entry, &job, left);
        let reply = exchange(http, request, left).await;
        let answer = reply.map(|(status, body)| dialect::answer(status, &body));
        drop(ledger.send(Seen::Answered { job: job.id, answer }));
        let unclear = matches!(answer, None | Some(Answer::Unclear));
        if !unclear || begun.elapsed() + RESEND >= PATIENCE {
            break;
        }
        sleep(RESEND).await;
    }
    drop(ledger.send(Seen::Finished { job: job.id }));
}
