//! Routes and services of a deployment, as one versioned table.
//!
//! An operator replaces the whole [`RouteTable`]; the highest version is in force. The table is plain data with a
//! [check](RouteTable::check) of its invariants and a [lookup](RouteTable::find) of the route of a request. How a table is
//! written down is the business of the front end that decodes it.

mod check;
mod table;

pub use check::TableError;
pub use table::{Route, RouteTable, ServiceRule};
