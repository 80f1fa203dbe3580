//! Versioned configuration of chestnutfork: patches, validation, deltas, audit records.
