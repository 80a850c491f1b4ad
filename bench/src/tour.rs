//! The command `tour`: starts callers, instances and targets of both example deployments on loopback and
//! checks the required properties end to end, from plan submission to shutdown.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::AcceptedChange},
    error::{Error, ErrorKind, Result},
    observe::{report::Report, table::format_table},
    plan::RequestKind,
};
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;

use crate::{
    client::{Caller, CompleteResponse, IncompleteResponse},
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    platform::PlatformStandIn,
    target::generate_content,
};

/// Number of instances started for each deployment.
const INSTANCES: usize = 3;

/// Number of short calls sent to each route of each instance.
const CALLS_PER_ROUTE: usize = 20;

/// Size in bytes of a long transfer.
const TRANSFER_BYTES: usize = 4 << 20;

/// Time within which instances must see each other, and within which a leaving instance must end.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a draining target must get no new requests.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Prints the result of each check and collects the properties that do not hold.
#[derive(Debug, Default)]
pub struct PropertyChecks {
    /// Descriptions of the properties that do not hold.
    pub broken_properties: Vec<String>,
}

impl PropertyChecks {
    /// Prints a property and whether it holds, and records it if it does not.
    fn check(&mut self, holds: bool, property: impl Into<String>) {
        let property = property.into();
        println!("  {} {property}", if holds { "ok    " } else { "BROKEN" });
        if !holds {
            self.broken_properties.push(property);
        }
    }
}

/// Checks both deployments and prints the results.
///
/// # Errors
///
/// If a stand-in or an instance can't be started, or a request to the admin interface fails.
pub async fn run() -> Result<PropertyChecks> {
    let mut checks = PropertyChecks::default();
    for deployment in Deployment::ALL {
        println!("deployment {deployment}");
        RunningDeployment::start(deployment).await?.run(&mut checks).await?;
    }
    println!("{} broken properties", checks.broken_properties.len());
    Ok(checks)
}

/// A running deployment: platform, targets and instances in this process, with a client that calls them.
struct RunningDeployment {
    deployment: Deployment,
    targets: TargetStandIns,
    instances: Vec<InProcessInstance>,
    caller: Caller,
    _platform: PlatformStandIn,
}

impl RunningDeployment {
    async fn start(deployment: Deployment) -> Result<Self> {
        let io = |e: std::io::Error| Error::new(ErrorKind::AddressUnavailable, e.to_string());
        let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(io)?;
        let targets = TargetStandIns::start(deployment).await.map_err(io)?;
        let plan = deployment.plan();
        let mut instances = Vec::new();
        for spec in plan.instances.iter().take(INSTANCES) {
            let (id, data_centre) = (spec.id.as_str(), spec.data_centre.as_str());
            instances.push(InProcessInstance::start(id, data_centre, platform.server.address).await?);
        }
        let caller = Caller::default();
        Ok(Self { deployment, targets, instances, caller, _platform: platform })
    }

    async fn run(mut self, checks: &mut PropertyChecks) -> Result<()> {
        self.wait_until_connected().await;
        self.submit(checks, "tour-1").await?;
        self.call_every_route(checks).await;
        self.repeat_keys(checks).await;
        self.check_drain(checks).await?;
        self.check_shutdown_during_transfer(checks).await;
        self.check_peak_in_report(checks).await?;
        self.print_reports().await
    }

