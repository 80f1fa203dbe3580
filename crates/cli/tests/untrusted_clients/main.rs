//! Clients outside the limits against real processes on loopback.
//!
//! Each test starts one process, lets a fixed number of clients send one pattern of requests that never complete, and
//! checks only that the process is alive, that its peak memory and its open descriptors stay under the bounds of its
//! settings, and that one ordinary request is answered afterwards. The clients keep their connections open until then.
//! The clients in [`slow`] still send when the ordinary request is made.

mod clients;
mod jobs;
mod server;
mod slow;

use clients::{Pattern, chunked_head, chunks, head, short_body};
use server::{FleetRole, Server};

/// Largest legal body of callers, and of heartbeats and configurations, in bytes.
const CALLER_BODY_BYTES: usize = 262_144;
const LARGE_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Largest legal body of an entry with default settings.
const DEFAULT_BODY_BYTES: usize = 8 * 1024 * 1024;
/// Head or empty lines that a client sends without an end, beyond any limit on heads.
const ENDLESS_HEAD_BYTES: usize = 1024 * 1024;
/// Largest message on a link, which only an authenticated process may send.
const LINK_MESSAGE_BYTES: usize = 32 * 1024 * 1024;

/// Clients whose single request is small.
const MANY_CLIENTS: usize = 300;
/// Clients with bodies of 4 MiB.
const LARGE_BODY_CLIENTS: usize = 24;
/// Clients with bodies of 8 MiB.
const DEFAULT_BODY_CLIENTS: usize = 60;
/// Clients with chunks of one byte, and the number of chunks of each.
const TINY_CHUNK_CLIENTS: usize = 40;
const TINY_CHUNKS: usize = 120_000;
/// Clients with unauthenticated messages on the port for links.
const LINK_CLIENTS: usize = 6;

/// Head fields without an end.
fn endless_head() -> Pattern {
    let field = b"x-field: 0123456789012345678901234567890123456789012345678901234567890123456789\r\n";
    let content = field.repeat(ENDLESS_HEAD_BYTES / field.len());
    Pattern::piecewise("POST /jobs/ HTTP/1.1\r\n".to_owned(), content)
}

/// One head field without an end.
fn endless_field() -> Pattern {
    let head = "POST /jobs/ HTTP/1.1\r\nx-field: ".to_owned();
    Pattern::whole(head, vec![b'x'; ENDLESS_HEAD_BYTES])
}

fn empty_lines() -> Pattern {
    Pattern::piecewise(String::new(), b"\r\n".repeat(ENDLESS_HEAD_BYTES / 2))
}

/// Guards against heads without an end that are buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_endless_heads() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &endless_head())
        .await;
}

/// Guards against a head field over the limit that is buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_oversized_heads() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &endless_field())
        .await;
}

/// Guards against empty lines before a request that are buffered on each connection.
#[tokio::test]
async fn fleet_entry_withstands_empty_lines() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    server
        .withstands(server.address, MANY_CLIENTS, &empty_lines())
        .await;
}

/// Guards against bodies of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_entry_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(
        head("POST /jobs/", CALLER_BODY_BYTES),
        short_body(CALLER_BODY_BYTES),
    );
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against the same fault when every body grows slowly.
#[tokio::test]
async fn fleet_entry_withstands_piecewise_bodies() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::piecewise(
        head("POST /jobs/", CALLER_BODY_BYTES),
        short_body(CALLER_BODY_BYTES),
    );
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against chunked bodies, whose size is not declared, that are buffered without regard to each other.
#[tokio::test]
async fn fleet_entry_withstands_large_chunks() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(chunked_head("POST /jobs/"), chunks(3, 65_536));
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against small chunks that each keep more memory allocated than they have bytes.
#[tokio::test]
async fn fleet_entry_withstands_tiny_chunks() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::piecewise(chunked_head("POST /jobs/"), chunks(TINY_CHUNKS, 1));
    server
        .withstands(server.address, TINY_CHUNK_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors.
#[tokio::test]
async fn fleet_entry_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against messages from processes without the cluster secret that are buffered up to the limit of links.
#[tokio::test]
async fn fleet_entry_withstands_unauthenticated_messages() {
    let mut server = Server::fleet(FleetRole::Entry).await;
    let upgrade = "GET / HTTP/1.1\r\nhost: jobs\r\nupgrade: websocket\r\nconnection: upgrade\r\n\
        sec-websocket-version: 13\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    let mut frame = vec![0x82, 0xff];
    frame.extend_from_slice(&(LINK_MESSAGE_BYTES as u64).to_be_bytes());
    frame.resize(frame.len() + LINK_MESSAGE_BYTES, 0);
    let pattern = Pattern {
        head: upgrade.to_owned(),
        content: frame.into(),
        piece: 1024 * 1024,
        answers_head: true,
    };
    server.withstands(server.links, LINK_CLIENTS, &pattern).await;
}

/// Guards against heartbeats of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_agent_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let line = "PUT /instances/worker-1";
    let pattern = Pattern::whole(head(line, LARGE_BODY_BYTES), short_body(LARGE_BODY_BYTES));
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against chunked heartbeats that are buffered without regard to each other.
#[tokio::test]
async fn fleet_agent_withstands_large_chunks() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let pattern = Pattern::whole(chunked_head("PUT /instances/worker-1"), chunks(63, 65_536));
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors of an agent.
#[tokio::test]
async fn fleet_agent_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Agent).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against configurations of legal size that are each buffered without regard to the others.
#[tokio::test]
async fn fleet_control_withstands_whole_bodies() {
    let mut server = Server::fleet(FleetRole::Control).await;
    let pattern = Pattern::whole(
        head("PUT /config", LARGE_BODY_BYTES),
        short_body(LARGE_BODY_BYTES),
    );
    server
        .withstands(server.address, LARGE_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against open connections without a request that use up the descriptors of a control process.
#[tokio::test]
async fn fleet_control_withstands_open_connections() {
    let mut server = Server::fleet(FleetRole::Control).await;
    let pattern = Pattern::whole(String::new(), Vec::new());
    server.withstands(server.address, MANY_CLIENTS, &pattern).await;
}

/// Guards against bodies of callers without a token that are buffered before the caller is authenticated.
#[tokio::test]
async fn entry_withstands_whole_bodies() {
    let mut server = Server::entry().await;
    let line = "POST /v1/services/desk/jobs";
    let pattern = Pattern::whole(head(line, DEFAULT_BODY_BYTES), short_body(DEFAULT_BODY_BYTES));
    server
        .withstands(server.address, DEFAULT_BODY_CLIENTS, &pattern)
        .await;
}

/// Guards against chunked bodies of callers without a token that are buffered before the caller is authenticated.
#[tokio::test]
async fn entry_withstands_large_chunks() {
    let mut server = Server::entry().await;
    let pattern = Pattern::whole(chunked_head("POST /v1/services/desk/jobs"), chunks(127, 65_536));
    server
        .withstands(server.address, DEFAULT_BODY_CLIENTS, &pattern)
        .await;
}
