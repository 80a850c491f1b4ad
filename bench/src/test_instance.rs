//! One instance in this process in front of the target stand-ins of one service, for tests of how it handles
//! callers and targets.

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

/// Name of the only service in the plan.
pub const SERVICE: &str = "svc";

/// Time after which [`wait_until`] and the submission of the plan give up.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Targets, plan and settings with which a [`TestInstance`] starts.
#[derive(Debug, Clone)]
pub struct TestInstanceOptions {
    /// Number of targets.
    pub targets: usize,
    /// Requests that each target works on at once, in the plan and at the stand-in.
    pub slots: u32,
    /// Limits that each target stand-in applies to its connections.
    pub limits: ConnectionLimits,
    /// Maximum number of connections to each target, in the plan.
    pub max_connections: u32,
    /// Maximum number of instances, in the plan.
    pub max_instances: u32,
    /// Time until a response must begin if the request states no deadline, in the plan, in milliseconds.
    pub deadline_ms: u64,
    /// JSON object of settings that overrides or adds to those of the instance.
    pub settings: Value,
}

impl Default for TestInstanceOptions {
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

/// An instance in this process with its target stand-ins.
#[derive(Debug)]
pub struct TestInstance {
    /// State that the instance's tasks share.
    pub kernel: Arc<Kernel>,
    /// Task that ends once the instance has shut down.
    pub task: JoinHandle<()>,
    /// Stand-ins of the targets, in the order of the plan.
    pub targets: Vec<TargetStandIn>,
}

impl TestInstance {
    /// Starts the targets and an instance, and waits until the plan is in force.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or a setting is not valid.
    ///
    /// # Panics
    ///
    /// If loopback has no free port for a target, or the instance is not ready within 20 s.
    pub async fn start(options: TestInstanceOptions) -> Result<Self> {
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

    /// Returns the address that accepts callers.
    pub fn callers(&self) -> SocketAddr {
        self.kernel.config.callers_address
    }

    /// Returns the number of requests executed at all targets together.
    pub fn executed_count(&self) -> u32 {
        self.targets.iter().map(TargetStandIn::executed_count).sum()
    }
}

/// Starts an instance whose only service has its targets at `addresses`, and waits until the plan is in
/// force.
///
/// # Errors
///
/// If an address can't be bound or a setting is not valid.
///
/// # Panics
///
/// If the instance is not ready within 20 s.
pub async fn start_instance(
    options: &TestInstanceOptions,
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
    let deadline = kernel.clock.now() + WAIT_TIMEOUT;
    commit(&kernel.platform, kernel.clock, submission, deadline).await?;
    let task = tokio::spawn(serve::run(Arc::clone(&kernel), listeners));
    wait_until(|| kernel.check_admission().is_ok()).await;
    Ok((kernel, task))
}

fn plan(options: &TestInstanceOptions, addresses: &[SocketAddr]) -> Plan {
    let name = |text: &str| text.parse().expect("the name is valid");
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

/// Waits until a condition holds, checking it every 2 ms.
///
/// # Panics
///
/// If it does not hold within 20 s.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let started = std::time::Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "the condition does not hold after {WAIT_TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
