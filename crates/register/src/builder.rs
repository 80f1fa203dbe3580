//! Builder and settings of the register.

use std::time::Duration;

use chestnutfork_types::ProcessId;

use crate::register::Register;

/// Settings, which do not change after a register is built.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    pub(crate) me: ProcessId,
    pub(crate) retention: Duration,
    pub(crate) max_records: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) max_ahead: Duration,
    pub(crate) claim_timeout: Duration,
    pub(crate) resend_min: Duration,
    pub(crate) resend_max: Duration,
    pub(crate) chunk_records: usize,
}

/// Builder of [`Register`].
#[derive(Clone, Debug)]
pub struct RegisterBuilder {
    settings: Settings,
}

/// Defines a chainable setter of the builder.
macro_rules! setter {
    ($(#[$doc:meta])* $name:ident: $type:ty) => {
        $(#[$doc])*
        #[must_use]
        pub fn $name(mut self, $name: $type) -> Self {
            self.settings.$name = $name;
            self
        }
    };
}

impl RegisterBuilder {
    pub(crate) fn new(me: ProcessId) -> Self {
        let settings = Settings {
            me,
            retention: Duration::from_mins(10),
            max_records: 1_000_000,
            max_answer_bytes: 2 * 1024 * 1024 * 1024,
            // Control sets the floor of a lost register 12 s ahead of its clock: these 2 s and 10 s of clock skew.
            max_ahead: Duration::from_secs(2),
            claim_timeout: Duration::from_secs(1),
            // Well above the round trip of 3 ms between failure domains, so that nothing is resent without faults.
            resend_min: Duration::from_millis(50),
            resend_max: Duration::from_millis(400),
            chunk_records: 256,
        };
        Self { settings }
    }

    setter!(
        /// Sets how long records are retained after the time in their job id (default 10 min).
        retention: Duration
    );
    setter!(
        /// Sets the number of records at which no more claims are granted (default 1,000,000).
        max_records: usize
    );
    setter!(
        /// Sets the total size of recorded answers at which no more claims are granted (default 2 GiB).
        max_answer_bytes: usize
    );
    setter!(
        /// Sets how far the time in a job id may be ahead of this entry's clock (default 2 s).
        max_ahead: Duration
    );
    setter!(
        /// Sets how long a claim or a lookup waits for a quorum (default 1 s).
        claim_timeout: Duration
    );
    setter!(
        /// Sets the delay before the first resend of an unanswered message (default 50 ms).
        resend_min: Duration
    );
    setter!(
        /// Sets the largest delay between resends (default 400 ms).
        resend_max: Duration
    );
    setter!(
        /// Sets the largest number of records in one `Chunk` message (default 256).
        chunk_records: usize
    );

    /// Returns a register without a view and without records.
    #[must_use]
    pub fn build(self) -> Register {
        Register::from_settings(self.settings)
    }
}
