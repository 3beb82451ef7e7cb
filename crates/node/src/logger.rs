//! Logs as JSON lines on standard error.

use super::*;
use std::io::Write as _;

struct Visitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => Value::from(number),
            None => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Starts logging; the level is taken from `RUST_LOG`, `info` if that is not set.
pub(crate) fn start(instance: &str) {
    let instance = instance.to_owned();
    let environment = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(environment)
        .format(move |target, record| {
            let mut line = Map::new();
            line.insert("time_ms".into(), Clock::new().now().0.into());
            line.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            line.insert("instance".into(), instance.clone().into());
            line.insert("message".into(), record.args().to_string().into());
            let _ = record.key_values().visit(&mut Visitor(&mut line));
            writeln!(target, "{}", Value::Object(line))
        })
        .try_init();
}
