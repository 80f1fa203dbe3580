//! One re-armable timer for an actor that owns a state machine.

use std::time::Instant;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

/// Timer that calls back at the latest time that was set; dropping it ends it.
#[derive(Debug)]
pub struct Wakeup {
    at: watch::Sender<Option<Instant>>,
    task: JoinHandle<()>,
}

impl Drop for Wakeup {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Wakeup {
    /// Starts a timer that is not armed and calls `notify` each time it fires.
    ///
    /// # Examples
    ///
    /// ```
    /// # let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
    /// # runtime.block_on(async {
    /// let (tx, mut rx) = tokio::sync::mpsc::unbounded_channel();
    /// let wakeup = chestnutfork_net::Wakeup::start(move || drop(tx.send(())));
    /// wakeup.set(Some(std::time::Instant::now()));
    /// assert_eq!(rx.recv().await, Some(()));
    /// # });
    /// ```
    pub fn start(notify: impl Fn() + Send + 'static) -> Self {
        let (at, mut changed) = watch::channel(None::<Instant>);
        let task = tokio::spawn(async move {
            loop {
                let due = *changed.borrow_and_update();
                let alive = match due {
                    Some(due) => tokio::select! {
                        () = sleep_until(due.into()) => {
                            notify();
                            changed.changed().await.is_ok()
                        }
                        changed = changed.changed() => changed.is_ok(),
                    },
                    None => changed.changed().await.is_ok(),
                };
                if !alive {
                    return;
                }
            }
        });
        Self { at, task }
    }

    /// Arms the timer for the given time, or disarms it.
    ///
    /// After it has fired, the timer stays quiet until it is set again, even to the same time.
    pub fn set(&self, at: Option<Instant>) {
        self.at.send_replace(at);
    }
}

/// Returns the present time on the runtime's clock, which tests can pause.
///
/// # Examples
///
/// ```
/// assert!(chestnutfork_net::now() <= chestnutfork_net::now());
/// ```
#[must_use]
pub fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}
