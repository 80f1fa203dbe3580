//! Stand-ins for a target and for the platform.
