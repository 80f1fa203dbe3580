//! Authenticated connection with batching, heartbeats and detection of unresponsive peers.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::{Role as SocketRole, WebSocketConfig};
use tokio_tungstenite::tungstenite::{self, Message};

use chestnutfork_events::{LinkEvent, emit};
use chestnutfork_wire::{CodecError, PROTOCOL_VERSION, decode_frame, encode};

use crate::handshake::MAX_HANDSHAKE_BYTES;
use crate::identity::Identity;
use crate::metrics::Metrics;
use crate::timing::LinkTiming;

/// Random ID of a session of a link within this process.
pub type LinkId = u64;

/// Capacity of the send queue in messages; a link whose queue overflows is closed.
const SEND_QUEUE_LIMIT: usize = 65_536;
/// Maximum number of messages taken from the send queue at once.
const BATCH_LIMIT: usize = 256;
/// Size at which a frame is sent even if more messages are queued.
const FRAME_TARGET_BYTES: usize = 256 * 1024;
/// Largest accepted frame; it must fit the largest single message, which is a job's answer.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Size of the read buffer of a link. The buffer is allocated in full when the link opens, and an entry has a link to
/// every agent, so the library's default of 128 KiB would take 138 MiB with 1,100 agents.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Number of bytes after which the metrics of a link are updated.
const METRICS_UPDATE_BYTES: usize = 16 * 1024;

/// Returns the configuration of the WebSocket connection of a link.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Returns the configuration of the WebSocket connection until the peer is authenticated: a larger message fails as soon
/// as its header has arrived.
pub(crate) fn handshake_config() -> WebSocketConfig {
    socket_config()
        .max_message_size(Some(MAX_HANDSHAKE_BYTES))
        .max_frame_size(Some(MAX_HANDSHAKE_BYTES))
}

/// Raises the limit on messages of an accepted connection to that of an authenticated link.
///
/// The connection has no unread bytes: after its proof, the peer sends nothing until it has received the welcome, which
/// has just been sent.
pub(crate) async fn allow_link_messages(socket: WebSocketStream<TcpStream>) -> WebSocketStream<TcpStream> {
    let config = Some(socket_config());
    WebSocketStream::from_raw_socket(socket.into_inner(), SocketRole::Server, config).await
}

/// Reason why a link could not be opened or was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The peer closed the connection.
    #[error("the peer closed the connection; the dialling side reconnects if the link is still needed")]
    Closed,
    /// Connecting, receiving or sending exceeded its time limit.
    #[error("the peer did not respond within the time limit; the dialling side reconnects")]
    TimedOut,
    /// The peer read too slowly, so the send queue is full.
    #[error("more than {SEND_QUEUE_LIMIT} messages are queued for the peer; check why it reads too slowly")]
    SendQueueFull,
    /// The peer did not prove that it has the cluster secret.
    #[error("the peer did not prove the cluster secret; set the same `cluster_secret` on both sides")]
    Unauthenticated,
    /// The peer has another role than expected.
    #[error("the peer has the role {role}; check the address in the settings")]
    WrongRole {
        /// Role that the peer claimed.
        role: &'static str,
    },
    /// The peer runs another protocol version.
    #[error(
        "the peer uses protocol version {peer_version}, this process version {PROTOCOL_VERSION}; upgrade the older one"
    )]
    Version {
        /// Protocol version of the peer.
        peer_version: u32,
    },
    /// A message cannot be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The connection failed.
    #[error("the connection failed: {0}; the dialling side reconnects")]
    Socket(#[from] tungstenite::Error),
    /// The connection could not be opened.
    #[error("cannot connect: {0}; check that the peer is running and that the address is correct")]
    Connect(#[from] std::io::Error),
}

impl LinkError {
    /// Returns whether the peer failed to authenticate.
    ///
    /// # Examples
    ///
    /// ```
    /// assert!(chestnutfork_net::LinkError::Unauthenticated.is_unauthenticated());
    /// ```
    #[must_use]
    pub fn is_unauthenticated(&self) -> bool {
        matches!(self, Self::Unauthenticated)
    }
}

/// Handler of link events, usually a thin wrapper around an actor's mailbox.
///
/// The methods are called from the link's tasks and must not block.
pub trait LinkHandler: Clone + Send + Sync + 'static {
    /// Type of received messages.
    type In: DeserializeOwned + Send + 'static;
    /// Type of sent messages.
    type Out: Serialize + Send + Sync + 'static;

    /// Called when a link is open and authenticated.
    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<Self::Out>);
    /// Called with received messages, in the order in which the peer sent them.
    fn received(&self, link: LinkId, messages: Vec<Self::In>);
    /// Called last, when the link is closed.
    fn closed(&self, link: LinkId, error: LinkError);
}

