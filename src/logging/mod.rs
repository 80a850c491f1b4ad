//! Logs: one line of key=value pairs for each event, on standard error.

pub mod escape;
pub mod limit;

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    io::Write as _,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Instant,
};

use log::{LevelFilter, Log, Metadata, Record};

use self::{
    escape::OneLine,
    limit::{Dropped, Limiter},
};
use crate::{
    error::{Error, ErrorKind, Result},
    units::MonoTime,
};

pub use self::escape::Quoted;

/// The limiter of this process's log; the `log` crate itself is global.
static LIMITER: OnceLock<Arc<SharedLimiter>> = OnceLock::new();

/// Limiter with the clock it runs on.
#[derive(Debug)]
struct SharedLimiter {
    origin: Instant,
    limiter: Mutex<Limiter>,
}

impl SharedLimiter {
    fn with<T>(&self, work: impl FnOnce(&mut Limiter, MonoTime) -> T) -> T {
        let now = MonoTime::default() + self.origin.elapsed();
        work(&mut self.limiter.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// Starts logging from a level on, with levels of single modules and a limit for each module and event.
///
/// # Errors
///
/// [`ErrorKind::Settings`] when a logger is set already.
pub fn start(lines_per_s: u64, level: LevelFilter, levels: &BTreeMap<String, LevelFilter>) -> Result<()> {
    let shared = SharedLimiter { origin: Instant::now(), limiter: Mutex::new(Limiter::new(lines_per_s)) };
    let shared = LIMITER.get_or_init(|| Arc::new(shared));
    let output = LimitedOutput { shared: Arc::clone(shared) };
    let mut dispatch = fern::Dispatch::new().level(level);
    for (module, level) in levels {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch
        .chain(Box::new(output) as Box<dyn Log>)
        .apply()
        .map_err(|e| Error::new(ErrorKind::Settings, format!("logging: {e}")))
}

/// Writes lines to standard error as far as the limiter lets them through.
struct LimitedOutput {
    shared: Arc<SharedLimiter>,
}

impl Log for LimitedOutput {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut message = String::new();
        // Text that can't be formatted is logged as far as it went.
        let _formatted = write!(message, "{}", record.args());
        let admitted =
            self.shared.with(|limiter, now| limiter.admit(now, record.target(), event_of(&message)));
        if admitted {
            write_line(&line(unix_ms(), record.level().to_level_filter(), record.target(), &message));
        }
    }

    fn flush(&self) {}
}

/// Returns the value of `event=` at the start of a message, or nothing.
fn event_of(message: &str) -> &str {
    let value = message.strip_prefix("event=").unwrap_or_default();
    value.split(' ').next().unwrap_or_default()
}

/// Makes one line; whatever the message holds, it stays one line.
pub fn line(at_ms: u128, level: LevelFilter, module: &str, message: &str) -> String {
    format!("at_ms={at_ms} level={level} module={} {}\n", OneLine(module), OneLine(message))
}

fn write_line(line: &str) {
    // A closed standard error leaves nowhere to tell of it.
    let _written = std::io::stderr().lock().write_all(line.as_bytes());
}

/// Logs how many lines were held back by floods that ended or go on.
pub fn report_dropped() {
    let Some(shared) = LIMITER.get() else { return };
    for Dropped { module, event, lines } in shared.with(Limiter::take_due) {
        let message = format!("event=log-lines-dropped of={} lines={lines}", Quoted(&event));
        write_line(&line(unix_ms(), LevelFilter::Warn, &module, &message));
    }
}

/// Returns the lines held back since the last time this was asked.
pub fn take_dropped() -> u64 {
    LIMITER.get().map_or(0, |shared| shared.with(|limiter, _| limiter.take_dropped_total()))
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis())
}
