//! Set-up of the log output and the function that logs an event.

use std::io::Write;
use std::sync::Arc;

use spdlog::sink::{Sink, StdStream, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{ErrorHandler, LevelFilter, Logger};
use thiserror::Error;

use crate::declaration::{Event, Severity};
use crate::format::{Format, LineFormatter};

/// Error while the log output is set up.
#[derive(Debug, Error)]
#[error("log output cannot be set up: {source}; check that standard error is open")]
pub struct InitError {
    #[from]
    source: spdlog::Error,
}

/// Logs an event if its severity passes the level filter.
///
/// A process that has not called [`init`] logs with spdlog's defaults. Failed writes are ignored, because a process must
/// not end for want of a log reader.
///
/// # Examples
///
/// ```
/// use chestnutfork_events::{ProcessEvent, emit};
///
/// emit(&ProcessEvent::Started { role: "entry", node: "entry-1", process: 7 });
/// ```
pub fn emit<E: Event>(event: &E) {
    event.log(&spdlog::default_logger());
}

/// Sends the events of the process to standard error, from the given severity upwards.
///
/// # Errors
///
/// Fails if the logger cannot be built.
///
/// # Examples
///
/// ```
/// use chestnutfork_events::{Format, Severity, init};
///
/// init(Severity::Info, Format::Text)?;
/// # Ok::<(), chestnutfork_events::InitError>(())
/// ```
pub fn init(least: Severity, format: Format) -> Result<(), InitError> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .style_mode(StyleMode::Never)
        .formatter(LineFormatter(format))
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    install(sink, least)
}

/// Sends the events of the process to a writer, from the given severity upwards.
///
/// # Errors
///
/// Fails if the logger cannot be built.
///
/// # Examples
///
/// ```
/// use chestnutfork_events::{Format, Severity, init_with_writer};
///
/// init_with_writer(std::io::sink(), Severity::Debug, Format::Json)?;
/// # Ok::<(), chestnutfork_events::InitError>(())
/// ```
pub fn init_with_writer<W: Write + Send + 'static>(
    writer: W,
    least: Severity,
    format: Format,
) -> Result<(), InitError> {
    let sink = WriteSink::builder()
        .target(writer)
        .formatter(LineFormatter(format))
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    install(sink, least)
}

fn install(sink: Arc<dyn Sink>, least: Severity) -> Result<(), InitError> {
    let logger = Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(least.level()))
        .flush_level_filter(LevelFilter::All)
        .error_handler(ErrorHandler::new(|_| {}))
        .sink(sink)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
