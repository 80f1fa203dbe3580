//! The entry role: callers, jobs, dispatch.
