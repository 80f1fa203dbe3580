//! Durable log, vote and snapshot files.