/// Sending half of a link; dropping the last clone closes the link after the queued messages have been sent.
pub struct LinkSender<Out> {
    tx: mpsc::Sender<Out>,
    /// Notified when a message does not fit into the send queue.
    overflow: Arc<Notify>,
}

impl<Out> Clone for LinkSender<Out> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            overflow: Arc::clone(&self.overflow),
        }
    }
}

impl<Out> fmt::Debug for LinkSender<Out> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LinkSender")
            .field("free", &self.tx.capacity())
            .finish_non_exhaustive()
    }
}

impl<Out> LinkSender<Out> {
    /// Queues a message and returns whether it was accepted.
    ///
    /// A message is dropped if the link is closed or its send queue is full. The handler is notified of the closure, so
    /// callers may ignore the result.
    pub fn send(&self, message: Out) -> bool {
        let sent = self.tx.try_send(message);
        if matches!(sent, Err(TrySendError::Full(_))) {
            self.overflow.notify_one();
        }
        sent.is_ok()
    }
}

/// Authenticated connection whose link is not running yet.
#[derive(Debug)]
pub struct Session {
    peer: Identity,
    socket: WebSocketStream<TcpStream>,
    metrics: Metrics,
    timing: LinkTiming,
}

impl Session {
    pub(crate) fn new(peer: Identity, socket: WebSocketStream<TcpStream>, metrics: Metrics) -> Self {
        Self {
            peer,
            socket,
            metrics,
            timing: LinkTiming::default(),
        }
    }

    /// Sets the timing of the link.
    #[must_use]
    pub fn timing(mut self, timing: LinkTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns the authenticated identity of the peer.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Runs the link until it closes; calls [`LinkHandler::opened`] first and [`LinkHandler::closed`] last.
    ///
    /// The reason for the closure is logged and passed to the handler.
    pub async fn run<H: LinkHandler>(self, handler: H) {
        let link = rand::random();
        let timing = self.timing;
        let (tx, rx) = mpsc::channel(SEND_QUEUE_LIMIT);
        let overflow = Arc::new(Notify::new());
        let (sink, stream) = self.socket.split();
        let peer = self.peer.clone();
        emit(&LinkEvent::Opened {
            peer: &peer.name,
            role: peer.role.as_str(),
        });
        handler.opened(
            link,
            self.peer,
            LinkSender {
                tx,
                overflow: Arc::clone(&overflow),
            },
        );
        let mut writer = tokio::spawn(write_frames(sink, rx, self.metrics.clone(), timing));
        let error = tokio::select! {
            error = read_frames(stream, link, &handler, &self.metrics, timing.idle_timeout) => error,
            error = writer_error(&mut writer) => error,
            () = overflow.notified() => LinkError::SendQueueFull,
        };
        writer.abort();
        log_closed(&peer, &error, timing);
        handler.closed(link, error);
    }
}

/// Logs the closure of a link as the event that matches its reason.
fn log_closed(peer: &Identity, error: &LinkError, timing: LinkTiming) {
    let role = peer.role.as_str();
    let reason = error.to_string();
    match error {
        LinkError::TimedOut => {
            emit(&LinkEvent::Silent {
                peer: &peer.name,
                role,
                silent: timing.idle_timeout,
            });
        }
        LinkError::SendQueueFull => {
            emit(&LinkEvent::Overloaded {
                peer: &peer.name,
                role,
                queued: SEND_QUEUE_LIMIT as u64,
            });
        }
        LinkError::Codec(_) => emit(&LinkEvent::ProtocolError {
            peer: &peer.name,
            error: &reason,
        }),
        _ => emit(&LinkEvent::Closed {
            peer: &peer.name,
            role,
            reason: &reason,
        }),
    }
}

/// Waits for the writer task and returns its error; a panic counts as a closed link.
async fn writer_error(writer: &mut JoinHandle<LinkError>) -> LinkError {
    writer.await.unwrap_or(LinkError::Closed)
}

/// Byte counter of one direction of a link. Each update of a metric takes a lock and formats a text, which costs more
/// than a small frame, so updates are batched.
struct ByteCounter<'a> {
    metrics: &'a Metrics,
    counter: fn(&Metrics, usize),
    pending: usize,
}

