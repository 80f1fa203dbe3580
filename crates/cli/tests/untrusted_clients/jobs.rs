//! Clients that submit whole jobs within the limits, each with the largest state that its size permits.

use crate::clients::Pattern;
use crate::server::Server;

/// Job of 8 KiB with 1,024 tasks, the most that an entry accepts, that waits for a worker.
const LARGEST_JOB: &str = include_str!("../../../../platform/tests/fixtures/largest_job.json");
/// Fewer clients than the process has connections for, so that it accepts each of them.
const CLIENTS: usize = 120;

fn largest_job(number: usize) -> Pattern {
    let length = LARGEST_JOB.len();
    let head = format!(
        "POST /jobs/{number:016x} HTTP/1.1\r\nhost: jobs\r\ndeadline-ms: 600000\r\ncontent-length: {length}\r\n\r\n"
    );
    Pattern::whole(head, LARGEST_JOB.into())
}

/// Guards against accepted jobs whose tasks take a multiple of the bytes that the caller sent.
#[tokio::test]
async fn fleet_entry_withstands_accepted_jobs() {
    let mut server = Server::fleet_entry_with_routes().await;
    let jobs = (0..CLIENTS).map(largest_job);
    server.withstands_each(server.address, jobs.collect()).await;
}
