//! Operator interface of the control processes: JSON bodies, client and commands.
//!
//! [`body`] defines the JSON bodies of the HTTP interface. [`OperatorClient`] tries each control address, follows redirects
//! to the leader and resends requests whose response was lost. [`OperatorCommand`] runs the subcommands `patch`, `status`,
//! `audit`, `config` and `replace`.

pub mod body;
mod client;
mod command;
mod error;
mod file;
mod options;
mod render;
mod table;

pub use client::{OperatorClient, OperatorClientBuilder};
pub use command::{CommandOutput, OperatorCommand, OutputFormat};
pub use error::{ErrorKind, OperatorError};
pub use file::read_patch_file;
pub use options::{Invocation, TOKEN_ENV_VAR, parse_invocation, subcommands};
