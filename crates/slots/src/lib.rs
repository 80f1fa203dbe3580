//! Agent core: slot credits, start records and drain.
