//! Rendering of responses as text.

use std::time::{Duration, SystemTime};

use chestnutfork_events::rfc3339;

use crate::body::{
    AuditBody, AuditRecordBody, ConfigBody, DifferenceBody, PatchBody, ProcessBody, ReplicaBody, StatusBody,
    VerdictBody, ViolationBody,
};
use crate::table::{sanitize_cell, table};

const ABSENT: &str = "-";

pub(crate) fn verdict(patch: &PatchBody, verdict: &VerdictBody) -> String {
    let id = patch.patch_id;
    match verdict {
        VerdictBody::Accepted { version, differences } => {
            let note = if patch.dry_run {
                " (dry run: nothing was changed)"
            } else {
                ""
            };
            let changes = changes_table(differences);
            format!("accepted as version {version}{note}\npatch id {id}\n{changes}")
        }
        VerdictBody::Conflict { version, differences } => {
            let base = patch.base;
            let changes = changes_table(differences);
            format!(
                "conflict: the patch was made against version {base}, but version {version} is current; nothing \
                 was changed\npatch id {id}\nChanged since then:\n{changes}"
            )
        }
        VerdictBody::Invalid { errors } => {
            let count = errors.len();
            let lines = error_lines(errors);
            format!("invalid: nothing was changed; {count} errors\npatch id {id}\n{lines}\n")
        }
    }
}

fn error_lines(errors: &[ViolationBody]) -> String {
    let lines: Vec<String> = errors
        .iter()
        .map(|error| format!("  {}: {}", sanitize_cell(&error.path), sanitize(&error.message)))
        .collect();
    lines.join("\n")
}

fn changes_table(differences: &[DifferenceBody]) -> String {
    if differences.is_empty() {
        return "no differences\n".to_owned();
    }
    let cell = |value: &Option<String>| value.clone().unwrap_or_else(|| ABSENT.to_owned());
    let rows: Vec<[String; 3]> = differences
        .iter()
        .map(|difference| {
            [
                difference.path.clone(),
                cell(&difference.old),
                cell(&difference.new),
            ]
        })
        .collect();
    table(["KEY", "OLD", "NEW"], &rows)
}

pub(crate) fn status(status: &StatusBody) -> String {
    let behind = status
        .processes
        .iter()
        .filter(|process| process.version < status.version)
        .count();
    let leader = status.leader.as_deref().unwrap_or("none");
    format!(
        "configuration version {}, in force in {} of {} processes\nleader {}, term {}, answered by {}\n\n{}\n\
         entry view {}: {}\n\n{}",
        status.version,
        status.processes.len() - behind,
        status.processes.len(),
        sanitize_cell(leader),
        status.term,
        sanitize_cell(&status.node),
        replicas_table(&status.replicas),
        status.view.number,
        sanitize(&status.view.entries.join(", ")),
        processes_table(&status.processes, status.version),
    )
}

fn replicas_table(replicas: &[ReplicaBody]) -> String {
    let rows: Vec<[String; 5]> = replicas
        .iter()
        .map(|replica| {
            let address = replica
                .address
                .map_or(ABSENT.to_owned(), |address| address.to_string());
            [
                replica.name.clone(),
                replica.replica.to_string(),
                address,
                replica.state.clone(),
                replica.log_index.to_string(),
            ]
        })
        .collect();
    table(["CONTROL", "REPLICA", "ADDRESS", "STATE", "LOG"], &rows)
}

fn processes_table(processes: &[ProcessBody], current: u64) -> String {
    let rows: Vec<[String; 6]> = processes
        .iter()
        .map(|process| {
            let state = if process.version < current {
                "behind"
            } else {
                "in force"
            };
            [
                process.name.clone(),
                process.role.clone(),
                process.failure_domain.clone(),
                process.version.to_string(),
                state.to_owned(),
                format!("{} ms", process.silent_ms),
            ]
        })
        .collect();
    table(
        ["PROCESS", "ROLE", "DOMAIN", "VERSION", "STATE", "LAST SEEN"],
        &rows,
    )
}

pub(crate) fn audit(audit: &AuditBody) -> String {
    let mut blocks: Vec<String> = audit.records.iter().map(render_record).collect();
    match audit.records.last() {
        None => blocks.push("no records".to_owned()),
        Some(last) if audit.more => {
            blocks.push(format!(
                "more records follow; continue with --since {}",
                last.version
            ));
        }
        Some(_) => {}
    }
    format!("{}\n", blocks.join("\n\n"))
}

fn render_record(record: &AuditRecordBody) -> String {
    let time = SystemTime::UNIX_EPOCH
        .checked_add(Duration::from_millis(record.time_ms))
        .map_or(ABSENT.to_owned(), rfc3339);
    let changes = changes_table(&record.differences);
    let indented = changes.trim_end().replace('\n', "\n  ");
    format!(
        "version {} (base {}) at {time} by {}: {}\n  patch id {}, in force in {} of {} processes\n  {indented}",
        record.version,
        record.base,
        sanitize_cell(&record.operator),
        sanitize(&record.reason),
        record.patch_id,
        record.in_force,
        record.processes,
    )
}

pub(crate) fn config(config: &ConfigBody) -> String {
    let document = serde_yaml_ng::to_string(&config.document).unwrap_or_else(|_| config.document.to_string());
    format!("# version {}\n{document}", config.version)
}

/// Replaces control characters in a text without truncating it.
fn sanitize(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
