//! Receives the body of a request into one buffer that is charged to the budget of the process.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use tokio::sync::watch;
use tokio::time::timeout;

use super::activity::{Activity, Phase};
use crate::budget::{ALLOTMENT_BYTES, Account, Part};
use crate::wakeup::now;

/// Limit on the bytes of a refused body that are read and discarded, so that the caller receives the response; a caller
/// that sends more may see a connection reset instead.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;

/// Reason why a body was not received.
#[derive(Debug)]
pub(super) enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// The budget refused the body or gave it up.
    Overloaded,
    /// The connection failed before the end of the body.
    Incomplete(hyper::Error),
}

/// Reader of one body. Dropping it ends the charge of the body.
#[derive(Debug)]
pub(super) struct BodyReader<'a> {
    account: &'a Account,
    activity: &'a watch::Sender<Activity>,
    max_body: usize,
    decoded_factor: usize,
    charged: bool,
}

impl Drop for BodyReader<'_> {
    fn drop(&mut self) {
        if self.charged {
            self.account.release(Part::Body);
        }
    }
}

impl<'a> BodyReader<'a> {
    pub(super) fn new(
        account: &'a Account,
        activity: &'a watch::Sender<Activity>,
        max_body: usize,
        decoded_factor: usize,
    ) -> Self {
        Self {
            account,
            activity,
            max_body,
            decoded_factor,
            charged: false,
        }
    }

    /// Receives the body, unless the budget gives it up.
    pub(super) async fn read(&mut self, body: &mut Incoming) -> Result<Bytes, BodyError> {
        let mut activity = self.activity.subscribe();
        let evicted = activity.wait_for(|activity| activity.phase == Phase::Evicted);
        tokio::select! {
            biased;
            _ = evicted => Err(BodyError::Overloaded),
            content = self.collect(body) => content,
        }
    }

    /// Copies the body into one buffer. A frame shares its memory with the read buffer of the connection, so that keeping
    /// the frames of small chunks would keep many times their size allocated.
    async fn collect(&mut self, body: &mut Incoming) -> Result<Bytes, BodyError> {
        // Memory is allocated for what arrives and not for what is declared.
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut content = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(BodyError::Incomplete)?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            self.activity.send_if_modified(|activity| {
                if activity.phase == Phase::Receiving {
                    activity.progress.receive(data.len(), now());
                }
                false
            });
            let length = content.len() + data.len();
            if length > self.max_body {
                return Err(BodyError::TooLarge);
            }
            if length > content.capacity() {
                let capacity = self.next_capacity(content.capacity(), length, declared);
                self.reserve(&mut content, capacity).await?;
            }
            content.extend_from_slice(data);
        }
        Ok(Bytes::from(content))
    }

    /// Returns the capacity for at least `length` bytes: twice the present one, but not beyond the body.
    fn next_capacity(&self, capacity: usize, length: usize, declared: usize) -> usize {
        let end = if declared > 0 { declared } else { self.max_body };
        (capacity * 2).max(length).min(end.max(length))
    }

    /// Grows the buffer after the budget has granted it.
    ///
    /// The charge includes the decoded form from the start, which covers the second copy of the content while the buffer
    /// grows.
    async fn reserve(&mut self, content: &mut Vec<u8>, capacity: usize) -> Result<(), BodyError> {
        if capacity > ALLOTMENT_BYTES {
            // Even an attempt that is not granted must be released, because the grant may be on its way.
            self.charged = true;
            let bytes = capacity.saturating_mul(1 + self.decoded_factor);
            let on_schedule_until = self.activity.borrow().progress.on_schedule_until();
            if !self.account.charge(Part::Body, bytes, on_schedule_until).await {
                return Err(BodyError::Overloaded);
            }
        }
        content.reserve_exact(capacity - content.len());
        Ok(())
    }
}

/// Reads and discards the rest of a refused body while its response is sent, up to [`MAX_DISCARDED_BYTES`].
///
/// Closing a connection with unread data resets it, and the caller may then lose the response that states the reason.
pub(super) fn discard_later(mut body: Incoming, limit: Duration, activity: watch::Sender<Activity>) {
    tokio::spawn(async move {
        let discard = async {
            let mut discarded = 0;
            while let Some(Ok(frame)) = body.frame().await {
                discarded += frame.data_ref().map_or(0, Bytes::len);
                if discarded > MAX_DISCARDED_BYTES {
                    return;
                }
            }
        };
        // The rest of a slower body is not read, which closes the connection.
        let _ = timeout(limit, discard).await;
        activity.send_if_modified(|activity| {
            activity.discarded();
            false
        });
    });
}
