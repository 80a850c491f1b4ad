//! End-to-end test with the real binary: submits a plan, waits until it is in force, sends a call and reads
//! the report.

mod testenv;

use arbutusshelf_bench::{
    client::Caller,
    deployment::{ANY_PORT, Deployment, TargetStandIns},
    platform::PlatformStandIn,
};
use testenv::{TestEnv, stderr, stdout};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn serves_a_call_and_reports_it() {
    let env = TestEnv::new();
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.expect("loopback has a free port");
    let targets = TargetStandIns::start(Deployment::Kremsau).await.expect("loopback has free ports");
    let extra = serde_json::json!({"platform_driver": "http", "platform_address": platform.server.address});
    let mut instance = env.serve("kremsau-01", &extra);
    let admin = instance.admin.to_string();
    let sheet = env.write("sheet.csv", &targets.sheet);
    let env = tokio::task::spawn_blocking(move || {
        let output = env.run(&["plan", "submit", &sheet, "--to", &admin, "--change-id", "first"]);
        assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
        assert!(stdout(&output).contains("in force on all live instances"));
        env
    })
    .await
    .expect("the submission does not panic");
    let received = Caller::default().get(instance.callers, "/hallenplan/today").await.expect("an answer");
    assert_eq!((received.status, received.outcome()), (200, "ran"));
    let admin = instance.admin.to_string();
    tokio::task::spawn_blocking(move || {
        let output = env.run(&["report", "--to", &admin]);
        assert!(stdout(&output).contains("hallenplan"), "{}", stdout(&output));
        instance.wait_log("event=plan-in-force");
        let status = env.run(&["plan", "status", "--to", &admin, "--json"]);
        assert!(stdout(&status).contains("\"change_id\": \"first\""), "{}", stdout(&status));
    })
    .await
    .expect("the report does not panic");
}
