//! Set-up of the log output and the function that logs an event.

use std::io::Write;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use spdlog::error::SendToChannelErrorDropped;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, Sink, StdStream, StdStreamSink, WriteSink};
use spdlog::terminal_style::StyleMode;
use spdlog::{ErrorHandler, LevelFilter, Logger, RecordOwned, ThreadPool};
use thiserror::Error;

use crate::catalogue::ProcessEvent;
use crate::declaration::{Event, Severity};
use crate::format::{EVENT_KEY, Format, LineFormatter};

/// Events that wait for the writer; further ones are dropped and counted.
const QUEUE_CAPACITY: NonZeroUsize = NonZeroUsize::new(8_192).unwrap();

/// Events that were dropped since the last report, because the queue was full.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Error while the log output is set up.
#[derive(Debug, Error)]
#[error("log output cannot be set up: {source}; check that standard error is open")]
pub struct InitError {
    #[from]
    source: spdlog::Error,
}

/// Logs an event if its severity passes the level filter.
///
/// A process that has not called [`init`] logs with spdlog's defaults. After [`init`], a thread of its own writes the
/// lines, so a log reader that has stopped cannot block the caller: when the queue is full, events are dropped, and their
/// number is logged later. Failed writes are ignored, because a process must not end for want of a log reader.
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

/// Logs the number of dropped events; if that is dropped as well, the count is restored.
fn report_dropped(logger: &Logger) {
    let events = DROPPED.swap(0, Ordering::Relaxed);
    if events > 0 {
        ProcessEvent::LogDropped { events }.log(logger);
    }
}

/// Counts an event that found no room in the queue.
fn count_dropped(error: &spdlog::Error) {
    if let spdlog::Error::SendToChannel(_, SendToChannelErrorDropped::Record(record)) = error {
        DROPPED.fetch_add(dropped_events(record), Ordering::Relaxed);
    }
}

/// Returns how many events a dropped record stands for: a report stands for those that it counts.
fn dropped_events(record: &RecordOwned) -> u64 {
    let value = |name: &str| {
        let mut values = record.key_values().into_iter();
        values.find_map(|(key, value)| (key.as_str() == name).then(|| value.to_u64())?)
    };
    let report = ProcessEvent::LogDropped { events: 0 };
    if value(EVENT_KEY) == Some(u64::from(report.declaration().number)) {
        return value("events").unwrap_or(0);
    }
    1
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
    init_stream(StdStream::Stderr, least, format)
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
pub fn init_stdout(least: Severity, format: Format) -> Result<(), InitError> {
    init_stream(StdStream::Stdout, least, format)
}

fn init_stream(stream: StdStream, least: Severity, format: Format) -> Result<(), InitError> {
    let sink = StdStreamSink::builder()
        .std_stream(stream)
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
    let queue = ThreadPool::builder().capacity(QUEUE_CAPACITY).build_arc()?;
    let queued = AsyncPoolSink::builder()
        .sink(sink)
        .thread_pool(queue)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .error_handler(ErrorHandler::new(|_| {}))
        .build_arc()?;
    let logger = Logger::builder()
        .level_filter(LevelFilter::MoreSevereEqual(least.level()))
        .error_handler(ErrorHandler::new(|error| count_dropped(&error)))
        .sink(queued)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
