//! Logger that writes JSON lines to standard error, installed behind the `log` facade.

use std::io::{Write, stderr};

use log::{LevelFilter, Log, Metadata, Record, kv};
use serde_json::{Map, Value};
use simplelog::{CombinedLogger, Config, SharedLogger};

use crate::clock;

/// Writes each record as a JSON object on a line.
#[derive(Debug)]
struct JsonLogger {
    level: LevelFilter,
}

/// Installs the logger with a level such as `info`, the default if the level is unknown. Later
/// calls in the process have no effect.
pub fn start(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let _ = CombinedLogger::init(vec![Box::new(JsonLogger { level })]);
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let mut line = Map::new();
        line.insert("unix_ms".into(), clock::unix_ms().into());
        line.insert("level".into(), record.level().as_str().to_lowercase().into());
        line.insert("target".into(), record.target().into());
        line.insert("message".into(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut Fields(&mut line));
        let mut text = Value::Object(line).to_string();
        text.push('\n');
        let _ = stderr().lock().write_all(text.as_bytes());
    }

    fn flush(&self) {}
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

/// Adds the key-value pairs of a record to its line. Numbers and booleans keep their type.
struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let number = value.to_u64().map(Value::from);
        let boolean = || value.to_bool().map(Value::from);
        let text = || Value::from(value.to_string());
        self.0.insert(key.to_string(), number.or_else(boolean).unwrap_or_else(text));
        Ok(())
    }
}
