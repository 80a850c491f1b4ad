//! The two example deployments on loopback: plan sheets, target stand-ins and instances in this process.

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

/// Loopback address with a port that the system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// One of the two users' deployments, for which example plan sheets are shipped.
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

    /// Returns the shipped example sheet, in CSV.
    pub fn sheet(self) -> &'static str {
        match self {
            Self::Kremsau => include_str!("../../examples/kremsau.csv"),
            Self::Magnolia => include_str!("../../examples/magnolia.csv"),
        }
    }

    /// Returns the plan that the example sheet states.
    ///
    /// # Panics
    ///
    /// If the shipped sheet is not valid.
    pub fn plan(self) -> Plan {
        sheet::parse(self.sheet().as_bytes()).expect("the shipped sheet has no faults")
    }

    /// Returns the one-way network latency between an instance and a target of another data centre, in
    /// microseconds.
    pub fn cross_data_centre_latency_us(self) -> u64 {
        match self {
            Self::Kremsau => 1_000,
            Self::Magnolia => 1_500,
        }
    }

    /// Returns the trace with services of the other deployment replaced by those with a similar load in this
    /// one.
    #[must_use]
    pub fn adapt_trace(self, trace: &Trace) -> Trace {
        let mut adapted = trace.clone();
        for call in &mut adapted.calls {
            if let Some((from, to)) = self.counterpart(&call.service) {
                call.path = call.path.replacen(from, to, 1).replace(write_segment(from), write_segment(to));
                to.clone_into(&mut call.service);
            }
        }
        for disturbance in &mut adapted.disturbances {
            if let Some((_, to)) = self.counterpart(&disturbance.service) {
                to.clone_into(&mut disturbance.service);
            }
        }
        adapted
    }

    /// Returns a service of the other deployment and its counterpart here; `None` if the service belongs to
    /// this one.
    fn counterpart(self, service: &str) -> Option<(&'static str, &'static str)> {
        let pair = COUNTERPARTS.iter().find(|(k, m)| *k == service || *m == service)?;
        match self {
            Self::Kremsau if pair.1 == service => Some((pair.1, pair.0)),
            Self::Magnolia if pair.0 == service => Some((pair.0, pair.1)),
            Self::Kremsau | Self::Magnolia => None,
        }
    }
}

/// Pairs of services with a similar load: of Kremsau, of Magnolia Ridge.
const COUNTERPARTS: [(&str, &str); 4] = [
    ("hallenplan", "schedule-board"),
    ("mietkasse", "tuition-desk"),
    ("tonarchiv", "practice-vault"),
    ("paarbuch", "horn-loans"),
];

/// Returns the path segment that marks a service's at-most-once requests.
fn write_segment(service: &str) -> &'static str {
    match service {
        "mietkasse" => "/charges/",
        "tuition-desk" => "/bookings/",
        "paarbuch" => "/confirmations/",
        "horn-loans" => "/holds/",
        _ => "/week/",
    }
}

/// Stand-ins for all targets of a deployment, with a plan sheet that has their addresses.
#[derive(Debug)]
pub struct TargetStandIns {
    /// Stand-ins with their target ids, in the order of the plan.
    pub stand_ins: Vec<(TargetId, TargetStandIn)>,
    /// Example sheet with the targets' addresses replaced by those of the stand-ins.
    pub sheet: String,
}

impl TargetStandIns {
    /// Starts a stand-in for each target of a deployment.
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
            let (example_address, actual_address) =
                (format!(",{},", spec.address), format!(",{},", target.server.address));
            sheet = sheet.replace(&example_address, &actual_address);
            stand_ins.push((spec.id.clone(), target));
        }
        Ok(Self { stand_ins, sheet })
    }

    /// Finds a stand-in by its target id.
    pub fn find(&self, id: &str) -> Option<&TargetStandIn> {
        self.stand_ins.iter().find(|(name, _)| name.as_str() == id).map(|(_, target)| target)
    }

    /// Returns how often requests with this idempotency key were executed at all targets together.
    pub fn executions_of_key(&self, key: &str) -> u32 {
        self.stand_ins.iter().map(|(_, t)| t.executions_of_key(key)).sum()
    }
}

/// An instance that runs in this process.
#[derive(Debug)]
pub struct InProcessInstance {
    /// State that its tasks share.
    pub kernel: Arc<Kernel>,
    /// Task that ends once the instance has shut down.
    pub task: JoinHandle<()>,
}

impl InProcessInstance {
    /// Starts an instance on loopback ports that uses the platform at the address `platform`.
    ///
    /// # Errors
    ///
    /// Those of [`Config::parse`], [`Listeners::bind`] and [`Kernel::open`].
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

    /// Returns the address that accepts callers.
    pub fn callers(&self) -> SocketAddr {
        self.kernel.config.callers_address
    }

    /// Returns the address of the admin interface.
    pub fn admin(&self) -> SocketAddr {
        self.kernel.config.admin_address
    }
}
