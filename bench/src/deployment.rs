//! Both users' deployments on loopback: sheets, target stand-ins, instances.

use std::{net::SocketAddr, sync::Arc};

use arbutusshelf::{
    error::Result,
    kernel::Kernel,
    plan::{Plan, sheet},
    serve::{self, Listeners},
    settings::Config,
    units::TargetId,
};
use derive_more::{Display, FromStr};
use tokio::task::JoinHandle;

use crate::{target::TargetStandIn, trace::Trace};

/// Loopback with a port that the system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One of the users' deployments.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
#[display(rename_all = "lowercase")]
pub enum Deployment {
    /// Kremsau Practica Hall Gateway.
    Kremsau,
    /// Magnolia Ridge Lesson Gateway.
    Magnolia,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Kremsau, Self::Magnolia];

    /// Returns the example sheet as shipped.
    pub fn sheet(self) -> &'static str {
        match self {
            Self::Kremsau => include_str!("../../examples/kremsau.csv"),
            Self::Magnolia => include_str!("../../examples/magnolia.csv"),
        }
    }

    /// Returns the plan of the example sheet.
    ///
    /// # Panics
    ///
    /// When the shipped sheet is faulty.
    pub fn plan(self) -> Plan {
        sheet::parse(self.sheet().as_bytes()).expect("the shipped sheet has no faults")
    }

    /// Returns the one-way time between an instance and a target of another data centre, in microseconds.
    pub fn cross_data_centre_latency_us(self) -> u64 {
        match self {
            Self::Kremsau => 1_000,
            Self::Magnolia => 1_500,
        }
    }

    /// Returns the trace with the services of the other deployment replaced by their counterparts here.
    #[must_use]
    pub fn adapt_trace(self, trace: &Trace) -> Trace {
        let mut translated = trace.clone();
        for call in &mut translated.calls {
            if let Some((from, to)) = self.counterpart(&call.service) {
                call.path = call.path.replacen(from, to, 1).replace(write_segment(from), write_segment(to));
                to.clone_into(&mut call.service);
            }
        }
        for disturbance in &mut translated.disturbances {
            if let Some((_, to)) = self.counterpart(&disturbance.service) {
                to.clone_into(&mut disturbance.service);
            }
        }
        translated
    }

    fn counterpart(self, service: &str) -> Option<(&'static str, &'static str)> {
        let pair = COUNTERPARTS.iter().find(|(k, m)| *k == service || *m == service)?;
        match self {
            Self::Kremsau if pair.1 == service => Some((pair.1, pair.0)),
            Self::Magnolia if pair.0 == service => Some((pair.0, pair.1)),
            Self::Kremsau | Self::Magnolia => None,
        }
    }
}

/// Services of Kremsau and those of Magnolia Ridge with the like load.
const COUNTERPARTS: [(&str, &str); 4] = [
    ("hallenplan", "schedule-board"),
    ("mietkasse", "tuition-desk"),
    ("tonarchiv", "practice-vault"),
    ("paarbuch", "horn-loans"),
];

/// Returns the path segment of a service's at-most-once requests.
fn write_segment(service: &str) -> &'static str {
    match service {
        "mietkasse" => "/charges/",
        "tuition-desk" => "/bookings/",
        "paarbuch" => "/confirmations/",
        "horn-loans" => "/holds/",
        _ => "/week/",
    }
}

/// Target stand-ins of a deployment, with the sheet that names their real addresses.
#[derive(Debug)]
pub struct TargetStandIns {
    /// Stand-ins by name, in the order of the plan.
    pub stand_ins: Vec<(TargetId, TargetStandIn)>,
    /// Sheet whose addresses are those of the stand-ins.
    pub sheet: String,
}

impl TargetStandIns {
    /// Starts every target of a deployment.
    ///
    /// # Errors
    ///
    /// The I/O error of binding an address.
    pub async fn start(deployment: Deployment) -> std::io::Result<Self> {
        let plan = deployment.plan();
        let mut sheet = deployment.sheet().to_owned();
        let mut stand_ins = Vec::new();
        for spec in plan.services.iter().flat_map(|s| &s.targets) {
            let target = TargetStandIn::start(ANY_PORT, spec.slots as usize).await?;
            let (shipped, actual) = (format!(",{},", spec.address), format!(",{},", target.server.address));
            sheet = sheet.replace(&shipped, &actual);
            stand_ins.push((spec.id.clone(), target));
        }
        Ok(Self { stand_ins, sheet })
    }

    /// Finds a stand-in by name.
    pub fn find(&self, id: &str) -> Option<&TargetStandIn> {
        self.stand_ins.iter().find(|(name, _)| name.as_str() == id).map(|(_, target)| target)
    }

    /// Returns how often a key ran at all targets together.
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.stand_ins.iter().map(|(_, t)| t.executions_of_key(key)).sum()
    }
}

/// One instance in this process.
#[derive(Debug)]
pub struct InProcessInstance {
    /// Its kernel.
    pub kernel: Arc<Kernel>,
    /// Ends when it has left.
    pub task: JoinHandle<()>,
}

impl InProcessInstance {
    /// Starts an instance on loopback that uses the platform at `platform`.
    ///
    /// # Errors
    ///
    /// As [`Listeners::bind`] and [`Kernel::open`].
    pub async fn start(name: &str, data_centre: &str, platform: SocketAddr) -> Result<Self> {
        let settings = serde_json::json!({
            "instance": name,
            "data_centre": data_centre,
            "callers_address": ANY_PORT,
            "admin_address": ANY_PORT,
            "peers_address": ANY_PORT,
            "platform_driver": "http",
            "platform_address": platform,
            "balancer_lag_ms": 500,
        });
        let mut config = Config::parse(settings.to_string().as_bytes())?;
        let listeners = Listeners::bind(&mut config).await?;
        let kernel = Kernel::open(config)?;
        let task = tokio::spawn(serve::run(Arc::clone(&kernel), listeners));
        Ok(Self { kernel, task })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.kernel.config.callers_address
    }

    /// Returns the address for operators.
    pub fn admin(&self) -> SocketAddr {
        self.kernel.config.admin_address
    }
}
