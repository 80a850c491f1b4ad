//! Plug-ins: plain structs that register themselves at link time.

use crate::{error::Result, observe::report::Report, platform::Platform, settings::Config};

/// A way to reach the platform's service, chosen by name in the settings.
#[derive(Debug)]
pub struct PlatformDriver {
    /// Name in the settings.
    pub name: &'static str,
    /// Opens the driver.
    pub open: fn(&Config) -> Result<Platform>,
}

/// A form in which the burn report is written, chosen by name.
#[derive(Debug)]
pub struct ReportWriter {
    /// Name of the form.
    pub name: &'static str,
    /// Writes the report.
    pub write: fn(&Report) -> Result<String>,
}

/// Platform drivers of this binary.
#[linkme::distributed_slice]
pub static PLATFORM_DRIVERS: [PlatformDriver];

/// Report writers of this binary.
#[linkme::distributed_slice]
pub static REPORT_WRITERS: [ReportWriter];

/// Finds a platform driver by name.
pub fn platform_driver(name: &str) -> Option<&'static PlatformDriver> {
    PLATFORM_DRIVERS.iter().find(|d| d.name == name)
}

/// Finds a report writer by name.
pub fn report_writer(name: &str) -> Option<&'static ReportWriter> {
    REPORT_WRITERS.iter().find(|w| w.name == name)
}
