//! Timer of an actor on [`LeaseClock`].

use std::time::Instant;

use chestnutfork_net::Wakeup;

use crate::clock::LeaseClock;

/// Re-armable timer for readings of [`LeaseClock`].
#[derive(Debug)]
pub(crate) struct LeaseTimer {
    clock: LeaseClock,
    wakeup: Wakeup,
    /// Reading for which the timer is armed. The two clocks are read one after the other, so converting the same reading
    /// twice gives different monotonic times. Only the reading itself shows whether the timer must be set again.
    armed_for: Option<Instant>,
}

impl LeaseTimer {
    /// Starts a timer that calls `notify` each time it fires.
    pub(crate) fn start(clock: LeaseClock, notify: impl Fn() + Send + 'static) -> Self {
        Self {
            clock,
            wakeup: Wakeup::start(notify),
            armed_for: None,
        }
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Records that the timer has fired, so that it can be armed again for the same reading.
    pub(crate) fn on_fired(&mut self) {
        self.armed_for = None;
    }

    /// Arms the timer for a reading unless it is already armed for that reading.
    pub(crate) fn arm(&mut self, at: Instant) {
        if self.armed_for != Some(at) {
            self.armed_for = Some(at);
            self.wakeup.set(Some(self.clock.monotonic_deadline(at)));
        }
    }
}
