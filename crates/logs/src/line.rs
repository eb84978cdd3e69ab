//! Formats a log line.

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use log::Record;
use log::kv;
use log::kv::VisitSource;
use serde_json::Map;
use serde_json::Value;

/// Writes `record` as a JSON object with `time`, `level`, `target`, `text` and its key-values.
///
/// # Errors
/// Those of `to`.
pub fn write(to: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    write_with(to, now, record, Map::new())
}

/// As [`write`], with the fields `extra`.
///
/// # Errors
/// Those of `to`.
pub fn write_with(
    to: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
    extra: Map<String, Value>,
) -> io::Result<()> {
    let mut fields = Fields(extra);
    fields.put("time", now.format_rfc3339().into());
    fields.put("level", record.level().as_str().into());
    fields.put("target", record.target().into());
    fields.put("text", record.args().to_string().into());
    // `Fields` never returns an error.
    let _ = record.key_values().visit(&mut fields);
    serde_json::to_writer(to, &fields.0).map_err(io::Error::from)
}

struct Fields(Map<String, Value>);

impl Fields {
    fn put(&mut self, key: &str, value: Value) {
        self.0.insert(key.to_owned(), value);
    }
}

impl<'a> VisitSource<'a> for Fields {
    fn visit_pair(&mut self, key: kv::Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        let json = match value.to_u64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.put(key.as_str(), json);
        Ok(())
    }
}
