//! Stream of a connection that records when bytes arrive and are sent.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::activity::Activity;

/// TCP stream whose reads and writes are recorded in the activity of its connection.
#[derive(Debug)]
pub(super) struct RecordedStream {
    stream: TcpStream,
    activity: watch::Sender<Activity>,
}

impl RecordedStream {
    pub(super) fn new(stream: TcpStream, activity: watch::Sender<Activity>) -> Self {
        Self { stream, activity }
    }

    pub(super) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        if matches!(polled, Poll::Ready(Ok(_))) {
            self.activity.send_if_modified(|activity| {
                activity.wrote();
                false
            });
        }
    }
}

impl AsyncRead for RecordedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            // No part of the connection waits for this change.
            self.activity.send_if_modified(|activity| {
                activity.read(bytes);
                false
            });
        }
        polled
    }
}

impl AsyncWrite for RecordedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
