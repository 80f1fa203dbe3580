//! One authenticated connection: batching, heartbeats and detection of silence.

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
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message};

use chestnutfork_events::{LinkEvent, emit};
use chestnutfork_wire::{CodecError, PROTOCOL_VERSION, decode_frame, encode};

use crate::identity::Identity;
use crate::metrics::Metrics;
use crate::timing::LinkTiming;

/// Random number of one session of a link in this process.
pub type LinkId = u64;

/// Messages that may wait for a peer before the link is given up as stuck.
const QUEUE_LIMIT: usize = 65_536;
/// Messages taken from the queue in one step.
const BATCH_LIMIT: usize = 256;
/// Size at which a frame is sent even if more messages wait.
const FRAME_TARGET_BYTES: usize = 256 * 1024;
/// Largest frame that is accepted; it must hold the largest single message, a job's answer.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
/// Capacity of the buffer that each link reads into. It is allocated at once and kept, and an entry has a link to every
/// agent, so the library's 128 KiB would cost it 138 MiB at 1,100 agents.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Bytes of a link that are counted together.
const COUNTED_BYTES: usize = 16 * 1024;

/// Returns the configuration of the WebSocket connection of a link.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

/// Reason why a link could not be opened or was closed.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The peer closed the connection.
    #[error("the peer closed the connection; it is dialled again if it is still wanted")]
    Closed,
    /// Nothing arrived, or nothing could be sent, for too long.
    #[error("the peer has been silent for too long; the connection is dialled again")]
    TimedOut,
    /// Too many messages wait for the peer.
    #[error("more than {QUEUE_LIMIT} messages wait for the peer; find out why it reads too slowly")]
    SendQueueFull,
    /// The peer did not prove the cluster secret.
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
        "the peer speaks protocol version {theirs}, this process version {PROTOCOL_VERSION}; upgrade the older one"
    )]
    Version {
        /// Version of the peer.
        theirs: u32,
    },
    /// A message cannot be encoded or decoded.
    #[error(transparent)]
    Codec(#[from] CodecError),
    /// The connection failed.
    #[error("the connection failed: {0}; it is dialled again")]
    Socket(#[from] tungstenite::Error),
    /// The connection could not be opened.
    #[error("cannot connect: {0}; check that the peer runs and the address is right")]
    Connect(#[from] std::io::Error),
}

impl LinkError {
    /// Reports whether the peer failed to authenticate.
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

/// Receiver of the events of links, usually a thin wrapper around an actor's mailbox.
///
/// The methods run on the link's tasks and must not block.
pub trait LinkHandler: Clone + Send + Sync + 'static {
    /// Messages that arrive.
    type In: DeserializeOwned + Send + 'static;
    /// Messages that are sent.
    type Out: Serialize + Send + Sync + 'static;

    /// Tells that a link is open and authenticated.
    fn opened(&self, link: LinkId, peer: Identity, tx: LinkSender<Self::Out>);
    /// Hands over messages in the order in which the peer sent them.
    fn received(&self, link: LinkId, messages: Vec<Self::In>);
    /// Tells that the link is closed; nothing of it arrives afterwards.
    fn closed(&self, link: LinkId, error: LinkError);
}

/// Sending side of a link; dropping it closes the link after what is queued has been sent.
pub struct LinkSender<Out> {
    tx: mpsc::Sender<Out>,
    /// Tells the link that a message found no room.
    overrun: Arc<Notify>,
}

impl<Out> Clone for LinkSender<Out> {
    fn clone(&self) -> Self {
        Self {
            tx: self.tx.clone(),
            overrun: Arc::clone(&self.overrun),
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
    /// Queues a message and reports whether the link took it.
    ///
    /// A message to a closed or overrun link is dropped; the handler learns of the closure separately, so callers may
    /// ignore the result.
    pub fn send(&self, message: Out) -> bool {
        let sent = self.tx.try_send(message);
        if matches!(sent, Err(TrySendError::Full(_))) {
            self.overrun.notify_one();
        }
        sent.is_ok()
    }
}

/// Authenticated connection that is not yet running.
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

    /// Returns the identity that the peer proved.
    #[must_use]
    pub fn peer(&self) -> &Identity {
        &self.peer
    }

    /// Runs the link until it closes; tells the handler first that it is open and last that it is closed.
    ///
    /// The reason of the closure goes to the log and to the handler.
    pub async fn run<H: LinkHandler>(self, handler: H) {
        let link = rand::random();
        let timing = self.timing;
        let (tx, rx) = mpsc::channel(QUEUE_LIMIT);
        let overrun = Arc::new(Notify::new());
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
                overrun: Arc::clone(&overrun),
            },
        );
        let mut writer = tokio::spawn(write_frames(sink, rx, self.metrics.clone(), timing));
        let error = tokio::select! {
            error = read_frames(stream, link, &handler, &self.metrics, timing.idle_timeout) => error,
            error = join(&mut writer) => error,
            () = overrun.notified() => LinkError::SendQueueFull,
        };
        writer.abort();
        report_closed(&peer, &error, timing);
        handler.closed(link, error);
    }
}

/// Logs the end of a link under the event for its reason.
fn report_closed(peer: &Identity, error: &LinkError, timing: LinkTiming) {
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
                queued: QUEUE_LIMIT as u64,
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

/// Waits for the writer; its failure is the failure of the link.
async fn join(writer: &mut JoinHandle<LinkError>) -> LinkError {
    writer.await.unwrap_or(LinkError::Closed)
}

/// Counter of the bytes of a link in one direction. The counters of the process take a lock and a text each, which would
/// cost more than a small frame, so bytes are handed on in larger amounts.
struct ByteCount<'a> {
    metrics: &'a Metrics,
    counter: fn(&Metrics, usize),
    pending: usize,
}

impl<'a> ByteCount<'a> {
    fn new(metrics: &'a Metrics, counter: fn(&Metrics, usize)) -> Self {
        Self {
            metrics,
            counter,
            pending: 0,
        }
    }

    fn add(&mut self, bytes: usize) {
        self.pending += bytes;
        if self.pending >= COUNTED_BYTES {
            self.hand_on();
        }
    }

    fn hand_on(&mut self) {
        let bytes = std::mem::take(&mut self.pending);
        (self.counter)(self.metrics, bytes);
    }
}

impl Drop for ByteCount<'_> {
    fn drop(&mut self) {
        self.hand_on();
    }
}

