//! Subcommands that are no roles: simulated counterparts and load.

pub(crate) mod load;
pub(crate) mod platform;
pub(crate) mod quickstart;
pub(crate) mod target;

mod arguments;
mod error;
mod local;
mod output;

use std::path::Path;

pub(crate) use error::ToolError;
pub(crate) use output::{exit_code, print_report, report_argument, report_format};

/// Waits for an interrupt or a termination signal.
async fn interrupted() {
    use tokio::signal::unix::{SignalKind, signal};
    let terminated = async {
        match signal(SignalKind::terminate()) {
            Ok(mut signal) => {
                signal.recv().await;
            }
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        // Without a handler for interrupts the process ends by the default action.
        _ = tokio::signal::ctrl_c() => {}
        () = terminated => {}
    }
}

fn read_file(path: &Path) -> Result<String, ToolError> {
    std::fs::read_to_string(path).map_err(|source| ToolError::File {
        action: "read",
        path: path.display().to_string(),
        source,
    })
}

fn write_file(path: &Path, text: &str) -> Result<(), ToolError> {
    std::fs::write(path, text).map_err(|source| ToolError::File {
        action: "write",
        path: path.display().to_string(),
        source,
    })
}
