//! Opens a connection with further attempts beside one that is still pending.
//!
//! The first packet to a machine that is not up yet is lost, and the attempt then waits for the retransmission of its operating
//! system, which takes a second or more. An attempt that is made once the machine is up succeeds within a round trip.

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;

/// Time after which a second attempt is made: several round trips between failure domains.
const FIRST_GAP: Duration = Duration::from_millis(50);

/// Makes attempts at growing intervals until the first one ends, and returns its result.
///
/// The caller limits the total time; dropping the future aborts all attempts.
pub(crate) async fn first_result<T, F>(mut attempt: impl FnMut() -> F) -> T
where
    T: Send + 'static,
    F: Future<Output = T> + Send + 'static,
{
    let mut attempts = JoinSet::new();
    let mut gap = FIRST_GAP;
    loop {
        attempts.spawn(attempt());
        tokio::select! {
            // An attempt that panics is dropped; the next one is due after the gap.
            Some(Ok(result)) = attempts.join_next() => return result,
            () = sleep(gap) => gap *= 2,
        }
    }
}

#[cfg(test)]
mod tests;
