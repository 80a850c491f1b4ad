//! Test environment that runs gateway processes against stand-ins of the platform's store and workers.

#![allow(dead_code, clippy::allow_attributes, reason = "each test file uses its own part of the environment")]

#[path = "../testenv/mod.rs"]
pub mod testenv;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use arbutusshelf_bench::{
    client::{Caller, CompleteResponse, IncompleteResponse},
    rows::RowStoreStandIn,
    worker::WorkerStandIn,
};
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

use self::testenv::{TestEnv, WAIT_TIMEOUT};

/// Host of all routes.
pub const HOST: &str = "hall.example";

/// A running gateway; killed when dropped.
#[derive(Debug)]
pub struct GatewayProcess {
    child: Child,
    log: Arc<Mutex<Vec<String>>>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address on which metrics are read.
    pub metrics: SocketAddr,
    /// Address on which other instances connect.
    pub peers: SocketAddr,
    /// Address on which other instances forward requests.
    pub forwards: SocketAddr,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

impl GatewayProcess {
    /// Returns whether the gateway has logged a line that contains all `words`.
    pub fn logged(&self, words: &[&str]) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        log.iter().any(|line| words.iter().all(|w| line.contains(w)))
    }

    /// Returns the lines logged so far.
    pub fn log(&self) -> Vec<String> {
        self.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a signal to the process by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let status =
            std::process::Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits for the process to exit and returns whether it exited successfully.
    pub async fn wait_for_exit(&mut self) -> bool {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the status of the process can be read") {
                return status.success();
            }
            assert!(Instant::now() < until, "the gateway did not exit");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// A deployment under test: the stand-in of the platform's store, and settings for gateways that use it.
#[derive(Debug)]
pub struct TestDeployment {
    /// Stand-in of the store.
    pub store: RowStoreStandIn,
    env: TestEnv,
    /// HTTP client that sends the callers' requests.
    pub caller: Caller,
    version: Mutex<u32>,
}

impl TestDeployment {
    /// Starts the store with the routes `/read/` and `/charge/`.
    pub async fn start() -> Self {
        let store = RowStoreStandIn::start().await.expect("the store starts");
        let deployment =
            Self { store, env: TestEnv::new(), caller: Caller::default(), version: Mutex::new(0) };
        deployment.put_routes(&[
            route("read", "/read/", "idempotent", "plan", 2_000),
            route("charge", "/charge/", "non_idempotent", "plan", 2_000),
        ]);
        deployment
    }

    /// Writes a manifest with the routes and a higher version to the store, and returns that version.
    pub fn put_routes(&self, routes: &[Value]) -> u32 {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        self.store.put_json("op", "config", &manifest(*version, routes));
        *version
    }

    /// Starts a worker and registers it as ready.
    pub async fn worker(&self, id: &str) -> WorkerStandIn {
        let worker = WorkerStandIn::start(id).await.expect("the worker starts");
        self.register(&worker, "ready");
        worker
    }

    /// Writes a worker's entry to the store.
    pub fn register(&self, worker: &WorkerStandIn, state: &str) {
        self.store.put_json("servers", &worker.id, &entry(worker.address, "plan", state));
    }

    /// Starts a gateway and waits until it is ready.
    pub async fn gateway(&self, name: &str, extra: &Value) -> GatewayProcess {
        let gateway = self.start_gateway(name, extra);
        self.wait_until("the gateway is ready", || async {
            self.caller.get(gateway.ready, "/ready").await.is_ok_and(|r| r.status == 200)
        })
        .await;
        gateway
    }

    /// Returns the memory that a gateway states to use.
    pub async fn resident_bytes(&self, gateway: &GatewayProcess) -> u64 {
        let page = self.caller.get(gateway.metrics, "/metrics").await.expect("the metrics");
        let text = String::from_utf8(page.body.to_vec()).expect("text");
        let value = text.lines().find_map(|l| l.strip_prefix("arbutusshelf_gateway_resident_bytes "));
        value.expect("the gauge").parse().expect("a number")
    }

    /// Writes the settings file of a gateway and returns its path; `extra` overrides single settings.
    pub fn write_settings(&self, name: &str, extra: &Value) -> String {
        let mut settings = json!({
            "instance": name,
            "data_centre": "ost-a",
            "callers_address": "127.0.0.1:0",
            "ready_address": "127.0.0.1:0",
            "metrics_address": "127.0.0.1:0",
            "peers_address": "127.0.0.1:0",
            "forward_address": "127.0.0.1:0",
            "place": "stadtwerke",
            "store_address": self.store.server.address,
            "grace_s": 6.0,
            "repeat_ratio": 0.2,
            "repeat_window_s": 10.0,
            "repeat_extra": 56.0,
            "probes_per_target_per_s": 60.0,
            "log_lines_per_s": 1_000,
        });
        let extra = extra.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().expect("settings are an object").extend(extra);
        self.env.write(&format!("{name}.json"), &settings.to_string())
    }

    /// Starts a gateway without waiting until it is ready.
    pub fn start_gateway(&self, name: &str, extra: &Value) -> GatewayProcess {
        let path = self.write_settings(name, extra);
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_arbutusshelf"));
        command.args(["gateway", "--settings", &path]).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the binary starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let started = lines
            .by_ref()
            .map_while(Result::ok)
            .find(|line| line.contains("event=started"))
            .expect("the gateway starts");
        let address = |name: &str| {
            let value = started.split_whitespace().find_map(|pair| pair.strip_prefix(name));
            value.expect("the start line has the address").parse().expect("it is an address")
        };
        let (callers, ready) = (address("callers="), address("ready="));
        let (metrics, peers, forwards) = (address("metrics="), address("peers="), address("forwards="));
        let log = Arc::new(Mutex::new(vec![started]));
        let log_sink = Arc::clone(&log);
        std::thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                log_sink.lock().unwrap_or_else(PoisonError::into_inner).push(line);
            }
        });
        GatewayProcess { child, log, callers, ready, metrics, peers, forwards }
    }

    /// Starts one instance that the others follow, and waits until all know how many they are.
    pub async fn start_instances(&self, count: usize) -> Vec<GatewayProcess> {
        let reader = self.gateway("reader", &json!({"peer_seeds": []})).await;
        let seeds = json!({"peer_seeds": [reader.peers]});
        let names = (1..count).map(|number| format!("follower-{number}")).collect::<Vec<_>>();
        let followers = names.iter().map(|name| self.gateway(name, &seeds));
        let mut instances = vec![reader];
        instances.extend(join_all(followers).await);
        for instance in &instances {
            self.wait_until("all instances are counted", || async {
                instance.logged(&["event=instances-counted", &format!("instances={count}")])
            })
            .await;
        }
        instances
    }

    /// Sends a request with a deadline of two seconds.
    pub async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        id: &str,
    ) -> Result<CompleteResponse, IncompleteResponse> {
        self.send_within(to, method, path, id, 2_000).await
    }

    /// Sends a request with a deadline.
    pub async fn send_within(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        id: &str,
        deadline_ms: u64,
    ) -> Result<CompleteResponse, IncompleteResponse> {
        let body = if method == Method::POST { Bytes::from(format!("booking {id}")) } else { Bytes::new() };
        self.send_body(to, method, path, (id, deadline_ms), body).await
    }

    /// Sends a request with an identifier, a deadline and a body.
    pub async fn send_body(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        (id, deadline_ms): (&str, u64),
        body: Bytes,
    ) -> Result<CompleteResponse, IncompleteResponse> {
        self.send_from(&self.caller, to, (method, path), (id, deadline_ms), body).await
    }

    /// Sends a request of a caller with an identifier, a deadline and a body.
    pub async fn send_from(
        &self,
        caller: &Caller,
        to: SocketAddr,
        (method, path): (Method, &str),
        (id, deadline_ms): (&str, u64),
        body: Bytes,
    ) -> Result<CompleteResponse, IncompleteResponse> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{to}{path}"))
            .header("Host", HOST)
            .header("X-Attempt-Id", id)
            .header("X-Request-Deadline-Ms", deadline_ms)
            .body(Full::new(body))
            .expect("a valid request");
        caller.send(request).await
    }

    /// Waits until a gateway has logged a line that contains all `words`. A request's lines may follow its response.
    pub async fn wait_for_log(&self, gateway: &GatewayProcess, words: &[&str]) {
        self.wait_until(&format!("{words:?} is logged"), || async { gateway.logged(words) }).await;
    }

    /// Waits until a condition holds; `what` describes it in the panic message after a timeout.
    pub async fn wait_until<F: Future<Output = bool>>(&self, what: &str, condition: impl Fn() -> F) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !condition().await {
            assert!(Instant::now() < until, "timed out waiting until {what}");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Returns how often workers have executed a request.
pub fn executions(workers: &[WorkerStandIn], id: &str) -> usize {
    let executed = workers.iter().flat_map(WorkerStandIn::executed_requests);
    executed.filter(|r| r.header("x-attempt-id") == Some(id)).count()
}

/// Returns a manifest resource for a route to one service.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u32) -> Value {
    json!({"resourceKind": "routes", "metadata": {"name": name}, "spec": {
        "host": HOST, "prefix": prefix, "kind": kind, "service": service, "priority": 1,
        "timeoutS": f64::from(timeout_ms) / 1_000.0, "objectiveS": 0.4, "maxAttempts": 2,
    }})
}

/// Returns a manifest with the routes, the service `plan`, and the limits for callers.
pub fn manifest(version: u32, routes: &[Value]) -> Value {
    let mut resources = routes.to_vec();
    resources.push(json!({"resourceKind": "services", "metadata": {"name": "plan"}, "spec": {
        "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false,
    }}));
    resources.push(json!({"resourceKind": "limits", "metadata": {}, "spec": {
        "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15,
    }}));
    json!({"version": format!("{version:08x}"), "resources": resources})
}

/// Returns a worker's entry in the store.
pub fn entry(address: SocketAddr, service: &str, state: &str) -> Value {
    json!({
        "address": address,
        "info": {"service": service, "version": "v1", "zone": "ost-a", "slots": 3},
        "status": {"state": state, "seq": 1, "warmupLeftS": 0},
        "born": 1_780_000_000_000_u64,
    })
}
