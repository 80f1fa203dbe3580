//! Arguments that several tools share.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgMatches, value_parser};

/// Declares an argument that takes an IP address with a port.
pub(super) fn address(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
}

/// Declares an argument that takes a path.
pub(super) fn path(name: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
}

/// Declares an argument that takes any text.
pub(super) fn text(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value)
}

/// Declares the listening address of a simulated target or platform.
pub(super) fn listen() -> Arg {
    address("listen")
        .default_value("127.0.0.1:0")
        .help("Address to listen on; port 0 takes a free one")
}

pub(super) fn listen_address(matches: &ArgMatches) -> SocketAddr {
    required(matches, "listen")
}

/// Returns the value of an argument that is required or has a default.
pub(super) fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    #[expect(
        clippy::expect_used,
        reason = "the argument is declared as required or with a default value"
    )]
    let value = matches
        .get_one::<T>(name)
        .expect("the argument is required or has a default");
    value.clone()
}

/// Returns all values of an argument that may be repeated.
pub(super) fn repeated<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Vec<T> {
    matches
        .get_many::<T>(name)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
