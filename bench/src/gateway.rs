//! One instance in this process before the targets of one service, for tests of the edges.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use arbutusshelf::{
    error::Result,
    kernel::Kernel,
    observe::unix_s,
    plan::{
        Budgets, InstanceSpec, Objective, Plan, Priority, RequestKind, RouteSpec, ServiceSpec, TargetSpec,
        accept::Submission, commit::commit,
    },
    serve::{self, Listeners},
    settings::Config,
    units::PlanVersion,
};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::{deployment::ANY_PORT, http::ConnectionLimits, target::TargetStandIn};

/// Name of the one service.
pub const SERVICE: &str = "svc";

/// Time for a condition to come true.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a gateway is made of.
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    /// Targets.
    pub targets: usize,
    /// Slots of each target.
    pub slots: u32,
    /// Limits of each target's connections.
    pub limits: ConnectionLimits,
    /// Connections to each target by the plan.
    pub max_connections: u32,
    /// Most instances by the plan.
    pub max_instances: u32,
    /// Time a call may take, in milliseconds.
    pub deadline_ms: u64,
    /// Settings added to the instance's own.
    pub settings: Value,
}

impl Default for GatewayOptions {
    fn default() -> Self {
        Self {
            targets: 2,
            slots: 8,
            limits: ConnectionLimits::default(),
            max_connections: 64,
            max_instances: 1,
            deadline_ms: 2_000,
            settings: json!({}),
        }
    }
}

/// An instance with its targets.
#[derive(Debug)]
pub struct Gateway {
    /// Kernel of the instance.
    pub kernel: Arc<Kernel>,
    /// Ends when the instance has left.
    pub task: JoinHandle<()>,
    /// Targets.
    pub targets: Vec<TargetStandIn>,
}

impl Gateway {
    /// Starts targets and an instance with their plan in force.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or a setting is faulty.
    ///
    /// # Panics
    ///
    /// When loopback has no free port for a target.
    pub async fn start(options: GatewayOptions) -> Result<Self> {
        let mut targets = Vec::new();
        for _ in 0..options.targets {
            let target =
                TargetStandIn::start_with_limits(ANY_PORT, options.slots as usize, options.limits).await;
            targets.push(target.expect("loopback has a free port"));
        }
        let addresses = targets.iter().map(|t| t.server.address).collect::<Vec<_>>();
        let (kernel, task) = start_instance(&options, &addresses).await?;
        Ok(Self { kernel, task, targets })
    }

    /// Returns the address for callers.
    pub fn callers(&self) -> SocketAddr {
        self.kernel.config.callers_address
    }

    /// Returns how many requests ran at all targets together.
    pub fn executed_count(&self) -> u32 {
        self.targets.iter().map(TargetStandIn::executed_count).sum()
    }
}

/// Starts an instance whose one service has its targets at `addresses`.
///
/// # Errors
///
/// When an address can't be bound or a setting is faulty.
///
/// # Panics
///
/// When the instance is not ready within 20 s.
pub async fn start_instance(
    options: &GatewayOptions,
    addresses: &[SocketAddr],
) -> Result<(Arc<Kernel>, JoinHandle<()>)> {
    let mut settings = json!({
        "instance": "entry-01",
        "data_centre": "near",
        "callers_address": ANY_PORT,
        "admin_address": ANY_PORT,
        "peers_address": ANY_PORT,
        "balancer_lag_ms": 100,
    });
    if let (Some(all), Some(extra)) = (settings.as_object_mut(), options.settings.as_object()) {
        all.extend(extra.clone());
    }
    let mut config = Config::parse(settings.to_string().as_bytes())?;
    let listeners = Listeners::bind(&mut config).await?;
    let kernel = Kernel::open(config)?;
    let submission = Submission {
        plan: plan(options, addresses),
        change_id: "gateway".parse().expect("the name is valid"),
        base: None,
        token: 1,
        submitted_unix_s: unix_s(),
    };
    let deadline = kernel.clock.now() + PATIENCE;
    commit(&kernel.platform, kernel.clock, submission, deadline).await?;
    let task = tokio::spawn(serve::run(Arc::clone(&kernel), listeners));
    wait_until(|| kernel.check_admission().is_ok()).await;
    Ok((kernel, task))
}

fn plan(options: &GatewayOptions, addresses: &[SocketAddr]) -> Plan {
    let name = |text: &str| text.parse().expect("names of the gateway are valid");
    let data_centre = || "near".parse::<arbutusshelf::units::DataCentre>().expect("the name is valid");
    let route = |method: &str, path: &str, kind| RouteSpec {
        method: method.to_owned(),
        path_prefix: format!("/{SERVICE}/{path}"),
        kind,
        priority: Priority::Normal,
    };
    let targets = addresses.iter().enumerate().map(|(number, address)| TargetSpec {
        id: format!("svc-{number:02}").parse().expect("the name is valid"),
        address: *address,
        data_centre: data_centre(),
        slots: options.slots,
        max_connections: options.max_connections,
    });
    let service = ServiceSpec {
        name: name(SERVICE),
        deadline_ms: options.deadline_ms,
        retry_budget: 1.0,
        queue_limit: 1_000,
        retention_h: 24,
        refusal_means_not_run: true,
        objective: Objective::default(),
        targets: targets.collect(),
        routes: vec![
            route("GET", "", RequestKind::Idempotent),
            route("PUT", "", RequestKind::Idempotent),
            route("POST", "once", RequestKind::AtMostOnce),
        ],
    };
    Plan {
        version: PlanVersion::default(),
        change_id: None,
        accepted_unix_s: 0,
        budgets: Budgets { max_instances: options.max_instances, ..Budgets::default() },
        instances: vec![InstanceSpec {
            id: "entry-01".parse().expect("the name is valid"),
            data_centre: data_centre(),
        }],
        services: vec![service],
        intentions: Vec::new(),
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// When it does not hold within 20 s.
pub async fn wait_until(holds: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "a condition did not come true");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
