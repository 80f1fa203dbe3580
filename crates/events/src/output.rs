//! Set-up of the log output and the function that logs an event.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::{ErrorHandler, LevelFilter, Logger, Record};
use thiserror::Error;

use crate::batch::BatchSink;
use crate::catalogue::ProcessEvent;
use crate::declaration::{Event, Severity};
use crate::format::{EVENT_KEY, Format, LineFormatter};

/// Number of events dropped since the last report because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Failure to set up the log output.
#[derive(Debug, Error)]
pub enum InitError {
    /// The logger cannot be built.
    #[error("cannot build the logger: {0}; report this as a bug")]
    Logger(#[from] spdlog::Error),
    /// The writer thread cannot be started.
    #[error("cannot start the log thread: {0}; raise the limit on threads or memory")]
    Thread(#[from] std::io::Error),
}

/// Logs an event if its severity passes the level filter.
///
/// A process that has not called [`init`] logs with spdlog's defaults. After [`init`], a dedicated thread writes the
/// lines in batches; lines below severity warn are delayed by up to 50 ms. A log reader that has stopped cannot block
/// the caller: when the queue is full, events are dropped, and their number is logged later. Failed writes are ignored,
/// so that the loss of the log reader does not end the process.
///
/// # Examples
///
/// ```
/// use chestnutfork_events::{ProcessEvent, emit};
///
/// emit(&ProcessEvent::Started { role: "entry", node: "entry-1", process: 7 });
/// ```
pub fn emit<E: Event>(event: &E) {
    let logger = spdlog::default_logger();
    if DROPPED.load(Ordering::Relaxed) > 0 {
        report_dropped(&logger);
    }
    event.log(&logger);
}

/// Logs the number of dropped events; if this event is dropped as well, [`count_dropped`] restores the count.
fn report_dropped(logger: &Logger) {
    let events = DROPPED.swap(0, Ordering::Relaxed);
    if events > 0 {
        ProcessEvent::LogDropped { events }.log(logger);
    }
}

/// Counts an event that was dropped; a dropped report counts as the events that it reports.
fn count_dropped(record: &Record<'_>) {
    let value = |name: &str| {
        let mut values = record.key_values().into_iter();
        values.find_map(|(key, value)| (key.as_str() == name).then(|| value.to_u64())?)
    };
    let report = ProcessEvent::LogDropped { events: 0 };
    let is_report = value(EVENT_KEY) == Some(u64::from(report.declaration().number));
    let events = if is_report {
        value("events").unwrap_or(0)
    } else {
        1
    };
    DROPPED.fetch_add(events, Ordering::Relaxed);
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
/// Fails if the logger cannot be built.
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
    init_with_writer(std::io::stdout(), min_severity, format)
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
    let sink = BatchSink::start(writer, LineFormatter(format), count_dropped)?;
    let logger = Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(min_severity.level()))
        .error_handler(ErrorHandler::new(|_| {}))
        .sink(Arc::new(sink))
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
