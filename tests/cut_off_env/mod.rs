//! Instances of which one can be cut off from all targets.

#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses its own part of the environment")]

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use arbutusshelf_bench::{
    relay::{LinkFault, Relay},
    worker::WorkerStandIn,
};
use futures::future::join_all;
use hyper::Method;
use serde_json::json;

use super::gateway_env::{GatewayProcess, TestDeployment, entry, executions};

/// Address from which the instance that is cut off connects to targets.
pub const CUT_OFF_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Address from which the other instances connect to targets.
pub const OTHER_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

/// Time between two requests, at an instance of the size of the users' sites.
pub const REQUEST_GAP: Duration = Duration::from_millis(50);

/// Number of targets.
const TARGETS: usize = 4;

/// Instances of which one can be cut off from all targets.
pub struct CutOffDeployment {
    /// The deployment.
    pub deployment: TestDeployment,
    /// The targets.
    pub workers: Vec<WorkerStandIn>,
    relays: Vec<Relay>,
    /// The instance that can be cut off; it follows the first other one.
    pub cut_off: GatewayProcess,
    /// The other instances.
    pub others: Vec<GatewayProcess>,
}

impl CutOffDeployment {
    /// Starts the targets and the instances, and waits until these know each other.
    pub async fn start(others: usize) -> Self {
        let deployment = TestDeployment::start().await;
        let (mut workers, mut relays) = (Vec::new(), Vec::new());
        for number in 0..TARGETS {
            let worker = WorkerStandIn::start(&format!("i-{number}")).await.expect("the worker starts");
            worker.set_service_time(Duration::from_millis(10));
            let relay = Relay::start(worker.address).await.expect("the relay starts");
            deployment.store.put_json("servers", &worker.id, &entry(relay.address, "plan", "ready"));
            workers.push(worker);
            relays.push(relay);
        }
        let seed = deployment.gateway("other-0", &json!({"targets_source": OTHER_SOURCE})).await;
        let settings = |source| json!({"targets_source": source, "peer_seeds": [seed.peers]});
        let names = (1..others).map(|number| format!("other-{number}")).collect::<Vec<_>>();
        let (own, other) = (settings(CUT_OFF_SOURCE), settings(OTHER_SOURCE));
        let started = names.iter().map(|name| deployment.gateway(name, &other));
        let (cut_off, started) = tokio::join!(deployment.gateway("cut-off", &own), join_all(started));
        let others = [seed].into_iter().chain(started).collect::<Vec<_>>();
        let count = format!("instances={}", others.len() + 1);
        for instance in others.iter().chain([&cut_off]) {
            let counted = || async { instance.logged(&["event=instances-counted", &count]) };
            deployment.wait_until("all instances are counted", counted).await;
        }
        Self { deployment, workers, relays, cut_off, others }
    }

    /// Sets the fault of all connections from the instance that can be cut off to targets.
    pub fn set_fault(&self, fault: LinkFault) {
        self.set_fault_from(CUT_OFF_SOURCE, fault);
    }

    /// Sets the fault of all connections from an address to targets.
    pub fn set_fault_from(&self, source: Ipv4Addr, fault: LinkFault) {
        for relay in &self.relays {
            relay.set_fault_from(IpAddr::from(source), fault);
        }
    }

    /// Cuts the instance off and lets it find out.
    pub async fn cut_off(&self, fault: LinkFault) {
        self.set_fault(fault);
        self.served(&self.cut_off, "finds-out", 20).await;
        let closed = || async { self.cut_off.logged(&["event=path-closed"]) };
        self.deployment.wait_until("the path is closed", closed).await;
    }

    /// Sends requests to an instance, reads and charges in turn, and returns how many were served.
    pub async fn served(&self, instance: &GatewayProcess, prefix: &str, count: usize) -> usize {
        let send = |number: usize| async move {
            tokio::time::sleep(REQUEST_GAP * u32::try_from(number).expect("it is small")).await;
            let (method, path) =
                if number.is_multiple_of(2) { (Method::GET, "/read/x") } else { (Method::POST, "/charge/x") };
            let id = format!("{prefix}-{number}");
            let response = self.deployment.send(instance.callers, method, path, &id).await;
            response.is_ok_and(|r| r.status == 200 && r.body == format!("body of {id}"))
        };
        join_all((0..count).map(send)).await.into_iter().filter(|is_served| *is_served).count()
    }

    /// Returns how often a request was executed.
    pub fn executions(&self, id: &str) -> usize {
        executions(&self.workers, id)
    }

    /// Fails if any charge was executed more than once.
    pub fn assert_no_charge_twice(&self) {
        let executed = self.workers.iter().flat_map(WorkerStandIn::executed_requests);
        let charges = executed.filter(|r| r.head.starts_with("POST")).map(|r| r.body);
        let mut charges = charges.collect::<Vec<_>>();
        charges.sort_unstable();
        assert!(charges.windows(2).all(|pair| pair[0] != pair[1]), "a charge was executed twice");
    }
}
