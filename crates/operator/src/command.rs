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

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum OutputFormat {
    /// Tables and sentences.
    Text,
    /// The answer of control as JSON.
    Json,
}

/// Command of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// Sends a patch.
    Patch {
        /// File with the merge patch.
        file: PathBuf,
        /// Version that the operator has seen.
        base: ConfigVersion,
        /// Reason for the audit trail.
        reason: String,
        /// Id of the patch; a new one is made if it is absent.
        id: Option<Uuid>,
        /// Whether only the verdict is wanted.
        dry_run: bool,
    },
    /// Shows the state of the system.
    Status,
    /// Shows the audit trail.
    Audit {
        /// Version after which records are shown.
        since: ConfigVersion,
    },
    /// Shows the current document.
    Config,
    /// Swaps a lost replica for a new one.
    Replace {
        /// Id of the replica to remove.
        old: ReplicaId,
        /// Id of the replica to admit.
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
    /// Exit code: 0 done, 2 conflict, 3 invalid. An error of the command itself exits with 1.
    pub exit_code: u8,
}

const DONE: u8 = 0;
const CONFLICT: u8 = 2;
const INVALID: u8 = 3;

impl OperatorCommand {
    /// Runs the command.
    ///
    /// # Errors
    ///
    /// Fails if a file or option is not usable, control refused the request, or no answer arrived.
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
                Ok(output(format, &status, render::status, DONE))
            }
            Self::Audit { since } => {
                let audit = client.audit(since).await?;
                Ok(output(format, &audit, render::audit, DONE))
            }
            Self::Config => {
                let config = client.config().await?;
                Ok(output(format, &config, render::config, DONE))
            }
            Self::Replace { old, new, reason } => {
                let status = client.replace(&ReplaceBody { old, new, reason }).await?;
                Ok(output(format, &status, render::status, DONE))
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
        VerdictBody::Accepted { .. } => DONE,
        VerdictBody::Conflict { .. } => CONFLICT,
        VerdictBody::Invalid { .. } => INVALID,
    };
    Ok(output(
        format,
        &verdict,
        |verdict| render::verdict(patch, verdict),
        exit_code,
    ))
}

fn output<T: Serialize>(
    format: OutputFormat,
    answer: &T,
    render: impl Fn(&T) -> String,
    exit_code: u8,
) -> CommandOutput {
    let text = match format {
        OutputFormat::Text => render(answer),
        OutputFormat::Json => json(answer),
    };
    CommandOutput { text, exit_code }
}

fn json<T: Serialize>(answer: &T) -> String {
    // The bodies have string keys only, so encoding them cannot fail.
    let text = serde_json::to_string_pretty(answer).unwrap_or_default();
    format!("{text}\n")
}
