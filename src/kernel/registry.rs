//! Plug-ins: plain structs that register themselves at link time.

use crate::{
    error::Result,
    gateway::{config::Config as GatewayConfig, platform_adapter::PlatformAdapter},
    observe::report::Report,
    settings::Config,
    store::Platform,
};

/// A way to reach the platform's service, chosen by name in the settings.
#[derive(Debug)]
pub struct PlatformDriver {
    /// Name in the settings.
    pub name: &'static str,
    /// Opens the driver.
    pub open: fn(&Config) -> Result<Platform>,
}

/// A place that a gateway can run in, chosen by name in its settings.
#[derive(Debug)]
pub struct EnvironmentDriver {
    /// Name in the settings.
    pub name: &'static str,
    /// Opens it for one instance.
    pub open: fn(&GatewayConfig) -> PlatformAdapter,
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

/// Places of this binary.
#[linkme::distributed_slice]
pub static ENVIRONMENT_DRIVERS: [EnvironmentDriver];

/// Report writers of this binary.
#[linkme::distributed_slice]
pub static REPORT_WRITERS: [ReportWriter];

/// Finds a platform driver by name.
pub fn find_platform_driver(name: &str) -> Option<&'static PlatformDriver> {
    PLATFORM_DRIVERS.iter().find(|d| d.name == name)
}

/// Finds a place by name.
pub fn find_environment_driver(name: &str) -> Option<&'static EnvironmentDriver> {
    ENVIRONMENT_DRIVERS.iter().find(|p| p.name == name)
}

/// Finds a report writer by name.
pub fn find_report_writer(name: &str) -> Option<&'static ReportWriter> {
    REPORT_WRITERS.iter().find(|w| w.name == name)
}