impl<'a> ByteCounter<'a> {
    fn new(metrics: &'a Metrics, counter: fn(&Metrics, usize)) -> Self {
        Self {
            metrics,
            counter,
            pending: 0,
        }
    }

    fn add(&mut self, bytes: usize) {
        self.pending += bytes;
        if self.pending >= METRICS_UPDATE_BYTES {
            self.flush();
        }
    }

    fn flush(&mut self) {
        let bytes = std::mem::take(&mut self.pending);
        (self.counter)(self.metrics, bytes);
    }
}

impl Drop for ByteCounter<'_> {
    fn drop(&mut self) {
        self.flush();
    }
}

/// Sends queued messages in batches, and heartbeats while the queue is empty.
async fn write_frames<Out: Serialize>(
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
    mut rx: mpsc::Receiver<Out>,
    metrics: Metrics,
    timing: LinkTiming,
) -> LinkError {
    let mut seq = 0_u64;
    let mut sent = ByteCounter::new(&metrics, Metrics::link_sent);
    let mut batch = Vec::with_capacity(BATCH_LIMIT);
    loop {
        let dequeued = timeout(timing.heartbeat_interval, rx.recv_many(&mut batch, BATCH_LIMIT)).await;
        if matches!(dequeued, Ok(0)) {
            let _ = timeout(timing.heartbeat_interval, sink.close()).await;
            return LinkError::Closed;
        }
        if let Err(error) = write_batch(&mut sink, &mut batch, &mut seq, &mut sent, timing.idle_timeout).await
        {
            return error;
        }
    }
}

/// Sends a batch as one or more frames; an empty batch is sent as an empty frame, which is a heartbeat.
async fn write_batch<Out: Serialize>(
    sink: &mut SplitSink<WebSocketStream<TcpStream>, Message>,
    batch: &mut Vec<Out>,
    seq: &mut u64,
    count: &mut ByteCounter<'_>,
    idle_timeout: Duration,
) -> Result<(), LinkError> {
    let mut messages = batch.drain(..).peekable();
    loop {
        let mut buf = Vec::new();
        encode(&*seq, &mut buf)?;
        while let Some(message) = messages.next_if(|_| buf.len() < FRAME_TARGET_BYTES) {
            encode(&message, &mut buf)?;
        }
        *seq += 1;
        count.add(buf.len());
        let sent = timeout(idle_timeout, sink.send(Message::Binary(Bytes::from(buf)))).await;
        sent.map_err(|_| LinkError::TimedOut)??;
        if messages.peek().is_none() {
            return Ok(());
        }
    }
}

/// Receives frames until the link fails, and passes their messages to the handler.
async fn read_frames<H: LinkHandler>(
    mut stream: SplitStream<WebSocketStream<TcpStream>>,
    link: LinkId,
    handler: &H,
    metrics: &Metrics,
    idle_timeout: Duration,
) -> LinkError {
    let mut seq = 0_u64;
    let mut received = ByteCounter::new(metrics, Metrics::link_received);
    loop {
        let bytes = match timeout(idle_timeout, stream.next()).await {
            Err(_) => return LinkError::TimedOut,
            Ok(None | Some(Ok(Message::Close(_)))) => return LinkError::Closed,
            Ok(Some(Err(error))) => return error.into(),
            Ok(Some(Ok(Message::Binary(bytes)))) => bytes,
            Ok(Some(Ok(_))) => continue,
        };
        received.add(bytes.len());
        match decode_frame(&bytes, seq) {
            Ok(messages) if messages.is_empty() => {}
            Ok(messages) => handler.received(link, messages),
            Err(error) => return error.into(),
        }
        seq += 1;
    }
}
