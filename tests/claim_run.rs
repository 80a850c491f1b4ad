//! At-most-once calls over real sockets: a small run with injected faults, and requests without a usable key.

use arbutusshelf_bench::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, InProcessInstance, TargetStandIns},
    fault_run::{Args, run},
    platform::PlatformStandIn,
};
use bytes::Bytes;
use hyper::Method;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_promise_breaks_under_all_faults_at_once() {
    let counts =
        run(&Args { calls: 120, seed: 7, instances: 3, callers: 24 }).await.expect("loopback has ports");
    assert_eq!(counts.violations(), Vec::<&str>::new(), "{counts:?}");
    assert!(counts.ran > 0 && counts.keys_run > 0, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_route_that_needs_a_key_refuses_calls_without_a_usable_one() {
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
    let targets = TargetStandIns::start(Deployment::Kremsau).await.expect("loopback has free ports");
    let instance = InProcessInstance::start("kremsau-01", "ost-a", platform.server.address).await;
    let instance = instance.expect("loopback has free ports");
    let sheet = Bytes::from(targets.sheet.clone());
    arbutusshelf::admin::client::send_request::<arbutusshelf::admin::submit::AcceptedChange>(
        Method::POST,
        instance.admin(),
        "/plan/submit?change-id=first",
        None,
        sheet,
    )
    .await
    .expect("the plan is accepted");
    let caller = Caller::default();
    let too_long = "k".repeat(256);
    for key in [None, Some(""), Some("two words"), Some(too_long.as_str())] {
        let path = "/mietkasse/charges";
        let body = Bytes::from_static(b"{}");
        let response =
            caller.call(Method::POST, instance.callers(), path, key, body).await.expect("an answer");
        assert_eq!(
            (response.status, response.outcome(), response.cause()),
            (400, "not-run", "key-missing"),
            "{key:?}"
        );
    }
    let ran = targets.stand_ins.iter().map(|(_, t)| t.executed_count()).sum::<u32>();
    assert_eq!(ran, 0);
}
