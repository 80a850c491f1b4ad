//! The tour: the whole path on loopback, with the brief's properties checked on the way.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::{
    admin::{client, submit::Accepted},
    error::{Error, ErrorKind, Result},
    observe::{report::Report, table::table},
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

/// Instances of each deployment.
const INSTANCES: usize = 3;

/// Short calls sent to every route of every instance.
const CALLS_PER_ROUTE: usize = 20;

/// Bytes of a long transfer.
const TRANSFER_BYTES: usize = 4 << 20;

/// Time within which an instance must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a leaving target must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Gathers what was seen and which properties were broken.
#[derive(Debug, Default)]
pub struct PropertyChecks {
    /// Properties that did not hold, in words.
    pub broken_properties: Vec<String>,
}

impl PropertyChecks {
    fn check(&mut self, holds: bool, property: impl Into<String>) {
        let property = property.into();
        println!("  {} {property}", if holds { "ok    " } else { "BROKEN" });
        if !holds {
            self.broken_properties.push(property);
        }
    }
}

/// Runs the tour of both deployments.
///
/// # Errors
///
/// When a stand-in or an instance can't be started.
pub async fn run() -> Result<PropertyChecks> {
    let mut findings = PropertyChecks::default();
    for deployment in Deployment::ALL {
        println!("deployment {deployment}");
        Stage::start(deployment).await?.run(&mut findings).await?;
    }
    println!("{} broken properties", findings.broken_properties.len());
    Ok(findings)
}

/// One deployment, running.
struct Stage {
    deployment: Deployment,
    targets: TargetStandIns,
    instances: Vec<InProcessInstance>,
    caller: Caller,
    _platform: PlatformStandIn,
}

impl Stage {
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

    async fn run(mut self, findings: &mut PropertyChecks) -> Result<()> {
        self.wait_members().await;
        self.submit(findings, "tour-1").await?;
        self.call_every_route(findings).await;
        self.repeat_keys(findings).await;
        self.drain_a_target(findings).await?;
        self.leave_during_a_transfer(findings).await;
        self.milonga_night(findings).await?;
        self.report().await
    }