    /// Waits until every instance sees all others as live, or the time-out has passed.
    async fn wait_until_connected(&self) {
        let started = Instant::now();
        let all_live = || {
            let live_count = |i: &InProcessInstance| {
                i.kernel.members.view(i.kernel.clock.now()).iter().filter(|m| m.live).count()
            };
            self.instances.iter().all(|i| live_count(i) == INSTANCES - 1)
        };
        while !all_live() && started.elapsed() < READY_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Submits the sheet and checks that it is in force at every instance once it is accepted.
    async fn submit(&self, checks: &mut PropertyChecks, change_id: &str) -> Result<()> {
        let path = format!("/plan/submit?change-id={change_id}");
        let sheet = Bytes::from(self.targets.sheet.clone());
        let admin = self.instances[0].admin();
        let accepted =
            client::send_request::<AcceptedChange>(Method::POST, admin, &path, None, sheet).await?;
        let is_in_force = self.instances.iter().all(|i| i.kernel.plan.version() == accepted.version);
        checks.check(
            accepted.not_in_force_on.is_empty() && is_in_force,
            format!("plan version {} is in force at every instance once accepted", accepted.version),
        );
        Ok(())
    }

    /// Calls each route at each instance and checks that every call is executed.
    async fn call_every_route(&self, checks: &mut PropertyChecks) {
        for service in &self.deployment.plan().services {
            for route in &service.routes {
                let method = route.method.parse::<Method>().unwrap_or(Method::GET);
                let mut calls = Vec::new();
                for (instance, number) in self.numbered_calls() {
                    let path = format!("{}/{number}?work_us=1000", route.path_prefix);
                    let key = format!("{}-{instance}-{number}", path.replace('/', "-"));
                    let key = (route.kind == RequestKind::AtMostOnce).then_some(key);
                    calls.push(self.call(method.clone(), self.instances[instance].callers(), path, key));
                }
                let results = join_all(calls).await;
                let ran = results.iter().filter(|r| r.as_ref().is_ok_and(|r| r.outcome() == "ran")).count();
                let all_have_outcome =
                    results.iter().all(|r| r.as_ref().is_ok_and(|r| !r.outcome().is_empty()));
                let name = format!("{} {} {}", route.method, route.path_prefix, route.kind);
                checks.check(
                    all_have_outcome && ran == results.len(),
                    format!("{name}: {ran} of {} were executed", results.len()),
                );
            }
        }
    }

    fn numbered_calls(&self) -> impl Iterator<Item = (usize, usize)> {
        (0..self.instances.len()).flat_map(|i| (0..CALLS_PER_ROUTE).map(move |n| (i, n)))
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: String,
        key: Option<String>,
    ) -> std::result::Result<CompleteResponse, IncompleteResponse> {
        self.caller.call(method, address, &path, key.as_deref(), Bytes::from_static(b"{}")).await
    }

    /// Sends requests with the same idempotency key to every instance at once and checks that exactly one is
    /// executed and that a response reports it as executed.
    async fn repeat_keys(&self, checks: &mut PropertyChecks) {
        let plan = self.deployment.plan();
        let routes = plan.services.iter().flat_map(|s| &s.routes);
        for route in routes.filter(|r| r.kind == RequestKind::AtMostOnce) {
            let mut not_once = 0;
            let mut without_success = 0;
            for number in 0..CALLS_PER_ROUTE {
                let key = format!("repeated{}-{number}", route.path_prefix.replace('/', "-"));
                let path = route.path_prefix.clone();
                let calls = self
                    .instances
                    .iter()
                    .map(|i| self.call(Method::POST, i.callers(), path.clone(), Some(key.clone())));
                let results = join_all(calls).await;
                without_success += usize::from(!results.iter().flatten().any(|r| r.outcome() == "ran"));
                not_once += usize::from(self.targets.executions_of_key(&key) != 1);
            }
            checks.check(
                not_once == 0 && without_success == 0,
                format!(
                    "{}: {CALLS_PER_ROUTE} keys sent three times each are executed once each",
                    route.path_prefix
                ),
            );
        }
    }

    /// Drains a target and checks that it gets no new requests afterwards.
    async fn check_drain(&self, checks: &mut PropertyChecks) -> Result<()> {
        let plan = self.deployment.plan();
        let Some(service) = plan.services.first() else { return Ok(()) };
        let Some(target) = service.targets.first() else { return Ok(()) };
        let sheet = format!("{}now,drain,{},\n", self.targets.sheet, target.id);
        let admin = self.instances[0].admin();
        client::send_request::<AcceptedChange>(
            Method::POST,
            admin,
            "/plan/submit?change-id=tour-2",
            None,
            Bytes::from(sheet),
        )
        .await?;
        tokio::time::sleep(DRAIN_TIMEOUT).await;
        let before = self.targets.find(target.id.as_str()).map(super::target::TargetStandIn::executed_count);
        let calls = self.numbered_calls().map(|(instance, number)| {
            let path = format!("/{}/after-drain/{number}", service.name);
            self.call(Method::GET, self.instances[instance].callers(), path, None)
        });
        join_all(calls).await;
        let after = self.targets.find(target.id.as_str()).map(super::target::TargetStandIn::executed_count);
        checks.check(
            before == after,
            format!("{} gets no new requests {DRAIN_TIMEOUT:?} after its drain", target.id),
        );
        Ok(())
    }

    /// Shuts an instance down during a transfer and checks that the transfer completes before the instance
    /// ends.
    async fn check_shutdown_during_transfer(&mut self, checks: &mut PropertyChecks) {
        let service = match self.deployment {
            Deployment::Kremsau => "tonarchiv",
            Deployment::Magnolia => "practice-vault",
        };
        let path = format!("/{service}/recording?bytes={TRANSFER_BYTES}&work_us=1500000");
        let Some(leaving) = self.instances.pop() else { return };
        let address = leaving.callers();
        let caller = self.caller.clone();
        let transfer = tokio::spawn(async move { caller.get(address, &path).await });
        while leaving.kernel.request_count() == 0 && !transfer.is_finished() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        leaving.kernel.leave();
        let result = transfer.await;
        let expected = generate_content(&format!("/{service}/recording"), TRANSFER_BYTES);
        let is_complete = result.is_ok_and(|r| r.is_ok_and(|r| r.body == expected));
        checks.check(
            is_complete,
            format!("a transfer of {TRANSFER_BYTES} bytes completes during a graceful shutdown"),
        );
        let has_ended = tokio::time::timeout(READY_TIMEOUT, leaving.task).await.is_ok();
        checks.check(has_ended, "the instance ends once its last request has ended");
    }

    /// Sends downloads and short calls during a load peak (`crest`) that the sheet announces, and checks that
    /// the report counts them as part of it.
    async fn check_peak_in_report(&self, checks: &mut PropertyChecks) -> Result<()> {
        let (download_service, short_service) = match self.deployment {
            Deployment::Kremsau => ("tonarchiv", "hallenplan"),
            Deployment::Magnolia => ("practice-vault", "schedule-board"),
        };
        let sheet =
            format!("{}now,crest,{download_service},3\nnow,crest,{short_service},3\n", self.targets.sheet);
        let admin = self.instances[0].admin();
        let path = "/plan/submit?change-id=tour-3";
        client::send_request::<AcceptedChange>(Method::POST, admin, path, None, Bytes::from(sheet)).await?;
        let calls = self.numbered_calls().flat_map(|(instance, number)| {
            let download = format!("/{download_service}/recording?bytes=65536&work_us=50000&number={number}");
            let short = format!("/{short_service}/today/{number}?work_us=1000");
            let paths = [download, short.clone(), short.clone(), short];
            paths.map(|path| self.call(Method::GET, self.instances[instance].callers(), path, None))
        });
        join_all(calls).await;
        let report =
            client::send_request::<Report>(Method::GET, admin, "/report", None, Bytes::new()).await?;
        let peak_calls = |name: &str| {
            let service = report.services.iter().find(|s| s.service.as_str() == name);
            service.map_or(0, |s| if s.crest.planned_minutes > 0 { s.crest.eligible } else { 0 })
        };
        let counted = (peak_calls(download_service), peak_calls(short_service));
        let sent = CALLS_PER_ROUTE as u64;
        checks.check(
            counted.0 >= sent && counted.1 >= 3 * sent,
            format!(
                "the report shows the crest: {} calls of {download_service}, {} of {short_service}",
                counted.0, counted.1
            ),
        );
        Ok(())
    }

    /// Prints the report of each instance.
    async fn print_reports(&self) -> Result<()> {
        for instance in &self.instances {
            let report =
                client::send_request::<Report>(Method::GET, instance.admin(), "/report", None, Bytes::new())
                    .await?;
            print!("{}", format_table(&report));
        }
        Ok(())
    }
}
