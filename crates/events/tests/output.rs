//! Tests of the log output, in a single test function because the logger is global to the process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use chestnutfork_events::{ConfigEvent, EntryEvent, Format, LinkEvent, Severity, emit, init_with_writer};

/// Writer that sends the bytes of each write to the test.
struct ChannelWriter(Sender<Vec<u8>>);

impl Write for ChannelWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.0.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writer whose reader has closed the pipe.
struct ClosedPipeWriter;

impl Write for ClosedPipeWriter {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

/// Writer that blocks before each write until the test allows it.
struct BlockedWriter {
    resume: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for BlockedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.resume.recv();
        let _ = self.lines.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reader of the output lines, which are written in batches.
struct Lines {
    rx: Receiver<Vec<u8>>,
    pending: Vec<String>,
}

impl Lines {
    fn new(rx: Receiver<Vec<u8>>) -> Self {
        let pending = Vec::new();
        Self { rx, pending }
    }

    /// Waits for the next line.
    fn next(&mut self) -> String {
        if self.pending.is_empty() {
            let bytes = self.rx.recv().expect("writer is open");
            let text = String::from_utf8(bytes).expect("output is UTF-8");
            assert!(text.ends_with('\n'), "a batch ends with a complete line: {text}");
            self.pending = text.lines().rev().map(str::to_owned).collect();
        }
        self.pending.pop().expect("a batch has lines")
    }
}

fn capture(min_severity: Severity, format: Format) -> Lines {
    let (tx, rx) = channel();
    init_with_writer(ChannelWriter(tx), min_severity, format).expect("logger is built");
    Lines::new(rx)
}

const REFUSED: EntryEvent<'static> = EntryEvent::JobRefused {
    service: "desk\nforged=1",
    team: "setters",
    code: "queue_full",
    not_run: true,
};

/// Guards against a panic before the logger is set up, lost fields, values that forge log lines, an ignored level
/// filter, and a closed or stopped reader that ends or blocks the process.
#[test]
fn emit_writes_structured_lines() {
    emit(&LinkEvent::Opened {
        peer: "a",
        role: "entry",
    });
    json_lines_hold_fields();
    text_lines_are_quoted_and_filtered();
    init_with_writer(ClosedPipeWriter, Severity::Debug, Format::Text).expect("logger is built");
    emit(&REFUSED);
    stopped_reader_does_not_block();
}

fn json_lines_hold_fields() {
    let mut lines = capture(Severity::Debug, Format::Json);
    emit(&REFUSED);
    emit(&LinkEvent::Silent {
        peer: "entry-1",
        role: "entry",
        silent: Duration::from_secs(3),
    });
    let lines = [lines.next(), lines.next()].map(|line| {
        let value: serde_json::Value = serde_json::from_str(&line).expect("line is JSON");
        value
    });
    assert_eq!(lines[0]["event"], 4006);
    assert_eq!(lines[0]["name"], "job_refused");
    assert_eq!(lines[0]["fields"]["service"], "desk\nforged=1");
    assert_eq!(lines[0]["fields"]["not_run"], true);
    assert_eq!(lines[1]["level"], "warn");
    assert_eq!(lines[1]["fields"]["silent"], 3000);
}

fn text_lines_are_quoted_and_filtered() {
    let mut lines = capture(Severity::Info, Format::Text);
    emit(&REFUSED);
    emit(&ConfigEvent::Confirmed {
        version: 7,
        from: "x y=\n",
    });
    let line = lines.next();
    let expected =
        " INFO     3003 configuration_confirmed: configuration confirmed again version=7 from=\"x y=\\n\"";
    assert!(line.contains(expected), "{line}");
}

/// Capacity of the queue in lines.
const QUEUE_LINES: u64 = 8_192;
/// Number of events emitted while the reader is stopped.
const EMITTED: u64 = 20_000;

fn stopped_reader_does_not_block() {
    let (resume, stopped) = channel();
    let (tx, rx) = channel();
    let writer = BlockedWriter {
        resume: stopped,
        lines: tx,
    };
    let mut lines = Lines::new(rx);
    init_with_writer(writer, Severity::Debug, Format::Json).expect("logger is built");
    for _ in 0..EMITTED {
        emit(&REFUSED);
    }
    drop(resume);
    let first: Vec<String> = (0..QUEUE_LINES).map(|_| lines.next()).collect();
    assert!(first.iter().all(|line| line.contains("job_refused")));
    emit(&REFUSED);
    let mut written = QUEUE_LINES;
    let report = loop {
        let line = lines.next();
        if line.contains("log_dropped") {
            break line;
        }
        written += 1;
    };
    let report: serde_json::Value = serde_json::from_str(&report).expect("line is JSON");
    assert_eq!(report["fields"]["events"], EMITTED - written);
    assert!(lines.next().contains("job_refused"));
}
