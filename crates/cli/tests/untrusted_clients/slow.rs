//! Clients whose bodies arrive a byte at a time, so that every connection makes some progress.

use std::time::Duration;

use crate::clients::{Pattern, chunked_head, head};
use crate::server::{FleetRole, Server};
use crate::{CALLER_BODY_BYTES, LARGE_BODY_BYTES};

/// More clients than a process with the descriptors of these tests has connections for.
const CLIENTS: usize = 300;
/// Pause between two bytes of a client. The longest silence of a connection stays far below any time limit.
const PAUSE: Duration = Duration::from_millis(100);

/// A body of which one byte arrives at a time.
fn slow_body(line: &str, length: usize) -> Pattern {
    Pattern::whole(head(line, length), vec![b' '; length - 1]).in_pieces_of(1)
}

/// Chunks of one byte that arrive one at a time.
fn slow_chunks(line: &str) -> Pattern {
    let content = b"1\r\n \r\n".repeat(CALLER_BODY_BYTES);
    Pattern::whole(chunked_head(line), content).in_pieces_of(6)
}

/// Guards against connections that are kept because of a byte of progress, while new callers are turned away.
#[tokio::test]
async fn fleet_entry_serves_beside_slow_bodies() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = slow_body("POST /jobs/", CALLER_BODY_BYTES);
    server.serves_beside(CLIENTS, &pattern, PAUSE).await;
}

/// Guards against the same fault when the bytes arrive as chunks.
#[tokio::test]
async fn fleet_entry_serves_beside_slow_chunks() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = slow_chunks("POST /jobs/");
    server.serves_beside(CLIENTS, &pattern, PAUSE).await;
}

/// Guards against heartbeats that are lost because slow clients hold all connections of an agent.
#[tokio::test]
async fn fleet_agent_serves_beside_slow_bodies() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let pattern = slow_body("PUT /instances/worker-1", LARGE_BODY_BYTES);
    server.serves_beside(CLIENTS, &pattern, PAUSE).await;
}

/// Guards against configurations that cannot be sent because slow clients hold all connections of a control process.
#[tokio::test]
async fn fleet_control_serves_beside_slow_bodies() {
    let mut server = Server::fleet(FleetRole::Control).await;
    let pattern = slow_body("PUT /config", LARGE_BODY_BYTES);
    server.serves_beside(CLIENTS, &pattern, PAUSE).await;
}
