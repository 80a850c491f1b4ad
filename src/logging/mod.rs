//! Logging: each event is one line of `key=value` pairs on standard output. The number of lines is limited,
//! and writing one never blocks.

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
    kernel::clock::unix_ms,
    units::MonoTime,
};

pub use self::escape::Quoted;

/// Limiter and writer of this process's log; global because the logger of the `log` crate is global.
static OUTPUT: OnceLock<Arc<LogOutput>> = OnceLock::new();

/// Target of log lines that are exempt from the limit because their author limits them, in groups of lines.
pub const SELF_LIMITED_MODULE: &str = "arbutusshelf::request";

/// Longest wait for queued lines to be written at the end of the process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Limiter with the origin of its clock, and the writer of the lines that it admits.
#[derive(Debug)]
struct LogOutput {
    origin: Instant,
    limiter: Mutex<Limiter>,
    writer: LineWriter,
}

impl LogOutput {
    fn with_limiter<T>(&self, work: impl FnOnce(&mut Limiter, MonoTime) -> T) -> T {
        let now = MonoTime::default() + self.origin.elapsed();
        work(&mut self.limiter.lock().unwrap_or_else(PoisonError::into_inner), now)
    }
}

/// Installs the logger.
///
/// Logs `level` and more severe levels, except in the modules of `levels`, which have their own; writes at
/// most `lines_per_s` lines a second for each pair of module and event, in the long run.
///
/// # Errors
///
/// [`ErrorKind::Settings`] if a logger is installed already or the writer's thread can't be started.
pub fn start(lines_per_s: u64, level: LevelFilter, levels: &BTreeMap<String, LevelFilter>) -> Result<()> {
    let failed = |e: &dyn std::fmt::Display| Error::new(ErrorKind::Settings, format!("logging: {e}"));
    let writer = LineWriter::start(std::io::stdout()).map_err(|e| failed(&e))?;
    let limiter = Mutex::new(Limiter::new(lines_per_s));
    let shared = LogOutput { origin: Instant::now(), limiter, writer };
    let shared = OUTPUT.get_or_init(|| Arc::new(shared));
    let output = LimitedLogger { shared: Arc::clone(shared) };
    let mut dispatch = fern::Dispatch::new().level(level);
    for (module, level) in levels {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch.chain(Box::new(output) as Box<dyn Log>).apply().map_err(|e| failed(&e))
}

/// Logger that writes the lines that the limiter admits.
struct LimitedLogger {
    shared: Arc<LogOutput>,
}

impl Log for LimitedLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut message = String::new();
        // If formatting fails, the part formatted so far is logged.
        let _formatted = write!(message, "{}", record.args());
        let is_limited = record.target() != SELF_LIMITED_MODULE;
        let admit = |limiter: &mut Limiter, now| limiter.admit(now, record.target(), event_of(&message));
        if !is_limited || self.shared.with_limiter(admit) {
            self.shared.writer.write(format_line(
                unix_ms(),
                record.level().to_level_filter(),
                record.target(),
                &message,
            ));
        }
    }

    fn flush(&self) {
        self.shared.writer.flush(FLUSH_TIMEOUT);
    }
}

/// Returns the value of `event=` at the start of a message, or an empty text.
fn event_of(message: &str) -> &str {
    let value = message.strip_prefix("event=").unwrap_or_default();
    value.split(' ').next().unwrap_or_default()
}

/// Formats a log line; whatever the message contains, the result is one line.
pub fn format_line(at_ms: u64, level: LevelFilter, module: &str, message: &str) -> String {
    format!("at_ms={at_ms} level={level} module={} {}\n", OneLine(module), OneLine(message))
}

/// Logs how many lines the limiter and a full output queue dropped; call it periodically.
pub fn report_dropped() {
    let Some(shared) = OUTPUT.get() else { return };
    for DroppedLines { module, event, lines } in shared.with_limiter(Limiter::take_due_reports) {
        let message = format!("event=log-lines-dropped of={} lines={lines}", Quoted(&event));
        shared.writer.write(format_line(unix_ms(), LevelFilter::Warn, &module, &message));
    }
    let lines = shared.writer.take_dropped();
    if lines > 0 {
        let message = format!("event=log-lines-dropped of=\"\" cause=output-full lines={lines}");
        shared.writer.write(format_line(unix_ms(), LevelFilter::Warn, module_path!(), &message));
    }
}

/// Waits at most 100 ms for queued lines to be written; call it at the end of the process.
pub fn flush() {
    log::logger().flush();
}

/// Returns the number of lines that the limiter dropped since the last call.
pub fn take_dropped() -> u64 {
    OUTPUT.get().map_or(0, |shared| shared.with_limiter(|limiter, _| limiter.take_dropped_total()))
}
