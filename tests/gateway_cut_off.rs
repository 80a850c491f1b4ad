//! Instances that have no path to any target, while callers, the store and other instances reach them.

mod cut_off_env;
mod gateway_env;

use std::time::Duration;

use arbutusshelf_bench::relay::LinkFault;
use cut_off_env::{CutOffDeployment, REQUEST_GAP};

/// Time from the beginning of a cut on from which the users count requests (`contactS`).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time without requests after which no open connection is used again.
const IDLE_TIME: Duration = Duration::from_millis(5_500);

/// Requests to each instance once they are counted.
const REQUESTS: usize = 60;

async fn assert_callers_are_served_during(fault: LinkFault) {
    let deployment = CutOffDeployment::start(1).await;
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
        deployment.served(&deployment.others[0], "other", REQUESTS)
    );
    println!("{fault:?}: served {at_cut_off} of {REQUESTS}, elsewhere {at_other}");
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
    let deployment = CutOffDeployment::start(1).await;
    assert_eq!(deployment.served(&deployment.cut_off, "before", 10).await, 10, "before the cut");
    for _ in 0..4 {
        deployment.set_fault(LinkFault::Reset);
        deployment.served(&deployment.cut_off, "during", 20).await;
        deployment.set_fault(LinkFault::None);
        deployment.served(&deployment.cut_off, "between", 10).await;
    }
    for instance in [&deployment.cut_off, &deployment.others[0]] {
        for event in ["event=target-ended", "event=suspect", "event=quarantine"] {
            assert!(!instance.logged(&[event]), "{event}");
        }
    }
}
