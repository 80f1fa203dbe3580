//! Resettable timer for an actor that owns a state machine.

use std::time::Instant;

use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep_until;

/// Timer that calls a function at the most recently set time; dropping it stops the timer.
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
    /// Starts a disarmed timer that calls `notify` each time it fires.
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
                let sender_exists = match due {
                    Some(due) => tokio::select! {
                        () = sleep_until(due.into()) => {
                            notify();
                            changed.changed().await.is_ok()
                        }
                        changed = changed.changed() => changed.is_ok(),
                    },
                    None => changed.changed().await.is_ok(),
                };
                if !sender_exists {
                    return;
                }
            }
        });
        Self { at, task }
    }

    /// Arms the timer for the given time, or disarms it.
    ///
    /// A timer that has fired is disarmed until the next call, which may set the same time again.
    pub fn set(&self, at: Option<Instant>) {
        self.at.send_replace(at);
    }
}

/// Returns the current time of the runtime's clock, which tests can pause.
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
