//! The control role: replication, operators, subscribers.
