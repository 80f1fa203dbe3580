//! Bookkeeping of the connections and of the bytes that unfinished requests have allocated.
//!
//! Plain data without sockets, tasks or a clock. The actor of the budget owns one ledger.

use std::collections::BTreeMap;

use std::time::Instant;

/// Number of a connection within its budget.
pub(crate) type ConnectionNumber = u64;

/// Part of a request that is charged separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// Buffer of the body with its decoded form.
    Body,
    /// State that the handler holds beyond it.
    State,
}

/// State of one connection as far as the budget knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Account {
    /// Bytes charged for the body in addition to the allotment of the connection.
    body: usize,
    /// Bytes charged for the state of the request.
    state: usize,
    /// Time up to which its request is known to be on schedule; the connection corrects it when it is asked to give up
    /// the request.
    on_schedule_until: Instant,
}

impl Account {
    fn charged(&self) -> usize {
        self.body + self.state
    }
}

/// Connections and charged bytes of a process.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    max_connections: usize,
    max_bytes: usize,
    accounts: BTreeMap<ConnectionNumber, Account>,
    charged: usize,
}

impl Ledger {
    pub(crate) fn new(max_connections: usize, max_bytes: usize) -> Self {
        Self {
            max_connections,
            max_bytes,
            accounts: BTreeMap::new(),
            charged: 0,
        }
    }

    /// Returns the charged bytes of all requests.
    pub(crate) fn charged(&self) -> usize {
        self.charged
    }

    /// Returns the number of connections.
    pub(crate) fn connections(&self) -> usize {
        self.accounts.len()
    }

    /// Adds a connection, and returns false if the limit is reached.
    pub(crate) fn open(&mut self, connection: ConnectionNumber, now: Instant) -> bool {
        if self.accounts.len() >= self.max_connections {
            return false;
        }
        let account = Account {
            body: 0,
            state: 0,
            on_schedule_until: now,
        };
        self.accounts.insert(connection, account);
        true
    }

    /// Removes a connection with its charge.
    pub(crate) fn close(&mut self, connection: ConnectionNumber) {
        if let Some(account) = self.accounts.remove(&connection) {
            self.charged -= account.charged();
        }
    }

    /// Sets the charge for a part of a connection's request, and returns false and changes nothing if it does not fit.
    ///
    /// A lower charge always fits. A connection that is not open gets none.
    pub(crate) fn charge(
        &mut self,
        connection: ConnectionNumber,
        part: Part,
        bytes: usize,
        on_schedule_until: Instant,
    ) -> bool {
        let Some(account) = self.accounts.get_mut(&connection) else {
            return false;
        };
        account.on_schedule_until = on_schedule_until;
        let present = match part {
            Part::Body => &mut account.body,
            Part::State => &mut account.state,
        };
        let charged = self.charged - *present + bytes;
        if charged > self.max_bytes && bytes > *present {
            return false;
        }
        *present = bytes;
        self.charged = charged;
        true
    }

    /// Corrects the time up to which a connection is on schedule.
    pub(crate) fn progressed(&mut self, connection: ConnectionNumber, on_schedule_until: Instant) {
        if let Some(account) = self.accounts.get_mut(&connection) {
            account.on_schedule_until = on_schedule_until;
        }
    }

    /// Returns the connection that is furthest behind, and the time up to which it is known to be on schedule.
    ///
    /// Only connections that are not on schedule at `before` count, and, if `charged` is set, only those with a charge.
    /// Connections for which `excluded` is true do not count.
    pub(crate) fn furthest_behind(
        &self,
        before: Instant,
        charged: bool,
        excluded: impl Fn(ConnectionNumber) -> bool,
    ) -> Option<(ConnectionNumber, Instant)> {
        let candidates = self.accounts.iter().filter(|(number, account)| {
            account.on_schedule_until < before && (!charged || account.charged() > 0) && !excluded(**number)
        });
        let furthest = candidates.min_by_key(|(_, account)| account.on_schedule_until);
        furthest.map(|(number, account)| (*number, account.on_schedule_until))
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use super::*;

    fn at(start: Instant, ms: u64) -> Instant {
        start + Duration::from_millis(ms)
    }

    /// Answers the load of many large bodies at once: guards against charges beyond the limit.
    #[test]
    fn charge_beyond_limit() {
        let start = Instant::now();
        let mut ledger = Ledger::new(4, 100);
        assert!(ledger.open(1, start) && ledger.open(2, start));
        assert!(ledger.charge(1, Part::Body, 60, start));
        assert!(!ledger.charge(2, Part::Body, 60, start));
        assert!(ledger.charge(2, Part::Body, 40, start));
        assert_eq!(ledger.charged(), 100);
        ledger.close(1);
        assert_eq!(ledger.charged(), 40);
        assert!(ledger.charge(2, Part::Body, 100, start));
        assert!(!ledger.charge(3, Part::Body, 0, start));
    }

    /// Answers the load of whole jobs with large states: guards against a state that is not counted beside the bodies, or
    /// that stays charged after the answer.
    #[test]
    fn charge_state_beside_body() {
        let start = Instant::now();
        let mut ledger = Ledger::new(4, 100);
        assert!(ledger.open(1, start) && ledger.open(2, start));
        assert!(ledger.charge(1, Part::Body, 30, start));
        assert!(ledger.charge(1, Part::State, 50, start));
        assert!(!ledger.charge(2, Part::State, 30, start));
        assert!(ledger.charge(1, Part::State, 0, start));
        assert_eq!(ledger.charged(), 30);
        assert!(ledger.charge(2, Part::State, 30, start));
    }

    /// Answers the load of connections that stay open: guards against connections beyond the limit.
    #[test]
    fn open_beyond_limit() {
        let start = Instant::now();
        let mut ledger = Ledger::new(1, 100);
        assert!(ledger.open(1, start));
        assert!(!ledger.open(2, start));
        ledger.close(1);
        assert!(ledger.open(2, start));
        assert_eq!(ledger.connections(), 1);
    }

    /// Answers the load of bodies that stop one byte short: guards against dropping a request that still progresses.
    #[test]
    fn furthest_behind_order() {
        let start = Instant::now();
        let mut ledger = Ledger::new(4, 100);
        for number in 1..=3 {
            assert!(ledger.open(number, at(start, number)));
        }
        assert!(
            ledger.charge(3, Part::Body, 10, at(start, 3)) && ledger.charge(2, Part::Body, 10, at(start, 4))
        );
        let oldest = |ledger: &Ledger, charged| {
            let oldest = ledger.furthest_behind(at(start, 10), charged, |_| false);
            oldest.map(|(number, _)| number)
        };
        assert_eq!(oldest(&ledger, false), Some(1));
        assert_eq!(oldest(&ledger, true), Some(3));
        ledger.progressed(3, at(start, 5));
        assert_eq!(oldest(&ledger, true), Some(2));
        ledger.progressed(2, at(start, 10));
        ledger.progressed(3, at(start, 10));
        assert_eq!(oldest(&ledger, true), None);
        assert_eq!(
            ledger.furthest_behind(at(start, 10), false, |number| number == 1),
            None
        );
    }
}
