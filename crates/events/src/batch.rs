//! Sink that collects lines, which a dedicated thread writes in batches.
//!
//! A busy process logs hundreds of lines per second. Waking the writer and making a system call for each line would
//! cost more than the work that the lines report.

use std::io::{self, Write};
use std::mem;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{ErrorHandler, Level, LevelFilter, Record, StringBuf};

use crate::format::LineFormatter;
use crate::writer::{Batch, FormatDropped, LogWriter};

/// Capacity of the queue in lines beside the batch being written; further lines are dropped and counted.
const QUEUE_LINES: usize = 8_192;
/// Maximum delay of a line that is not urgent; a killed process loses at most the lines of this period.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Size of a batch that is written without further delay.
const BATCH_BYTES: usize = 64 * 1024;
/// Limit on the time to flush when the process ends, because the log reader may have stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before a failed writer is tried again if no more lines are queued.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Sink with a bounded queue of formatted lines.
pub(crate) struct BatchSink {
    prop: SinkProp,
    queue: Arc<Queue>,
}

#[derive(Default)]
struct Queue {
    lines: Mutex<Lines>,
    /// Signals the writer that lines are queued.
    ready: Condvar,
    /// Signals callers of `flush` that all lines have been written.
    idle: Condvar,
}

#[derive(Default)]
struct Lines {
    batch: Batch,
    count: usize,
    /// Whether the text is to be written without waiting for more lines.
    urgent: bool,
    writing: bool,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Lines> {
        // The lines remain valid if another thread panics.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines, and up to [`BATCH_DELAY`] for more unless they are urgent.
    ///
    /// If no line is queued before the timeout, the batch is empty.
    fn next_batch(&self, timeout: Option<Duration>) -> Batch {
        let empty = |lines: &mut Lines| lines.count == 0;
        let collecting = |lines: &mut Lines| lines.count > 0 && !lines.urgent;
        let queued = if let Some(timeout) = timeout {
            let waited = self.ready.wait_timeout_while(self.lock(), timeout, empty);
            waited.unwrap_or_else(PoisonError::into_inner).0
        } else {
            let waited = self.ready.wait_while(self.lock(), empty);
            waited.unwrap_or_else(PoisonError::into_inner)
        };
        let collected = self.ready.wait_timeout_while(queued, BATCH_DELAY, collecting);
        let (mut lines, _) = collected.unwrap_or_else(PoisonError::into_inner);
        lines.count = 0;
        lines.urgent = false;
        lines.writing = true;
        mem::take(&mut lines.batch)
    }

    fn write_to<W: Write, F: FormatDropped>(&self, mut writer: LogWriter<W, F>) {
        loop {
            let timeout = writer.has_backlog().then_some(RETRY_DELAY);
            writer.write_batch(&self.next_batch(timeout));
            self.lock().writing = false;
            self.idle.notify_all();
        }
    }
}

impl BatchSink {
    /// Starts the writer thread; `dropped` formats the reports of dropped lines.
    pub(crate) fn start<W, F>(writer: W, formatter: LineFormatter, dropped: F) -> io::Result<Self>
    where
        W: Write + Send + 'static,
        F: FormatDropped + Send + 'static,
    {
        let queue = Arc::new(Queue::default());
        let thread_queue = Arc::clone(&queue);
        let writer = LogWriter::new(writer, dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread_queue.write_to(writer))?;
        let prop = SinkProp::default();
        prop.set_formatter(formatter);
        prop.set_error_handler(ErrorHandler::new(|_| {}));
        Ok(Self { prop, queue })
    }
}

impl GetSinkProp for BatchSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BatchSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let mut line = StringBuf::new();
        self.prop
            .formatter()
            .format(record, &mut line, &mut FormatterContext::new())?;
        let mut lines = self.queue.lock();
        if lines.count >= QUEUE_LINES {
            lines.batch.dropped += 1;
            return Ok(());
        }
        lines.batch.text.push_str(&line);
        lines.count += 1;
        let is_severe = LevelFilter::MoreSevereEqual(Level::Warn).test(record.level());
        let urgent = is_severe || lines.batch.text.len() >= BATCH_BYTES;
        let wake = lines.count == 1 || (urgent && !lines.urgent);
        lines.urgent |= urgent;
        drop(lines);
        if wake {
            self.queue.ready.notify_one();
        }
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        let mut lines = self.queue.lock();
        if lines.count > 0 {
            lines.urgent = true;
            self.queue.ready.notify_one();
        }
        let busy = |lines: &mut Lines| lines.writing || lines.count > 0;
        // Lines that are not written within the timeout are lost.
        let _ = self.queue.idle.wait_timeout_while(lines, FLUSH_TIMEOUT, busy);
        Ok(())
    }
}
