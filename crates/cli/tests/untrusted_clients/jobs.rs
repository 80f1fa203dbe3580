//! Clients that submit whole jobs within the limits, each with the largest state that its size permits.

use crate::clients::Pattern;
use crate::server::Server;

/// Largest body of a job here.
const BODY_BYTES: usize = 8 * 1024;
/// Tasks of a job, the most that an entry accepts.
const TASKS: usize = 1_024;
/// Fewer clients than the process has connections for, so that it accepts each of them.
const CLIENTS: usize = 120;

/// A job with many steps and tasks that waits for a worker.
fn largest_job(number: usize) -> Pattern {
    let step = r#"{"count":1},"#;
    let waiting =
        |tasks: usize| format!(r#"{{"best_effort":true,"steps":[{{"count":{tasks},"estimate_ms":600000}}"#);
    let steps = (BODY_BYTES - waiting(TASKS).len() - 2) / step.len();
    let body = format!(
        "{},{}]}}",
        waiting(TASKS - steps),
        step.repeat(steps).trim_end_matches(',')
    );
    let length = body.len();
    let head = format!(
        "POST /jobs/{number:016x} HTTP/1.1\r\nhost: jobs\r\ndeadline-ms: 600000\r\ncontent-length: {length}\r\n\r\n"
    );
    Pattern::whole(head, body.into_bytes())
}

/// Guards against accepted jobs whose tasks take a multiple of the bytes that the caller sent.
#[tokio::test]
async fn fleet_entry_withstands_accepted_jobs() {
    let mut server = Server::fleet_entry_with_routes().await;
    let jobs = (0..CLIENTS).map(largest_job);
    server.withstands_each(server.address, jobs.collect()).await;
}
