//! Logs: one line of key=value pairs for each event, on standard output, bounded and never blocking.

pub mod escape;
pub mod limit;
pub mod writer;

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::{Duration, Instant},
};

use log::{LevelFilter, Log, Metadata, Record};

use self::{
    escape::OneLine,
    limit::{DroppedLines, Limiter},
    writer::LineWriter,
};
use crate::{
    error::{Error, ErrorKind, Result},
    units::MonoTime,
};

pub use self::escape::Quoted;

/// The limiter of this process's log; the `log` crate itself is global.
static LIMITER: OnceLock<Arc<SharedLimiter>> = OnceLock::new();

/// Module name of lines that their writer limits itself, several at a time.
pub const SELF_LIMITED_MODULE: &str = "arbutusshelf::request";

/// Longest wait for the last lines at the end of the process.
const FLUSH_LIMIT: Duration = Duration::from_millis(100);

/// Limiter with the clock it runs on, and where lines go.
#[derive(Debug)]
struct SharedLimiter {
    origin: Instant,
    limiter: Mutex<Limiter>,
    writer: LineWriter,
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
    let failed = |e: &dyn std::fmt::Display| Error::new(ErrorKind::Settings, format!("logging: {e}"));
    let writer = LineWriter::start(std::io::stdout()).map_err(|e| failed(&e))?;
    let limiter = Mutex::new(Limiter::new(lines_per_s));
    let shared = SharedLimiter { origin: Instant::now(), limiter, writer };
    let shared = LIMITER.get_or_init(|| Arc::new(shared));
    let output = LimitedOutput { shared: Arc::clone(shared) };
    let mut dispatch = fern::Dispatch::new().level(level);
    for (module, level) in levels {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch.chain(Box::new(output) as Box<dyn Log>).apply().map_err(|e| failed(&e))
}

/// Writes lines as far as the limiter lets them through.
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
        let is_limited = record.target() != SELF_LIMITED_MODULE;
        let admit = |limiter: &mut Limiter, now| limiter.admit(now, record.target(), event_of(&message));
        if !is_limited || self.shared.with(admit) {
            self.shared.writer.write(format_line(
                unix_ms(),
                record.level().to_level_filter(),
                record.target(),
                &message,
            ));
        }
    }

    fn flush(&self) {
        self.shared.writer.flush(FLUSH_LIMIT);
    }
}

/// Returns the value of `event=` at the start of a message, or nothing.
fn event_of(message: &str) -> &str {
    let value = message.strip_prefix("event=").unwrap_or_default();
    value.split(' ').next().unwrap_or_default()
}

/// Makes one line; whatever the message holds, it stays one line.
pub fn format_line(at_ms: u128, level: LevelFilter, module: &str, message: &str) -> String {
    format!("at_ms={at_ms} level={level} module={} {}\n", OneLine(module), OneLine(message))
}

/// Logs how many lines were held back by floods that ended or go on.
pub fn report_dropped() {
    let Some(shared) = LIMITER.get() else { return };
    for DroppedLines { module, event, lines } in shared.with(Limiter::take_due_reports) {
        let message = format!("event=log-lines-dropped of={} lines={lines}", Quoted(&event));
        shared.writer.write(format_line(unix_ms(), LevelFilter::Warn, &module, &message));
    }
    let lines = shared.writer.take_dropped();
    if lines > 0 {
        let message = format!("event=log-lines-dropped of=\"\" cause=output-full lines={lines}");
        shared.writer.write(format_line(unix_ms(), LevelFilter::Warn, module_path!(), &message));
    }
}

/// Waits a moment for the last lines; called at the end of the process.
pub fn flush() {
    log::logger().flush();
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
