//! The agent role: one process beside each target.
