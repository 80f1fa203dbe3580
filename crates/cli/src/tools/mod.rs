//! Subcommands that run no single role: trials on loopback, load and simulators.

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

/// Waits for SIGINT or SIGTERM.
async fn wait_for_shutdown_signal() {
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
        // Also completes if no handler for SIGINT can be installed, which ends the tool at once.
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
