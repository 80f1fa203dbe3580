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

/// Returns the violation of an address that others cannot dial, if it is one.
fn undialable(key: &str, listen: SocketAddr, advertise: Option<SocketAddr>) -> Option<Violation> {
    let address = advertise.unwrap_or(listen);
    address.ip().is_unspecified().then(|| {
        let message = format!("{address} cannot be dialled by others; set it to an address of this machine");
        Violation::inconsistent(key, message)
    })
}
