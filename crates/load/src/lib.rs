//! Open-loop load, answer checks and reports.
