//! Reports on standard output.

use std::io::{Write, stdout};
use std::process::ExitCode;

use chestnutfork_load::Report;
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches};

use super::ToolError;
use super::arguments::required;

/// Exit status of a run that proves a promise broken.
const BROKEN_PROMISE: u8 = 3;

/// Form of a report on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    /// Short text for people.
    Text,
    /// One JSON object.
    Json,
}

/// Declares the argument that chooses the form of the report.
pub(crate) fn report_argument() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Form of the report on standard output")
}

/// Returns the chosen form of the report.
pub(crate) fn report_format(matches: &ArgMatches) -> ReportFormat {
    match required::<String>(matches, "report").as_str() {
        "json" => ReportFormat::Json,
        _ => ReportFormat::Text,
    }
}

/// Prints a report; in JSON it is exactly one object on one line.
pub(crate) fn print_report(report: &Report, format: ReportFormat) -> Result<(), ToolError> {
    let text = match format {
        ReportFormat::Text => report.to_string(),
        ReportFormat::Json => encode(report)?,
    };
    let mut out = stdout().lock();
    let printed = writeln!(out, "{text}").and_then(|()| out.flush());
    printed.map_err(|source| ToolError::Print { source })
}

/// Encodes a report as one JSON object.
pub(super) fn encode(report: &Report) -> Result<String, ToolError> {
    serde_json::to_string(report).map_err(|source| ToolError::Json {
        what: "report".to_owned(),
        source,
    })
}

/// Returns the exit status of a run, and says on standard error which promises it proves broken.
pub(crate) fn exit_code(report: &Report) -> ExitCode {
    let broken = report.violations();
    for promise in &broken {
        eprintln!("broken promise: {promise}");
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(BROKEN_PROMISE)
    }
}
