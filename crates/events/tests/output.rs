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

fn capture(least: Severity, format: Format) -> Receiver<Vec<u8>> {
    let (tx, rx) = channel();
    init_with_writer(ChannelWriter(tx), least, format).expect("logger is built");
    rx
}

fn text(rx: &Receiver<Vec<u8>>) -> String {
    let bytes: Vec<u8> = rx.try_iter().flatten().collect();
    String::from_utf8(bytes).expect("output is UTF-8")
}

const REFUSED: EntryEvent<'static> = EntryEvent::JobRefused {
    service: "desk\nforged=1",
    team: "setters",
    code: "queue_full",
    not_run: true,
};

/// Guards against a panic without set-up or with a broken reader, lost fields, forged lines and an ignored filter.
#[test]
fn emit_writes_structured_lines() {
    emit(&LinkEvent::Opened {
        peer: "a",
        role: "entry",
    });

    let rx = capture(Severity::Debug, Format::Json);
    emit(&REFUSED);
    emit(&LinkEvent::Silent {
        peer: "entry-1",
        role: "entry",
        silent: Duration::from_secs(3),
    });
    let lines: Vec<serde_json::Value> = text(&rx)
        .lines()
        .map(|line| serde_json::from_str(line).expect("line is JSON"))
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["event"], 4006);
    assert_eq!(lines[0]["name"], "job_refused");
    assert_eq!(lines[0]["fields"]["service"], "desk\nforged=1");
    assert_eq!(lines[0]["fields"]["not_run"], true);
    assert_eq!(lines[1]["level"], "warn");
    assert_eq!(lines[1]["fields"]["silent"], 3000);

    let rx = capture(Severity::Info, Format::Text);
    emit(&REFUSED);
    assert_eq!(text(&rx), "");
    emit(&ConfigEvent::Confirmed {
        version: 7,
        from: "x y=\n",
    });
    let line = text(&rx);
    assert_eq!(line.lines().count(), 1);
    assert!(line.contains(
        " INFO     3003 configuration_confirmed: configuration confirmed again version=7 from=\"x y=\\n\""
    ));

    init_with_writer(BrokenWriter, Severity::Debug, Format::Text).expect("logger is built");
    emit(&REFUSED);
}
