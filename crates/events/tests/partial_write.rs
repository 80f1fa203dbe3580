//! Tests of the log output on writers that accept a batch in part, are not ready for a while, or fail.

use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use chestnutfork_events::{ConfigEvent, Format, Severity, emit, init_with_writer};

/// Serialises the tests, because the logger is global to the process.
static LOGGER: Mutex<()> = Mutex::new(());

/// Time after which a missing line fails a test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that a writer accepts before its first error, which end within a line.
const PARTIAL_BYTES: usize = 1_000;
/// Number of lines whose text exceeds [`PARTIAL_BYTES`].
const LINES: u64 = 40;
/// Number of lines that exceeds the queue of 8,192 lines and the batch being written.
const MANY_LINES: u64 = 40_000;

fn exclusive_logger() -> MutexGuard<'static, ()> {
    LOGGER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writer that accepts [`PARTIAL_BYTES`], returns errors until it is repaired, and then accepts three bytes fewer
/// than it is given, at least one.
struct FaultyWriter {
    errors: Vec<io::ErrorKind>,
    accepted: usize,
    failed: usize,
    is_repaired: Arc<AtomicBool>,
    failures: Sender<()>,
    output: Sender<Vec<u8>>,
}

impl Write for FaultyWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut len = buf.len();
        if !self.is_repaired.load(Ordering::SeqCst) {
            len = len.min(PARTIAL_BYTES - self.accepted);
            if len == 0 {
                let error = self.errors[self.failed % self.errors.len()];
                self.failed += 1;
                let _ = self.failures.send(());
                return Err(error.into());
            }
        } else if len > 3 {
            len -= 3;
        }
        self.accepted += len;
        let _ = self.output.send(buf[..len].to_vec());
        Ok(len)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Other end of a [`FaultyWriter`].
struct Fault {
    is_repaired: Arc<AtomicBool>,
    failures: Receiver<()>,
    output: Receiver<Vec<u8>>,
}

impl Fault {
    /// Sends the log to a writer that returns the errors in turn.
    fn start(errors: &[io::ErrorKind]) -> Self {
        let is_repaired = Arc::new(AtomicBool::new(false));
        let (failures_tx, failures) = channel();
        let (output_tx, output) = channel();
        let writer = FaultyWriter {
            errors: errors.to_vec(),
            accepted: 0,
            failed: 0,
            is_repaired: Arc::clone(&is_repaired),
            failures: failures_tx,
            output: output_tx,
        };
        init_with_writer(writer, Severity::Info, Format::Json).expect("logger is built");
        Self {
            is_repaired,
            failures,
            output,
        }
    }

    fn wait_for_failures(&self, count: usize) {
        for _ in 0..count {
            self.failures.recv_timeout(TIMEOUT).expect("the writer is tried");
        }
    }

    fn repair(&self) {
        self.is_repaired.store(true, Ordering::SeqCst);
    }

    /// Reads until `total` lines are written or reported as dropped.
    fn read_until(&self, total: u64) -> Account {
        let mut account = Account::default();
        while account.accounted() < total {
            let bytes = self.output.recv_timeout(TIMEOUT);
            account.read(&bytes.unwrap_or_else(|_| panic!("lines are missing: {account:?}")));
        }
        account
    }
}

/// Account of consecutively numbered lines, which checks that each is complete, or is reported as dropped in its place.
#[derive(Debug, Default)]
struct Account {
    text: Vec<u8>,
    written: u64,
    dropped: u64,
}

impl Account {
    fn accounted(&self) -> u64 {
        self.written + self.dropped
    }

    fn read(&mut self, bytes: &[u8]) {
        self.text.extend_from_slice(bytes);
        while let Some(end) = self.text.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.text.drain(..=end).collect();
            self.add_line(&line);
        }
    }

    fn add_line(&mut self, line: &[u8]) {
        let line = str::from_utf8(line).expect("output is UTF-8");
        let value: serde_json::Value =
            serde_json::from_str(line).unwrap_or_else(|error| panic!("{error} in {line}"));
        if value["name"] == "log_dropped" {
            self.dropped += value["fields"]["events"].as_u64().expect("count is a number");
        } else {
            let number = value["fields"]["version"].as_u64();
            assert_eq!(number, Some(self.accounted()), "an uncounted loss before {line}");
            self.written += 1;
        }
    }
}

/// Emits numbered events.
fn emit_lines(numbers: std::ops::Range<u64>) {
    for version in numbers {
        emit(&ConfigEvent::Confirmed {
            version,
            from: "control-1",
        });
    }
}

/// Guards against the loss of the rest of a batch that a full pipe accepts in part.
#[test]
fn emit_not_ready_writer_gets_rest_later() {
    let _logger = exclusive_logger();
    let fault = Fault::start(&[io::ErrorKind::WouldBlock, io::ErrorKind::Interrupted]);
    emit_lines(0..LINES);
    fault.wait_for_failures(5);
    fault.repair();
    emit_lines(LINES..2 * LINES);
    let account = fault.read_until(2 * LINES);
    assert_eq!(account.dropped, 0);
}

/// Guards against an unbounded queue, a blocked caller and uncounted lines while the writer is not ready.
#[test]
fn emit_not_ready_writer_bounds_queue() {
    let _logger = exclusive_logger();
    let fault = Fault::start(&[io::ErrorKind::WouldBlock]);
    emit_lines(0..MANY_LINES);
    fault.wait_for_failures(5);
    spdlog::default_logger().flush();
    fault.repair();
    let account = fault.read_until(MANY_LINES);
    assert!(account.dropped >= MANY_LINES - 2 * 8_192, "{}", account.dropped);
}

/// Guards against uncounted lines and a line that breaks off before the next one when a write fails for good.
#[test]
fn emit_failed_write_is_counted() {
    let _logger = exclusive_logger();
    let fault = Fault::start(&[io::ErrorKind::StorageFull]);
    emit_lines(0..LINES);
    fault.wait_for_failures(1);
    emit_lines(LINES..2 * LINES);
    fault.wait_for_failures(1);
    fault.repair();
    emit_lines(2 * LINES..3 * LINES);
    let account = fault.read_until(3 * LINES);
    assert!(account.dropped > 0);
}

/// Guards against a loss that stays unreported because the process logs nothing after it.
#[test]
fn emit_failed_write_is_reported_without_further_events() {
    let _logger = exclusive_logger();
    let fault = Fault::start(&[io::ErrorKind::BrokenPipe]);
    emit_lines(0..LINES);
    fault.wait_for_failures(1);
    fault.repair();
    let account = fault.read_until(LINES);
    assert!(account.dropped > 0);
}

/// Guards against uncounted and broken lines on a socket that does not block and whose reader is slow.
#[test]
fn emit_slow_reader_gets_complete_lines() {
    let _logger = exclusive_logger();
    let (writer, mut reader) = UnixStream::pair().expect("sockets are created");
    writer.set_nonblocking(true).expect("socket is configured");
    reader
        .set_read_timeout(Some(TIMEOUT))
        .expect("socket is configured");
    init_with_writer(writer, Severity::Info, Format::Json).expect("logger is built");
    let emitter = thread::spawn(|| emit_lines(0..MANY_LINES));
    let mut account = Account::default();
    let mut buf = [0; 512];
    while account.accounted() < MANY_LINES {
        let len = reader.read(&mut buf);
        let len = len.unwrap_or_else(|error| panic!("{error}; lines are missing: {account:?}"));
        account.read(&buf[..len]);
    }
    emitter.join().expect("emitter ends");
}