/// Sends batches of messages as frames, and heartbeats in between.
async fn write_frames<Out: Serialize>(
    mut sink: SplitSink<WebSocketStream<TcpStream>, Message>,
    mut rx: mpsc::Receiver<Out>,
    metrics: Metrics,
    timing: LinkTiming,
) -> LinkError {
    let mut seq = 0_u64;
    let mut sent = ByteCount::new(&metrics, Metrics::link_sent);
    let mut batch = Vec::with_capacity(BATCH_LIMIT);
    loop {
        let taken = timeout(timing.heartbeat_interval, rx.recv_many(&mut batch, BATCH_LIMIT)).await;
        if matches!(taken, Ok(0)) {
            let _ = timeout(timing.heartbeat_interval, sink.close()).await;
            return LinkError::Closed;
        }
        if let Err(error) = write_batch(&mut sink, &mut batch, &mut seq, &mut sent, timing.idle_timeout).await
        {
            return error;
        }
    }
}

/// Sends one batch as one or more frames; an empty batch is one empty frame.
async fn write_batch<Out: Serialize>(
    sink: &mut SplitSink<WebSocketStream<TcpStream>, Message>,
    batch: &mut Vec<Out>,
    seq: &mut u64,
    count: &mut ByteCount<'_>,
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

/// Receives frames until the link fails, and hands their messages to the handler.
async fn read_frames<H: LinkHandler>(
    mut stream: SplitStream<WebSocketStream<TcpStream>>,
    link: LinkId,
    handler: &H,
    metrics: &Metrics,
    idle_timeout: Duration,
) -> LinkError {
    let mut seq = 0_u64;
    let mut received = ByteCount::new(metrics, Metrics::link_received);
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