    /// Waits until every instance has heard from the others.
    async fn wait_members(&self) {
        let started = Instant::now();
        let all_heard = || {
            let live = |i: &InProcessInstance| {
                i.kernel.members.view(i.kernel.clock.now()).iter().filter(|m| m.live).count()
            };
            self.instances.iter().all(|i| live(i) == INSTANCES - 1)
        };
        while !all_heard() && started.elapsed() < READY_TIMEOUT {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn submit(&self, findings: &mut PropertyChecks, change_id: &str) -> Result<()> {
        let path = format!("/plan/submit?change-id={change_id}");
        let sheet = Bytes::from(self.targets.sheet.clone());
        let admin = self.instances[0].admin();
        let accepted = client::call::<Accepted>(Method::POST, admin, &path, None, sheet).await?;
        let everywhere = self.instances.iter().all(|i| i.kernel.plan.version() == accepted.version);
        findings.check(
            accepted.without.is_empty() && everywhere,
            format!("plan version {} is in force everywhere once accepted", accepted.version),
        );
        Ok(())
    }

    async fn call_every_route(&self, findings: &mut PropertyChecks) {
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
                let told = results.iter().all(|r| r.as_ref().is_ok_and(|r| !r.outcome().is_empty()));
                let name = format!("{} {} {}", route.method, route.path_prefix, route.kind);
                findings
                    .check(told && ran == results.len(), format!("{name}: {ran} of {} ran", results.len()));
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

    /// Sends each key to every instance at once: it must run exactly once and every `not-run` must be true.
    async fn repeat_keys(&self, findings: &mut PropertyChecks) {
        let plan = self.deployment.plan();
        let routes = plan.services.iter().flat_map(|s| &s.routes);
        for route in routes.filter(|r| r.kind == RequestKind::AtMostOnce) {
            let mut ran_twice = 0;
            let mut unanswered = 0;
            for number in 0..CALLS_PER_ROUTE {
                let key = format!("repeated{}-{number}", route.path_prefix.replace('/', "-"));
                let path = route.path_prefix.clone();
                let calls = self
                    .instances
                    .iter()
                    .map(|i| self.call(Method::POST, i.callers(), path.clone(), Some(key.clone())));
                let results = join_all(calls).await;
                unanswered += usize::from(!results.iter().flatten().any(|r| r.outcome() == "ran"));
                ran_twice += usize::from(self.targets.executions_of_key(&key) != 1);
            }
            findings.check(
                ran_twice == 0 && unanswered == 0,
                format!("{}: {CALLS_PER_ROUTE} keys sent three times each ran once each", route.path_prefix),
            );
        }
    }

    async fn drain_a_target(&self, findings: &mut PropertyChecks) -> Result<()> {
        let plan = self.deployment.plan();
        let Some(service) = plan.services.first() else { return Ok(()) };
        let Some(target) = service.targets.first() else { return Ok(()) };
        let sheet = format!("{}now,drain,{},\n", self.targets.sheet, target.id);
        let admin = self.instances[0].admin();
        client::call::<Accepted>(
            Method::POST,
            admin,
            "/plan/submit?change-id=tour-2",
            None,
            Bytes::from(sheet),
        )
        .await?;
        tokio::time::sleep(DRAIN_LIMIT).await;
        let before = self.targets.find(target.id.as_str()).map(super::target::TargetStandIn::executed_count);
        let calls = self.numbered_calls().map(|(instance, number)| {
            let path = format!("/{}/after-drain/{number}", service.name);
            self.call(Method::GET, self.instances[instance].callers(), path, None)
        });
        join_all(calls).await;
        let after = self.targets.find(target.id.as_str()).map(super::target::TargetStandIn::executed_count);
        findings.check(
            before == after,
            format!("{} gets no new requests {DRAIN_LIMIT:?} after drain", target.id),
        );
        Ok(())
    }

    async fn leave_during_a_transfer(&mut self, findings: &mut PropertyChecks) {
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
        let whole = result.is_ok_and(|r| r.is_ok_and(|r| r.body == expected));
        findings.check(whole, format!("a transfer of {TRANSFER_BYTES} bytes outlasts a graceful shutdown"));
        let left = tokio::time::timeout(READY_TIMEOUT, leaving.task).await.is_ok();
        findings.check(left, "the instance ends once its last request has ended");
    }

    /// A crest that the sheet expects: recordings and short calls at once, and the report that shows it.
    async fn milonga_night(&self, findings: &mut PropertyChecks) -> Result<()> {
        let (long, short) = match self.deployment {
            Deployment::Kremsau => ("tonarchiv", "hallenplan"),
            Deployment::Magnolia => ("practice-vault", "schedule-board"),
        };
        let sheet = format!("{}now,crest,{long},3\nnow,crest,{short},3\n", self.targets.sheet);
        let admin = self.instances[0].admin();
        let path = "/plan/submit?change-id=tour-3";
        client::call::<Accepted>(Method::POST, admin, path, None, Bytes::from(sheet)).await?;
        let calls = self.numbered_calls().flat_map(|(instance, number)| {
            let recording = format!("/{long}/recording?bytes=65536&work_us=50000&number={number}");
            let timetable = format!("/{short}/today/{number}?work_us=1000");
            let paths = [recording, timetable.clone(), timetable.clone(), timetable];
            paths.map(|path| self.call(Method::GET, self.instances[instance].callers(), path, None))
        });
        join_all(calls).await;
        let report = client::call::<Report>(Method::GET, admin, "/report", None, Bytes::new()).await?;
        let crest = |name: &str| {
            let service = report.services.iter().find(|s| s.service.as_str() == name);
            service.map_or(0, |s| if s.crest.planned_minutes > 0 { s.crest.judged } else { 0 })
        };
        let shown = (crest(long), crest(short));
        let sent = CALLS_PER_ROUTE as u64;
        findings.check(
            shown.0 >= sent && shown.1 >= 3 * sent,
            format!("the report shows the crest: {} calls of {long}, {} of {short}", shown.0, shown.1),
        );
        Ok(())
    }

    async fn report(&self) -> Result<()> {
        for instance in &self.instances {
            let report =
                client::call::<Report>(Method::GET, instance.admin(), "/report", None, Bytes::new()).await?;
            print!("{}", table(&report));
        }
        Ok(())
    }
}
