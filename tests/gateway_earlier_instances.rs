//! Instances of an earlier release, to which an instance without a path to targets forwards charges.
//!
//! Until an upgrade has reached them, they pass on what a target has answered, whatever its status promises.

mod cut_off_env;
mod follower_env;
mod gateway_env;

use std::sync::{Arc, Mutex, PoisonError};

use arbutusshelf::peer::frame::{Frame, PathEntry};
use arbutusshelf_bench::{
    client::CompleteResponse,
    relay::LinkFault,
    scripted::{ScriptedResponse, ScriptedTarget},
};
use cut_off_env::CutOffDeployment;
use follower_env::Subscriber;
use hyper::Method;

/// Name of the stand-in.
const EARLIER: &str = "earlier";

/// An instance without a path to targets that knows one other instance, a stand-in.
struct EarlierInstance {
    deployment: CutOffDeployment,
    /// The stand-in, which counts the requests that it gets.
    stand_in: ScriptedTarget,
    /// What it responds.
    response: Arc<Mutex<String>>,
    _link: Subscriber,
}

impl EarlierInstance {
    async fn start() -> Self {
        let mut deployment = CutOffDeployment::start(1).await;
        deployment.cut_off(LinkFault::Blackhole).await;
        deployment.others.clear();
        let response = Arc::new(Mutex::new(response("500 Internal Server Error", "", 0)));
        let current = Arc::clone(&response);
        let script = move |_| {
            let response = current.lock().unwrap_or_else(PoisonError::into_inner).clone();
            ScriptedResponse { bytes: response.into(), close: false }
        };
        let stand_in = ScriptedTarget::start(script).await.expect("loopback has a free port");
        let mut link = Subscriber::open(deployment.cut_off.peers, false).await;
        let path = PathEntry {
            instance: EARLIER.parse().expect("a name"),
            started_unix_ms: 1,
            version: 0,
            address: stand_in.address,
            is_accepting: true,
            closed: Vec::new(),
        };
        link.send(&Frame::Paths(vec![path])).await;
        let instance = Self { deployment, stand_in, response, _link: link };
        let is_used = || async {
            instance.send(Method::GET, "/read/x").await;
            instance.stand_in.requests() > 0
        };
        instance.deployment.deployment.wait_until("calls are forwarded to the stand-in", is_used).await;
        instance
    }

    async fn send(&self, method: Method, path: &str) -> CompleteResponse {
        let to = self.deployment.cut_off.callers;
        self.deployment.deployment.send(to, method, path, "c1").await.expect("a whole response")
    }

    /// Sends a charge, which the stand-in must get once and answers with `response`.
    async fn charge(&self, response: String) -> CompleteResponse {
        *self.response.lock().unwrap_or_else(PoisonError::into_inner) = response;
        let before = self.stand_in.requests();
        let response = self.send(Method::POST, "/charge/x").await;
        assert_eq!(self.stand_in.requests(), before + 1, "the stand-in gets the charge once");
        response
    }
}

/// Returns a response of the stand-in.
fn response(status: &str, fields: &str, body_bytes: usize) -> String {
    let body = "x".repeat(body_bytes);
    let name = format!("Arbutusshelf-Forwarded-To: {EARLIER}");
    format!("HTTP/1.1 {status}\r\n{name}\r\n{fields}Content-Length: {body_bytes}\r\n\r\n{body}")
}

// Guards against a charge that is executed twice while builds run side by side: the other instance passes on a status
// that promises what the target has not stated.
#[tokio::test]
async fn a_promise_that_another_instance_passes_on_is_not_told() {
    let instance = EarlierInstance::start().await;
    for status in ["408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"] {
        for fields in ["", "X-Response-Seal: 3e1b.07\r\n", "Retry-After: 1\r\n"] {
            for body_bytes in [0, 400_000] {
                let told = instance.charge(response(status, fields, body_bytes)).await;
                assert_eq!(told.status, 502, "{status} {fields:?} {body_bytes}");
                assert_eq!(told.headers["arbutusshelf-cause"], "refusal-unconfirmed");
                assert!(!told.headers.contains_key("x-response-seal"), "{status} {fields:?} {body_bytes}");
                let logged = ["event=forward-ended", "outcome=unusable", &format!("status={}", &status[..3])];
                instance.deployment.deployment.wait_for_log(&instance.deployment.cut_off, &logged).await;
            }
        }
    }
}

// Guards against a charge that is told as unknown, although the other instance states that nothing was executed.
#[tokio::test]
async fn a_refusal_that_another_instance_states_is_told() {
    let fields = "Arbutusshelf-Outcome: not-run\r\nArbutusshelf-Cause: overloaded\r\nRetry-After: 0.2\r\n";
    let instance = EarlierInstance::start().await;
    let told = instance.charge(response("429 Too Many Requests", fields, 0)).await;
    assert_eq!((told.status, &told.headers["retry-after"]), (429, &"0.2".parse().expect("a value")));
    assert_eq!(told.headers["arbutusshelf-outcome"], "not-run");
}

// Guards against a status that no final response has, which the other instance passes on.
#[tokio::test]
async fn an_invalid_status_that_another_instance_passes_on_is_not_told() {
    let instance = EarlierInstance::start().await;
    for status in ["101 Switching Protocols", "600 Beyond", "999 Beyond"] {
        for body_bytes in [2, 400_000] {
            let fields = "X-Response-Seal: 3e1b.07\r\n";
            let told = instance.charge(response(status, fields, body_bytes)).await;
            assert_eq!(told.status, 502, "{status} {body_bytes}");
            assert_eq!(told.headers["arbutusshelf-cause"], "status-invalid");
        }
    }
}
