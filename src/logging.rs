//! Logs: one line of key=value pairs for each event, on standard error.

use std::fmt::{self, Write};

use crate::{
    error::{Error, ErrorKind, Result},
    settings::Config,
};

/// Starts logging as the settings say.
///
/// # Errors
///
/// [`ErrorKind::Settings`] when a logger is set already.
pub fn start(config: &Config) -> Result<()> {
    let mut dispatch = fern::Dispatch::new()
        .format(|out, message, record| {
            let at_ms = unix_ms();
            out.finish(format_args!(
                "at_ms={at_ms} level={} module={} {message}",
                record.level(),
                record.target()
            ));
        })
        .level(config.log_level);
    for (module, level) in &config.log_levels {
        dispatch = dispatch.level_for(module.clone(), *level);
    }
    dispatch
        .chain(std::io::stderr())
        .apply()
        .map_err(|e| Error::new(ErrorKind::Settings, format!("logging: {e}")))
}

/// Returns the wall clock in milliseconds since the Unix epoch.
pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// Text from outside as a log value: quoted, control characters escaped, at most 200 characters.
#[derive(Debug)]
pub struct Quoted<'a>(pub &'a str);

impl fmt::Display for Quoted<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_char('"')?;
        for c in self.0.chars().take(200) {
            write!(f, "{}", c.escape_default())?;
        }
        f.write_char('"')
    }
}
