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
use crate::ledger::{Answer, Seen};

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

/// Job of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission {
    pub(crate) id: JobId,
    pub(crate) tasks: u16,
    pub(crate) declared: Duration,
}

impl Submission {
    fn random(rng: &mut ChaCha8Rng) -> Self {
        Self {
            id: JobId::from(rng.random::<u64>()),
            tasks: rng.random_range(1..=MOST_TASKS),
            declared: Duration::from_millis(rng.random_range(20..200)),
        }
    }

    /// Returns the input of its tasks: the declared time, from which workers derive theirs, and the job.
    pub(crate) fn spec(&self) -> String {
        format!("{} {:016x}", self.declared.as_millis(), self.id)
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

/// Submits jobs until told to stop.
pub(crate) async fn run(
    seed: u64,
    entries: Vec<SocketAddr>,
    ledger: mpsc::UnboundedSender<Seen>,
    mut stop: watch::Receiver<bool>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let http = http_client(CONNECT_TIMEOUT);
    let first = rng.random_range(0..entries.len());
    while !*stop.borrow_and_update() {
        submit(&mut rng, &http, &entries, first, &ledger).await;
        sleep(LONGEST_PAUSE.mul_f64(rng.random())).await;
    }
}

async fn submit(
    rng: &mut ChaCha8Rng,
    http: &HttpClient,
    entries: &[SocketAddr],
    first: usize,
    ledger: &mpsc::UnboundedSender<Seen>,
) {
    let job = Submission::random(rng);
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
