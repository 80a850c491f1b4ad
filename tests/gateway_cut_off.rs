//! Instances that have no path to any target, while callers, the store and other instances reach them.

mod gateway_env;

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use arbutusshelf_bench::{
    relay::{LinkFault, Relay},
    worker::WorkerStandIn,
};
use futures::future::join_all;
use gateway_env::{GatewayProcess, TestDeployment, entry};
use hyper::Method;
use serde_json::json;

/// Address from which the instance that is cut off connects to targets.
const CUT_OFF_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);

/// Address from which the other instances connect to targets.
const OTHER_SOURCE: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 3);

/// Time from the beginning of a cut on from which the users count requests (`contactS`).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time without requests after which no open connection is used again.
const IDLE_TIME: Duration = Duration::from_millis(5_500);

/// Time between two requests, at an instance of the size of the users' sites.
const REQUEST_GAP: Duration = Duration::from_millis(50);

/// Requests to each instance once they are counted.
const REQUESTS: usize = 60;

/// Two instances, one of which can be cut off from all targets.
struct CutOffDeployment {
    deployment: TestDeployment,
    workers: Vec<WorkerStandIn>,
    relays: Vec<Relay>,
    cut_off: GatewayProcess,
    other: GatewayProcess,
}

impl CutOffDeployment {
    async fn start() -> Self {
        let deployment = TestDeployment::start().await;
        let (mut workers, mut relays) = (Vec::new(), Vec::new());
        for number in 0..4 {
            let worker = WorkerStandIn::start(&format!("i-{number}")).await.expect("the worker starts");
            worker.set_service_time(Duration::from_millis(10));
            let relay = Relay::start(worker.address).await.expect("the relay starts");
            deployment.store.put_json("servers", &worker.id, &entry(relay.address, "plan", "ready"));
            workers.push(worker);
            relays.push(relay);
        }
        let other = deployment.gateway("other", &json!({"targets_source": OTHER_SOURCE})).await;
        let settings = json!({"targets_source": CUT_OFF_SOURCE, "peer_seeds": [other.peers]});
        let cut_off = deployment.gateway("cut-off", &settings).await;
        for instance in [&cut_off, &other] {
            let counted = || async { instance.logged(&["event=instances-counted", "instances=2"]) };
            deployment.wait_until("both instances are counted", counted).await;
        }
        Self { deployment, workers, relays, cut_off, other }
    }

    fn set_fault(&self, fault: LinkFault) {
        for relay in &self.relays {
            relay.set_fault_from(IpAddr::from(CUT_OFF_SOURCE), fault);
        }
    }

    /// Sends requests to an instance, reads and charges in turn, and returns how many were served.
    async fn served(&self, instance: &GatewayProcess, prefix: &str, count: usize) -> usize {
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

    /// Fails if any charge was executed more than once.
    fn assert_no_charge_twice(&self) {
        let executed = self.workers.iter().flat_map(WorkerStandIn::executed_requests);
        let charges = executed.filter(|r| r.head.starts_with("POST")).map(|r| r.body);
        let mut charges = charges.collect::<Vec<_>>();
        charges.sort_unstable();
        assert!(charges.windows(2).all(|pair| pair[0] != pair[1]), "a charge was executed twice");
    }
}

async fn assert_callers_are_served_during(fault: LinkFault) {
    let deployment = CutOffDeployment::start().await;
    assert_eq!(deployment.served(&deployment.cut_off, "before", 10).await, 10, "before the cut");
    deployment.set_fault(fault);
    if fault == LinkFault::ResetNew {
        tokio::time::sleep(IDLE_TIME).await;
    } else {
        // Not counted; the instance can learn from them.
        let early = usize::try_from(SETTLE_TIME.as_millis() / REQUEST_GAP.as_millis()).expect("it is small");
        deployment.served(&deployment.cut_off, "early", early).await;
    }
    let (at_cut_off, at_other) = tokio::join!(
        deployment.served(&deployment.cut_off, "cut-off", REQUESTS),
        deployment.served(&deployment.other, "other", REQUESTS)
    );
    assert!(at_cut_off * 3 >= at_other * 2, "served {at_cut_off} of {REQUESTS}, elsewhere {at_other}");
    deployment.assert_no_charge_twice();
}

// Guards against callers who are refused because their instance reaches no target while others do: connections hang.
#[tokio::test]
async fn callers_of_an_instance_whose_connections_hang_are_served() {
    assert_callers_are_served_during(LinkFault::Blackhole).await;
}

// Guards against the same failure when connections are reset.
#[tokio::test]
async fn callers_of_an_instance_whose_connections_are_reset_are_served() {
    assert_callers_are_served_during(LinkFault::Reset).await;
}

// Guards against the same failure when open connections live on and new ones are refused.
#[tokio::test]
async fn callers_of_an_instance_whose_new_connections_are_refused_are_served() {
    assert_callers_are_served_during(LinkFault::ResetNew).await;
}

// Guards against a quarantine of harmless requests: at an instance that is cut off, each lost send looks like the end
// of its target.
#[tokio::test]
async fn no_request_is_quarantined_because_an_instance_is_cut_off() {
    let deployment = CutOffDeployment::start().await;
    assert_eq!(deployment.served(&deployment.cut_off, "before", 10).await, 10, "before the cut");
    for _ in 0..4 {
        deployment.set_fault(LinkFault::Reset);
        deployment.served(&deployment.cut_off, "during", 20).await;
        deployment.set_fault(LinkFault::None);
        deployment.served(&deployment.cut_off, "between", 10).await;
    }
    for instance in [&deployment.cut_off, &deployment.other] {
        for event in ["event=target-ended", "event=suspect", "event=quarantine"] {
            assert!(!instance.logged(&[event]), "{event}");
        }
    }
}
