//! Settings of each role.

mod agent;
mod control;
mod entry;
mod target;

pub(crate) use agent::AgentModel;
pub use agent::AgentSettings;
pub(crate) use control::ControlModel;
pub use control::{ControlSettings, InitialMember, Operator};
pub(crate) use entry::EntryModel;
pub use entry::{EntrySettings, RegisterSettings};
pub(crate) use target::TargetModel;
pub use target::TargetSettings;

use std::net::SocketAddr;

use chestnutfork_schema::Violation;

/// Reports an unspecified address such as `0.0.0.0`, to which other processes cannot connect.
///
/// The advertised address defaults to the listen address.
fn check_advertised(key: &str, listen: SocketAddr, advertise: Option<SocketAddr>) -> Option<Violation> {
    let address = advertise.unwrap_or(listen);
    address.ip().is_unspecified().then(|| {
        let message =
            format!("other processes cannot connect to {address}; set it to an address of this machine");
        Violation::inconsistent(key, message)
    })
}
