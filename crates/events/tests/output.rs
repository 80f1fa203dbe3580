//! Tests of the log output; one test function, because the logger belongs to the whole process.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use chestnutfork_events::{ConfigEvent, EntryEvent, Format, LinkEvent, Severity, emit, init_with_writer};

/// Writer that hands each write to the test.
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

/// Writer whose reader is gone.
struct BrokenWriter;

impl Write for BrokenWriter {
    fn write(&mut self, _buf: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Err(io::ErrorKind::BrokenPipe.into())
    }
}

/// Writer that waits for the test before each write.
struct StoppedWriter {
    go: Receiver<()>,
    lines: Sender<Vec<u8>>,
}

impl Write for StoppedWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let _ = self.go.recv();
        let _ = self.lines.send(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines of the output, which arrive in batches.
struct Lines {
    rx: Receiver<Vec<u8>>,
    left: Vec<String>,
}

impl Lines {
    fn new(rx: Receiver<Vec<u8>>) -> Self {
        let left = Vec::new();
        Self { rx, left }
    }

    /// Waits for the next line.
    fn next(&mut self) -> String {
        if self.left.is_empty() {
            let bytes = self.rx.recv().expect("writer is open");
            let text = String::from_utf8(bytes).expect("output is UTF-8");
            assert!(text.ends_with('\n'), "a batch holds whole lines: {text}");
            self.left = text.lines().rev().map(str::to_owned).collect();
        }
        self.left.pop().expect("a batch has lines")
    }
}

fn capture(least: Severity, format: Format) -> Lines {
    let (tx, rx) = channel();
    init_with_writer(ChannelWriter(tx), least, format).expect("logger is built");
    Lines::new(rx)
}

const REFUSED: EntryEvent<'static> = EntryEvent::JobRefused {
    service: "desk\nforged=1",
    team: "setters",
    code: "queue_full",
    not_run: true,
};

/// Guards against a panic without set-up, lost fields, forged lines, an ignored filter, and a broken or stopped reader
/// that ends or blocks the process.
#[test]
fn emit_writes_structured_lines() {
    emit(&LinkEvent::Opened {
        peer: "a",
        role: "entry",
    });
    json_lines_hold_fields();
    text_lines_are_quoted_and_filtered();
    init_with_writer(BrokenWriter, Severity::Debug, Format::Text).expect("logger is built");
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

/// Events that the queue holds at least.
const QUEUED: u64 = 8_192;
/// Events emitted while the reader has stopped.
const EMITTED: u64 = 20_000;

fn stopped_reader_does_not_block() {
    let (go, stopped) = channel();
    let (tx, rx) = channel();
    let writer = StoppedWriter {
        go: stopped,
        lines: tx,
    };
    let mut lines = Lines::new(rx);
    init_with_writer(writer, Severity::Debug, Format::Json).expect("logger is built");
    for _ in 0..EMITTED {
        emit(&REFUSED);
    }
    drop(go);
    let first: Vec<String> = (0..QUEUED).map(|_| lines.next()).collect();
    assert!(first.iter().all(|line| line.contains("job_refused")));
    emit(&REFUSED);
    let mut written = QUEUED;
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
