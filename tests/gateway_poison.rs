//! Requests that end each target that executes them.

mod gateway_env;

use arbutusshelf_bench::worker::WorkerMode;
use gateway_env::TestDeployment;
use hyper::Method;
use serde_json::json;

/// Part of the request line by which a request ends its target.
const FATAL_MARKER: &str = "/fatal";

/// Without these lines and figures, nobody can tell a target that has ended from a lost answer, or two attempts of
/// one request from two requests.
#[tokio::test]
async fn an_ended_target_and_a_lost_answer_are_told_apart_in_logs_and_metrics() {
    let deployment = TestDeployment::start().await;
    let gateway = deployment.gateway("one", &json!({})).await;
    let alive = deployment.worker("i-alive").await;
    alive.set_mode(WorkerMode::ResetConnection);
    deployment
        .wait_until("the target is known", || async { gateway.logged(&["event=target-added", "i-alive"]) })
        .await;
    deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    deployment.store.remove("servers", "i-alive");
    let fatal = deployment.worker("i-fatal").await;
    fatal.set_fatal_marker(FATAL_MARKER);
    deployment
        .wait_until("the targets have changed", || async {
            gateway.logged(&["event=target-added", "i-fatal"])
                && gateway.logged(&["event=target-removed", "i-alive"])
        })
        .await;
    deployment.send(gateway.callers, Method::POST, "/charge/fatal", "a2").await.expect("an answer");
    for (id, process) in [("a1", "process=listening"), ("a2", "process=ended")] {
        deployment
            .wait_until("the send is logged", || async {
                gateway.logged(&["event=send-ended", &format!("request=\"{id}\""), "outcome=lost", process])
            })
            .await;
    }
    assert!(gateway.logged(&["event=target-ended", "target=i-fatal", "service=plan"]));
    assert!(!gateway.logged(&["event=target-ended", "target=i-alive"]));
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for process in ["listening", "ended"] {
        let line = format!("arbutusshelf_gateway_sends_lost_total{{process=\"{process}\"}} 1");
        assert!(text.contains(&line), "{line} in {text}");
    }
}
