//! Sink that collects lines and lets a thread of its own write them in batches.
//!
//! A busy process logs hundreds of lines a second. A wake-up of the writer and a system call for each of them would cost it
//! more than the decisions that they report.

use std::io::Write;
use std::mem;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use spdlog::formatter::FormatterContext;
use spdlog::sink::{GetSinkProp, Sink, SinkProp};
use spdlog::{ErrorHandler, Level, LevelFilter, Record, StringBuf};

use crate::format::LineFormatter;

/// Lines that wait for the writer; further ones are dropped and counted.
const QUEUE_LINES: usize = 8_192;
/// Longest wait of a line for others; what a killed process has lost of its log is not older.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Amount of text that is written without a further wait.
const BATCH_BYTES: usize = 64 * 1024;
/// Longest wait for the writer when the process ends; the log reader may have stopped.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Sink with a bounded queue of formatted lines.
pub(crate) struct BatchSink {
    prop: SinkProp,
    queue: Arc<Queue>,
    dropped: fn(&Record<'_>),
}

#[derive(Default)]
struct Queue {
    lines: Mutex<Lines>,
    /// Tells the writer that there is something to write.
    ready: Condvar,
    /// Tells those who flush that everything has been written.
    idle: Condvar,
}

#[derive(Default)]
struct Lines {
    text: String,
    count: usize,
    /// Whether the text is to be written without a wait for more.
    urgent: bool,
    writing: bool,
}

impl Queue {
    fn lock(&self) -> MutexGuard<'_, Lines> {
        // The lines are valid after a panic of another thread as well.
        self.lines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for lines, and for others to join them unless they are urgent.
    fn next_batch(&self) -> String {
        let empty = |lines: &mut Lines| lines.count == 0;
        let waiting = self.ready.wait_while(self.lock(), empty);
        let waiting = waiting.unwrap_or_else(PoisonError::into_inner);
        let collecting = |lines: &mut Lines| !lines.urgent;
        let collected = self.ready.wait_timeout_while(waiting, BATCH_DELAY, collecting);
        let (mut lines, _) = collected.unwrap_or_else(PoisonError::into_inner);
        lines.count = 0;
        lines.urgent = false;
        lines.writing = true;
        mem::take(&mut lines.text)
    }

    fn write_to(&self, mut writer: impl Write) {
        loop {
            let batch = self.next_batch();
            // A process must not end for want of a log reader.
            let _ = writer.write_all(batch.as_bytes()).and_then(|()| writer.flush());
            self.lock().writing = false;
            self.idle.notify_all();
        }
    }
}

impl BatchSink {
    /// Starts the thread that writes; `dropped` is told of each line that finds no room.
    pub(crate) fn start<W: Write + Send + 'static>(
        writer: W,
        formatter: LineFormatter,
        dropped: fn(&Record<'_>),
    ) -> std::io::Result<Self> {
        let queue = Arc::new(Queue::default());
        let thread_queue = Arc::clone(&queue);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || thread_queue.write_to(writer))?;
        let prop = SinkProp::default();
        prop.set_formatter(formatter);
        prop.set_error_handler(ErrorHandler::new(|_| {}));
        Ok(Self { prop, queue, dropped })
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
            drop(lines);
            (self.dropped)(record);
            return Ok(());
        }
        lines.text.push_str(&line);
        lines.count += 1;
        let severe = LevelFilter::MoreSevereEqual(Level::Warn).test(record.level());
        let urgent = severe || lines.text.len() >= BATCH_BYTES;
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
        // What is left after the timeout is lost with the process.
        let _ = self.queue.idle.wait_timeout_while(lines, FLUSH_TIMEOUT, busy);
        Ok(())
    }
}
