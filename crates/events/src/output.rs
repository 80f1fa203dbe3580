//! Set-up of the log output and the function that logs an event.

use std::fs::File;
use std::io::Write;
use std::mem;
use std::os::fd::AsFd;
use std::sync::Arc;

use spdlog::sink::{Sink, WriteSink};
use spdlog::{ErrorHandler, LevelFilter, Logger};
use thiserror::Error;

use crate::batch::BatchSink;
use crate::catalogue::ProcessEvent;
use crate::declaration::{Event, Severity};
use crate::format::{Format, LineFormatter};
use crate::writer::FormatDropped;

/// Failure to set up the log output.
#[derive(Debug, Error)]
pub enum InitError {
    /// The logger cannot be built.
    #[error("cannot build the logger: {0}; report this as a bug")]
    Logger(#[from] spdlog::Error),
    /// The writer thread cannot be started.
    #[error("cannot start the log thread: {0}; raise the limit on threads or memory")]
    Thread(#[source] std::io::Error),
    /// Standard output cannot be opened.
    #[error("cannot open standard output: {0}; raise the limit on open files")]
    Output(#[source] std::io::Error),
}

/// Formatter of event 1010, which writes to memory through a logger of its own.
struct DroppedFormatter {
    logger: Logger,
    sink: Arc<WriteSink<Vec<u8>>>,
}

impl DroppedFormatter {
    fn new(level_filter: LevelFilter, formatter: LineFormatter) -> Result<Self, spdlog::Error> {
        let sink = WriteSink::builder().formatter(formatter).target(Vec::new());
        let sink = sink.build_arc()?;
        let logger = build_logger(level_filter, Arc::clone(&sink) as Arc<dyn Sink>)?;
        Ok(Self { logger, sink })
    }
}

impl FormatDropped for DroppedFormatter {
    fn format_dropped(&self, events: u64) -> Vec<u8> {
        ProcessEvent::LogDropped { events }.log(&self.logger);
        self.sink.with_target(mem::take)
    }
}

fn build_logger(level_filter: LevelFilter, sink: Arc<dyn Sink>) -> Result<Logger, spdlog::Error> {
    Logger::builder()
        .level_filter(level_filter)
        .error_handler(ErrorHandler::new(|_| {}))
        .sink(sink)
        .build()
}

/// Logs an event if its severity passes the level filter.
///
/// A process that has not called [`init`] logs with spdlog's defaults. After [`init`], a dedicated thread writes the
/// lines in batches; lines below severity warn are delayed by up to 50 ms. A log reader that is slow or has stopped
/// cannot block the caller: when the queue is full, events are dropped. The events of a failed write are dropped too, so
/// that the loss of the log reader does not end the process. Event 1010 reports how many events were dropped, in their
/// place, as soon as writing works again. A line that was written in part is completed before the next line.
///
/// When the process ends, it waits up to 200 ms for queued lines; those not written by then are lost without a report.
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
pub fn init(min_severity: Severity, format: Format) -> Result<(), InitError> {
    init_with_writer(std::io::stderr(), min_severity, format)
}

/// Sends the events of the process to standard output, from the given severity upwards.
///
/// # Errors
///
/// Fails if the logger cannot be built or the process has too many open files.
///
/// # Examples
///
/// ```
/// use chestnutfork_events::{Format, Severity, init_stdout};
///
/// init_stdout(Severity::Info, Format::Json)?;
/// # Ok::<(), chestnutfork_events::InitError>(())
/// ```
pub fn init_stdout(min_severity: Severity, format: Format) -> Result<(), InitError> {
    // `Stdout` buffers the end of a partial write and may discard it when the process ends.
    let stdout = std::io::stdout().as_fd().try_clone_to_owned();
    let stdout = File::from(stdout.map_err(InitError::Output)?);
    init_with_writer(stdout, min_severity, format)
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
    min_severity: Severity,
    format: Format,
) -> Result<(), InitError> {
    let level_filter = LevelFilter::MoreSevereEqual(min_severity.level());
    let formatter = LineFormatter(format);
    let dropped = DroppedFormatter::new(level_filter, formatter.clone())?;
    let sink = BatchSink::start(writer, formatter, dropped).map_err(InitError::Thread)?;
    let logger = build_logger(level_filter, Arc::new(sink))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
