//! Reports on standard output.

use std::io::{Write, stdout};
use std::process::ExitCode;

use chestnutfork_load::Report;
use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches};

use super::ToolError;
use super::arguments::required;

/// Exit status of a run that violated a guarantee.
const EXIT_GUARANTEE_VIOLATED: u8 = 3;

/// Format of a report on standard output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportFormat {
    /// Short human-readable text.
    Text,
    /// One JSON object.
    Json,
}

/// Declares the argument that selects the report format.
pub(crate) fn report_argument() -> Arg {
    Arg::new("report")
        .long("report")
        .value_name("FORM")
        .value_parser(PossibleValuesParser::new(["text", "json"]))
        .default_value("text")
        .help("Format of the report on standard output")
}

/// Returns the selected report format.
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
        document: "report".to_owned(),
        source,
    })
}

/// Returns the exit status of a run and prints each violated guarantee on standard error.
pub(crate) fn exit_code(report: &Report) -> ExitCode {
    let violations = report.violations();
    for violation in &violations {
        eprintln!("guarantee violated: {violation}");
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(EXIT_GUARANTEE_VIOLATED)
    }
}
