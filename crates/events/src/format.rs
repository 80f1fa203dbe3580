//! Formatting of an event as a line of text or JSON.

use std::fmt::Write as _;

use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::kv::Value;
use spdlog::{Level, Record, StringBuf};

use crate::time::rfc3339;

/// Key of the event number. It and [`NAME_KEY`] identify the event and are not data fields.
const EVENT_KEY: &str = "event";
/// Key of the event name.
const NAME_KEY: &str = "name";

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Format {
    /// `time LEVEL number name: message key=value ...`
    Text,
    /// One JSON object per line, with the data fields in `fields`.
    Json,
}

impl Format {
    /// Returns the name used in settings.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(chestnutfork_events::Format::Json.as_str(), "json");
    /// ```
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Json => "json",
        }
    }

    /// Returns the format with a name used in settings.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutfork_events::Format;
    ///
    /// assert_eq!(Format::from_name("json"), Some(Format::Json));
    /// ```
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

/// Formatter that writes each event as one line.
#[derive(Clone)]
pub(crate) struct LineFormatter(pub(crate) Format);

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        dest: &mut StringBuf,
        _cx: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        let line = match self.0 {
            Format::Text => text_line(record),
            Format::Json => json_line(record),
        };
        writeln!(dest, "{line}").map_err(spdlog::Error::FormatRecord)
    }
}

/// Key-values of a record, split into number, name and data fields.
struct Parts<'a> {
    number: u64,
    name: String,
    fields: Vec<(String, Value<'a>)>,
}

impl<'a> Parts<'a> {
    fn new(record: &'a Record<'_>) -> Self {
        let mut parts = Self {
            number: 0,
            name: String::new(),
            fields: Vec::new(),
        };
        for (key, value) in record.key_values() {
            match key.as_str() {
                EVENT_KEY => parts.number = value.to_u64().unwrap_or(0),
                NAME_KEY => parts.name = value.to_string(),
                other => parts.fields.push((other.to_owned(), value)),
            }
        }
        parts
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Trace | Level::Debug => "debug",
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
        Level::Critical => "critical",
    }
}

fn text_line(record: &Record<'_>) -> String {
    let parts = Parts::new(record);
    let mut line = format!(
        "{} {:<8} {} {}: {}",
        rfc3339(record.time()),
        level_name(record.level()).to_uppercase(),
        parts.number,
        parts.name,
        record.payload()
    );
    for (key, value) in &parts.fields {
        line.push(' ');
        line.push_str(key);
        line.push('=');
        line.push_str(&text_value(value));
    }
    line
}

/// Returns a value as text, quoted if it could be read as several fields or lines.
fn text_value(value: &Value<'_>) -> String {
    let text = value.to_string();
    let plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !text.is_empty() && text.chars().all(plain) {
        return text;
    }
    json_string(&text)
}

fn json_line(record: &Record<'_>) -> String {
    let parts = Parts::new(record);
    let mut line = format!(
        "{{\"time\":\"{}\",\"level\":\"{}\",\"event\":{},\"name\":{},\"message\":{},\"fields\":{{",
        rfc3339(record.time()),
        level_name(record.level()),
        parts.number,
        json_string(&parts.name),
        json_string(record.payload())
    );
    for (position, (key, value)) in parts.fields.iter().enumerate() {
        if position > 0 {
            line.push(',');
        }
        line.push_str(&json_string(key));
        line.push(':');
        line.push_str(&json_value(value));
    }
    line.push_str("}}");
    line
}

fn json_value(value: &Value<'_>) -> String {
    if let Some(count) = value.to_u64() {
        return count.to_string();
    }
    if let Some(flag) = value.to_bool() {
        return flag.to_string();
    }
    json_string(&value.to_string())
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
