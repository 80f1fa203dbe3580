//! Timer of an actor on the clock for leases.

use std::time::Instant;

use chestnutfork_net::Wakeup;

use crate::clock::LeaseClock;

/// Re-armable timer for readings of the clock for leases.
#[derive(Debug)]
pub(crate) struct LeaseTimer {
    clock: LeaseClock,
    wakeup: Wakeup,
    /// Reading for which the timer is armed. The two clocks are read one after the other, so the time on the steady clock
    /// that stands for a reading differs each time, and only the reading tells whether there is anything to change.
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

    /// Notes that the timer has fired; it has to be armed again, even for the same reading.
    pub(crate) fn on_fired(&mut self) {
        self.armed_for = None;
    }

    /// Arms the timer for a reading, unless it is armed for that already.
    pub(crate) fn arm(&mut self, at: Instant) {
        if self.armed_for != Some(at) {
            self.armed_for = Some(at);
            self.wakeup.set(Some(self.clock.monotonic_deadline(at)));
        }
    }
}
