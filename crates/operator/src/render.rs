//! Text output of answers.

use std::time::{Duration, SystemTime};

use chestnutfork_events::rfc3339;

use crate::body::{
    AuditBody, AuditRecordBody, ConfigBody, DifferenceBody, PatchBody, ProcessBody, ReplicaBody, StatusBody,
    VerdictBody, ViolationBody,
};
use crate::table::{clean, table};

const NONE: &str = "-";

pub(crate) fn verdict(patch: &PatchBody, verdict: &VerdictBody) -> String {
    let id = patch.patch_id;
    match verdict {
        VerdictBody::Accepted { version, differences } => {
            let note = if patch.dry_run {
                " (dry run: nothing was changed)"
            } else {
                ""
            };
            let changes = changes(differences);
            format!("accepted as version {version}{note}\npatch id {id}\n{changes}")
        }
        VerdictBody::Conflict { version, differences } => {
            let base = patch.base;
            let changes = changes(differences);
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
        .map(|error| format!("  {}: {}", clean(&error.path), plain(&error.message)))
        .collect();
    lines.join("\n")
}

fn changes(differences: &[DifferenceBody]) -> String {
    if differences.is_empty() {
        return "no differences\n".to_owned();
    }
    let cell = |value: &Option<String>| value.clone().unwrap_or_else(|| NONE.to_owned());
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
        clean(leader),
        status.term,
        clean(&status.node),
        replicas(&status.replicas),
        status.view.number,
        plain(&status.view.entries.join(", ")),
        processes(&status.processes, status.version),
    )
}

fn replicas(replicas: &[ReplicaBody]) -> String {
    let rows: Vec<[String; 5]> = replicas
        .iter()
        .map(|replica| {
            let address = replica
                .address
                .map_or(NONE.to_owned(), |address| address.to_string());
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

fn processes(processes: &[ProcessBody], current: u64) -> String {
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
    let mut blocks: Vec<String> = audit.records.iter().map(record).collect();
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

fn record(record: &AuditRecordBody) -> String {
    let time = SystemTime::UNIX_EPOCH
        .checked_add(Duration::from_millis(record.time_ms))
        .map_or(NONE.to_owned(), rfc3339);
    let changes = changes(&record.differences);
    let indented = changes.trim_end().replace('\n', "\n  ");
    format!(
        "version {} (base {}) at {time} by {}: {}\n  patch id {}, in force in {} of {} processes\n  {indented}",
        record.version,
        record.base,
        clean(&record.operator),
        plain(&record.reason),
        record.patch_id,
        record.in_force,
        record.processes,
    )
}

pub(crate) fn config(config: &ConfigBody) -> String {
    let document = serde_yaml_ng::to_string(&config.document).unwrap_or_else(|_| config.document.to_string());
    format!("# version {}\n{document}", config.version)
}

/// Replaces control characters of a text that is shown whole.
fn plain(text: &str) -> String {
    text.chars()
        .map(|c| if c.is_control() { '?' } else { c })
        .collect()
}
