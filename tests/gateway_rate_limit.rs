//! Targets that state the rate of requests that they take from all instances together.

mod gateway_env;

use gateway_env::TestDeployment;
use hyper::Method;
use serde_json::json;

/// Without these lines and figures, nobody can tell whether an instance knows a target's limit.
#[tokio::test]
async fn a_stated_limit_and_its_end_are_logged_and_counted() {
    let deployment = TestDeployment::start().await;
    let worker = deployment.worker("i-1").await;
    let gateway = deployment.gateway("one", &json!({})).await;
    worker.set_rate_limit_per_s(Some(2.5));
    deployment.send(gateway.callers, Method::POST, "/charge/x", "a1").await.expect("an answer");
    deployment
        .wait_until("the limit is logged", || async {
            gateway.logged(&["event=rate-limit", "target=i-1", "limit_per_s=2.5", "was=none"])
        })
        .await;
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_targets_limited 1"), "{text}");
    worker.set_rate_limit_per_s(None);
    let mut number = 1;
    while !gateway.logged(&["event=rate-limit", "limit_per_s=none", "was=2.5"]) {
        number += 1;
        assert!(number < 500, "the end of the limit was not noticed");
        deployment
            .send(gateway.callers, Method::POST, "/charge/x", &format!("a{number}"))
            .await
            .expect("an answer");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    let metrics = deployment.caller.get(gateway.metrics, "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(text.contains("arbutusshelf_gateway_targets_limited 0"), "{text}");
}
