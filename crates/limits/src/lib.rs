//! Admission, team quotas and bounded fair queues.
