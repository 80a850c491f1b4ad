//! Targets send bytes without end, in a head or a body: the gateway closes the connection, tells its caller the
//! truth in time, keeps its memory and serves other callers as before.

mod gateway_env;

use std::time::{Duration, Instant};

use arbutusshelf_bench::endless::{EndlessPart, EndlessTarget};
use gateway_env::{TestDeployment, entry};
use hyper::Method;
use serde_json::json;

/// Deadline of the callers.
const DEADLINE: Duration = Duration::from_millis(600);

/// Time after the deadline within which the caller must have its answer and the target's connection must be
/// closed.
const SLACK: Duration = Duration::from_millis(500);

/// Memory by which the gateway may grow over all endless responses of a test: four times what is buffered of a
/// response.
const MAX_GROWTH_BYTES: u64 = 4 * (256 << 10);

async fn endless_target(deployment: &TestDeployment, id: &str, part: EndlessPart) -> EndlessTarget {
    let target = EndlessTarget::start(id, part).await.expect("the target starts");
    deployment.store.put_json("servers", id, &entry(target.address, "plan", "ready"));
    target
}

async fn expect_closed(deployment: &TestDeployment, target: &EndlessTarget, part: EndlessPart) {
    let until = Instant::now() + SLACK;
    deployment
        .wait_until("the connection to the target is closed", || async { target.open_responses() == 0 })
        .await;
    assert!(Instant::now() < until, "{part:?}: the connection was closed too late");
}

#[tokio::test]
async fn a_caller_is_told_in_time_and_the_connection_is_closed() {
    for part in EndlessPart::ALL {
        let deployment = TestDeployment::start().await;
        let target = endless_target(&deployment, "i-1", part).await;
        let gateway = deployment.gateway("one", &json!({})).await;
        let deadline_ms = u64::try_from(DEADLINE.as_millis()).expect("a short time");
        let send = |method: Method, path: &'static str, id: &'static str| {
            deployment.send_within(gateway.callers, method, path, id, deadline_ms)
        };
        // Opens all connections and fills the allocator's reserves before memory is compared.
        let _warm_up = send(Method::GET, "/read/x", "a0").await;
        expect_closed(&deployment, &target, part).await;
        let before = deployment.resident_bytes(&gateway).await;
        for (method, path, id) in [
            (Method::GET, "/read/x", "a1"),
            (Method::POST, "/charge/x", "a2"),
            (Method::GET, "/read/x", "a3"),
        ] {
            let (started, runs) = (Instant::now(), target.request_count());
            let answer = send(method.clone(), path, id).await;
            assert!(started.elapsed() < DEADLINE + SLACK, "{part:?} {method}: took {:?}", started.elapsed());
            let was_sent = target.request_count() > runs;
            match answer {
                // A body that breaks off must not look complete.
                Err(_) => assert!(was_sent, "{part:?} {method}: no answer to a request that was not sent"),
                Ok(answer) => {
                    assert!(!(200..300).contains(&answer.status), "{part:?} {method}: {answer:?}");
                    let says_not_run = [408, 421, 429, 503].contains(&answer.status);
                    let has_not_run = !was_sent || part == EndlessPart::RefusalBody;
                    assert!(!says_not_run || has_not_run, "{part:?} {method}: {answer:?}");
                }
            }
            expect_closed(&deployment, &target, part).await;
        }
        let growth = deployment.resident_bytes(&gateway).await.saturating_sub(before);
        assert!(growth <= MAX_GROWTH_BYTES, "{part:?}: memory grew by {growth} bytes");
    }
}

#[tokio::test]
async fn another_target_answers_what_may_be_repeated() {
    // A success whose body goes on beyond what is buffered has been passed on in part and can't be repeated.
    let repeatable = EndlessPart::ALL.into_iter().filter(|part| {
        !matches!(
            part,
            EndlessPart::ChunkedBody
                | EndlessPart::UnframedBody
                | EndlessPart::BodyWithLength
                | EndlessPart::StalledBody
                | EndlessPart::FailureBody
        )
    });
    for part in repeatable {
        let deployment = TestDeployment::start().await;
        let _sound = deployment.worker("i-2").await;
        let _target = endless_target(&deployment, "i-1", part).await;
        let gateway = deployment.gateway("one", &json!({})).await;
        // Before that, the budget of repeats is the part that is proportional to the requests.
        deployment
            .wait_until("repeats are allowed", || async { gateway.logged(&["event=instances-counted"]) })
            .await;
        for number in 0..6 {
            let id = format!("a{number}");
            let answer = deployment.send(gateway.callers, Method::GET, "/read/x", &id).await;
            assert_eq!(answer.expect("an answer").status, 200, "{part:?} request {number}");
        }
    }
}

#[tokio::test]
async fn a_stop_is_not_held_up_by_answers_without_end() {
    for part in [
        EndlessPart::SlowHead,
        EndlessPart::ChunkedBody,
        EndlessPart::BodyWithLength,
        EndlessPart::StalledBody,
        EndlessPart::RefusalBody,
    ] {
        let deployment = TestDeployment::start().await;
        let _target = endless_target(&deployment, "i-1", part).await;
        let mut gateway = deployment.gateway("one", &json!({})).await;
        let request = deployment.send_within(gateway.callers, Method::GET, "/read/x", "a1", 1_500);
        let stop = async {
            tokio::time::sleep(Duration::from_millis(100)).await;
            gateway.signal("TERM");
        };
        let (_answer, ()) = tokio::join!(request, stop);
        assert!(gateway.wait_for_exit().await, "{part:?}: the gateway ended with an error");
    }
}
