//! Operator commands and their output.

use std::path::PathBuf;

use chestnutfork_types::{ConfigVersion, ReplicaId};
use serde::Serialize;
use uuid::Uuid;

use crate::body::{PatchBody, ReplaceBody, VerdictBody};
use crate::client::OperatorClient;
use crate::error::OperatorError;
use crate::file::read_patch_file;
use crate::render;

/// Output format of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutputFormat {
    /// Human-readable text and tables.
    Text,
    /// JSON body of the response.
    Json,
}

/// Operator subcommand with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Sends a patch.
    Patch {
        /// File that contains the merge patch.
        file: PathBuf,
        /// Version that the patch is made against.
        base: ConfigVersion,
        /// Reason for the audit trail.
        reason: String,
        /// Id of the patch; generated if absent.
        id: Option<Uuid>,
        /// Whether to return the verdict without applying the patch.
        dry_run: bool,
    },
    /// Shows the system status.
    Status,
    /// Shows the audit trail.
    Audit {
        /// Only records of versions above this one are shown.
        since: ConfigVersion,
    },
    /// Shows the current configuration document.
    Config,
    /// Replaces a lost replica with a new one.
    Replace {
        /// Id of the replica to remove.
        old: ReplicaId,
        /// Id of the replica to add.
        new: ReplicaId,
        /// Reason for the log.
        reason: String,
    },
}

/// Output of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Exit code: 0 for success, 2 for a conflict, 3 for an invalid patch. The caller exits with 1 on an [`OperatorError`].
    pub exit_code: u8,
}

const EXIT_SUCCESS: u8 = 0;
const EXIT_CONFLICT: u8 = 2;
const EXIT_INVALID: u8 = 3;

impl OperatorCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Returns an error if the patch file is invalid, the control process refused the request, or no response arrived.
    pub async fn run(
        self,
        client: &OperatorClient,
        format: OutputFormat,
    ) -> Result<CommandOutput, OperatorError> {
        match self {
            Self::Patch {
                file,
                base,
                reason,
                id,
                dry_run,
            } => {
                let patch = PatchBody {
                    base,
                    patch_id: id.unwrap_or_else(Uuid::now_v7),
                    reason,
                    body: read_patch_file(&file)?,
                    dry_run,
                };
                send_patch(client, format, &patch).await
            }
            Self::Status => {
                let status = client.status().await?;
                Ok(format_output(format, &status, render::status, EXIT_SUCCESS))
            }
            Self::Audit { since } => {
                let audit = client.audit(since).await?;
                Ok(format_output(format, &audit, render::audit, EXIT_SUCCESS))
            }
            Self::Config => {
                let config = client.config().await?;
                Ok(format_output(format, &config, render::config, EXIT_SUCCESS))
            }
            Self::Replace { old, new, reason } => {
                let status = client.replace(&ReplaceBody { old, new, reason }).await?;
                Ok(format_output(format, &status, render::status, EXIT_SUCCESS))
            }
        }
    }
}

async fn send_patch(
    client: &OperatorClient,
    format: OutputFormat,
    patch: &PatchBody,
) -> Result<CommandOutput, OperatorError> {
    let verdict = client.patch(patch).await?;
    let exit_code = match verdict {
        VerdictBody::Accepted { .. } => EXIT_SUCCESS,
        VerdictBody::Conflict { .. } => EXIT_CONFLICT,
        VerdictBody::Invalid { .. } => EXIT_INVALID,
    };
    Ok(format_output(
        format,
        &verdict,
        |verdict| render::verdict(patch, verdict),
        exit_code,
    ))
}

fn format_output<T: Serialize>(
    format: OutputFormat,
    response: &T,
    render: impl Fn(&T) -> String,
    exit_code: u8,
) -> CommandOutput {
    let text = match format {
        OutputFormat::Text => render(response),
        OutputFormat::Json => to_json(response),
    };
    CommandOutput { text, exit_code }
}

fn to_json<T: Serialize>(response: &T) -> String {
    // Serialization cannot fail, because all maps in the bodies have string keys.
    let text = serde_json::to_string_pretty(response).unwrap_or_default();
    format!("{text}\n")
}
