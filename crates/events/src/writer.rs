//! Writing of whole lines to a writer that may accept them in part, be not ready for a while, or fail.
//!
//! The queue of [`crate::batch`] hands batches over; this module decides what of them is written, retried and counted.

use std::io::{self, ErrorKind, Write};
use std::mem;
use std::thread;
use std::time::Duration;

/// Delay before the first retry of a writer that is not ready.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1);
/// Maximum delay between retries, short enough that a flush at the end of the process sees several of them.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Lines that are written together.
#[derive(Debug, Default)]
pub(crate) struct Batch {
    /// Lines, each with its line break.
    pub(crate) text: String,
    /// Number of lines that were dropped after these lines because the queue was full.
    pub(crate) dropped: u64,
}

/// Formatter of the line that reports dropped lines.
pub(crate) trait FormatDropped {
    /// Returns the line with its line break, or nothing if its severity is below the minimum.
    fn format_dropped(&self, lines: u64) -> Vec<u8>;
}

/// Writer of whole lines, which counts the lines that it gives up.
///
/// The output is always a sequence of whole lines: a line that was accepted in part is completed before the next one.
pub(crate) struct LogWriter<W, F> {
    writer: W,
    formatter: F,
    /// Rest of a line that was accepted in part before a write failed.
    partial: Vec<u8>,
    /// Number of lines dropped or given up since the last report.
    unreported: u64,
}

impl<W: Write, F: FormatDropped> LogWriter<W, F> {
    pub(crate) fn new(writer: W, formatter: F) -> Self {
        Self {
            writer,
            formatter,
            partial: Vec::new(),
            unreported: 0,
        }
    }

    /// Returns whether a line is to be completed or a loss to be reported.
    pub(crate) fn has_backlog(&self) -> bool {
        !self.partial.is_empty() || self.unreported > 0
    }

    /// Writes a batch after the backlog, and counts the lines of the batch if that fails.
    ///
    /// A writer that is not ready delays the batch; a writer that fails loses the lines that it has not started.
    pub(crate) fn write_batch(&mut self, batch: &Batch) {
        self.write_backlog();
        let lost = if self.has_backlog() {
            count_lines(batch.text.as_bytes())
        } else {
            self.write_lines(batch.text.as_bytes())
        };
        self.unreported += lost + batch.dropped;
        if lost == 0 && batch.dropped > 0 {
            self.write_backlog();
        }
        // Bytes that the writer has buffered stay there, so an error loses no line.
        let _ = retry(|| self.writer.flush());
    }

    /// Completes the line that was accepted in part, and reports the lines lost after it.
    fn write_backlog(&mut self) {
        let partial = mem::take(&mut self.partial);
        let accepted = self.write_bytes(&partial);
        self.partial = partial[accepted..].to_vec();
        if self.partial.is_empty() && self.unreported > 0 {
            let report = self.formatter.format_dropped(self.unreported);
            if self.write_lines(&report) == 0 {
                self.unreported = 0;
            }
        }
    }

    /// Writes lines until an error, and returns the number of lines of which nothing was written.
    fn write_lines(&mut self, text: &[u8]) -> u64 {
        let accepted = self.write_bytes(text);
        let (written, rest) = text.split_at(accepted);
        if written.last().is_none_or(|byte| *byte == b'\n') {
            return count_lines(rest);
        }
        let end = rest.iter().position(|byte| *byte == b'\n');
        let (partial, lost) = rest.split_at(end.map_or(rest.len(), |end| end + 1));
        self.partial = partial.to_vec();
        count_lines(lost)
    }

    /// Writes until an error, and returns the number of bytes that the writer accepted.
    fn write_bytes(&mut self, bytes: &[u8]) -> usize {
        let mut accepted = 0;
        while accepted < bytes.len() {
            match retry(|| self.writer.write(&bytes[accepted..])) {
                Ok(len) if len > 0 => accepted += len,
                Ok(_) | Err(_) => break,
            }
        }
        accepted
    }
}

fn count_lines(text: &[u8]) -> u64 {
    text.iter().map(|byte| u64::from(*byte == b'\n')).sum()
}

/// Repeats an operation while the writer is not ready, with an exponential delay.
fn retry<T>(mut operation: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut delay = MIN_RETRY_DELAY;
    loop {
        match operation() {
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {
                thread::sleep(delay);
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
            result => return result,
        }
    }
}
