//! Routes and services of a deployment, as one versioned table.
//!
//! An operator replaces the entire [`RouteTable`] at a time, and the table with the highest version is in force. It is
//! plain data with a [check](RouteTable::check) of its invariants; [`RouteIndex`] finds the route of a request. Its
//! encoding is defined by the front end that decodes it.

mod check;
mod index;
mod table;

pub use check::TableError;
pub use index::RouteIndex;
pub use table::{Route, RouteTable, ServiceRule};
