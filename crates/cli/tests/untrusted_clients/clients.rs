//! Clients that send a part of a request and keep their connection open, or send it slowly.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Longest time for which a client waits until the server takes more bytes; it then keeps the connection open.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pieces after which a slow client counts as established.
const ESTABLISHED_PIECES: usize = 5;

/// Part of a request that a client sends, and how.
#[derive(Clone, Debug)]
pub(crate) struct Pattern {
    pub(crate) head: String,
    pub(crate) content: Arc<[u8]>,
    /// Bytes of each write; the client pauses between two writes.
    pub(crate) piece: usize,
    /// Whether the server answers the head before the content is sent.
    pub(crate) answers_head: bool,
}

impl Pattern {
    pub(crate) fn whole(head: String, content: Vec<u8>) -> Self {
        let piece = content.len().max(1);
        Self::piecewise(head, content).in_pieces_of(piece)
    }

    pub(crate) fn piecewise(head: String, content: Vec<u8>) -> Self {
        Self {
            head,
            content: content.into(),
            piece: 16 * 1024,
            answers_head: false,
        }
    }

    pub(crate) fn in_pieces_of(self, piece: usize) -> Self {
        Self { piece, ..self }
    }
}

/// Sends a pattern and returns the connection, unless the server closed it.
pub(crate) async fn send(address: SocketAddr, pattern: Pattern) -> Option<TcpStream> {
    let mut stream = timeout(WRITE_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    stream.write_all(pattern.head.as_bytes()).await.ok()?;
    if pattern.answers_head {
        let answer = timeout(WRITE_TIMEOUT, stream.read(&mut [0; 1_024])).await;
        answer.ok()?.ok()?;
    }
    for piece in pattern.content.chunks(pattern.piece) {
        match timeout(WRITE_TIMEOUT, stream.write_all(piece)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) => return None,
            Err(_) => break,
        }
        sleep(Duration::from_millis(1)).await;
    }
    Some(stream)
}

/// Sends a pattern with a pause between two pieces until the server closes the connection. Calls `established` when the
/// connection has carried a few pieces or has been closed.
pub(crate) async fn send_slowly(
    address: SocketAddr,
    pattern: Pattern,
    pause: Duration,
    established: impl FnOnce(),
) {
    let mut established = Some(established);
    if let Ok(mut stream) = TcpStream::connect(address).await
        && stream.write_all(pattern.head.as_bytes()).await.is_ok()
    {
        let mut pieces = pattern.content.chunks(pattern.piece).enumerate();
        while let Some((sent, piece)) = pieces.next()
            && stream.write_all(piece).await.is_ok()
        {
            if sent >= ESTABLISHED_PIECES
                && let Some(established) = established.take()
            {
                established();
            }
            sleep(pause).await;
        }
    }
    if let Some(established) = established {
        established();
    }
}

/// Returns the head of a request with a body of declared length.
pub(crate) fn head(line: &str, length: usize) -> String {
    format!("{line} HTTP/1.1\r\nhost: jobs\r\ncontent-length: {length}\r\n\r\n")
}

/// Returns the head of a request with a chunked body.
pub(crate) fn chunked_head(line: &str) -> String {
    format!("{line} HTTP/1.1\r\nhost: jobs\r\ntransfer-encoding: chunked\r\n\r\n")
}

/// Returns a body that lacks its last byte.
pub(crate) fn short_body(length: usize) -> Vec<u8> {
    vec![b' '; length - 1]
}

/// Returns the chunks of a body without the last chunk.
pub(crate) fn chunks(count: usize, length: usize) -> Vec<u8> {
    let mut chunk = format!("{length:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + length, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk.repeat(count)
}
