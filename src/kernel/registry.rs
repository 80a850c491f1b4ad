//! Registry of plug-ins, which add themselves to its lists at link time.

use crate::{
    error::Result,
    gateway::{config::Config as GatewayConfig, platform_adapter::PlatformAdapter},
    observe::report::Report,
    settings::Config,
    store::Platform,
};

/// Driver for the platform's tables, objects and instance list, selected by the setting `platform_driver`.
#[derive(Debug)]
pub struct PlatformDriver {
    /// Value of the setting that selects this driver.
    pub name: &'static str,
    /// Creates the connection to the platform.
    pub open: fn(&Config) -> Result<Platform>,
}

/// Environment that an instance in gateway mode can run in, selected by the gateway setting `place`.
#[derive(Debug)]
pub struct EnvironmentDriver {
    /// Value of the setting that selects this environment.
    pub name: &'static str,
    /// Creates the adapter between the environment and one instance.
    pub open: fn(&GatewayConfig) -> PlatformAdapter,
}

/// Output format of the error-budget burn report.
#[derive(Debug)]
pub struct ReportWriter {
    /// Name of the format.
    pub name: &'static str,
    /// Renders the report in this format.
    pub write: fn(&Report) -> Result<String>,
}

/// Platform drivers linked into this binary.
#[linkme::distributed_slice]
pub static PLATFORM_DRIVERS: [PlatformDriver];

/// Environments linked into this binary.
#[linkme::distributed_slice]
pub static ENVIRONMENT_DRIVERS: [EnvironmentDriver];

/// Report formats linked into this binary.
#[linkme::distributed_slice]
pub static REPORT_WRITERS: [ReportWriter];

/// Returns the platform driver with this name.
pub fn find_platform_driver(name: &str) -> Option<&'static PlatformDriver> {
    PLATFORM_DRIVERS.iter().find(|d| d.name == name)
}

/// Returns the environment with this name.
pub fn find_environment_driver(name: &str) -> Option<&'static EnvironmentDriver> {
    ENVIRONMENT_DRIVERS.iter().find(|d| d.name == name)
}

/// Returns the report writer with this name.
pub fn find_report_writer(name: &str) -> Option<&'static ReportWriter> {
    REPORT_WRITERS.iter().find(|w| w.name == name)
}
