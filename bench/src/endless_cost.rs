//! Measures what targets that send bytes without end cost the callers of other targets: latency through one gateway
//! process, with and without requests to such targets, and the memory of the process.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::Request;
use serde_json::{Value, json};

use crate::{
    client::Caller,
    endless::{EndlessPart, EndlessTarget},
    rows::RowStoreStandIn,
    soak::instance::{Launch, Process},
    worker::WorkerStandIn,
};

/// Host of all routes.
const HOST: &str = "hall.example";

/// Number of targets that work.
const SOUND_TARGETS: usize = 4;

/// Time that they take for a request.
const REQUEST_TIME: Duration = Duration::from_millis(10);

/// Number of callers whose latency is measured, each with one request at a time.
const CALLERS: usize = 4;

/// Number of callers of the target that sends without end.
const ENDLESS_CALLERS: usize = 4;

/// Deadline of the requests to that target, in milliseconds.
const ENDLESS_DEADLINE_MS: u64 = 300;

/// Time within which the gateway must serve after its start.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Measure what answers without end cost the callers of other targets.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "endless-cost")]
pub struct Args {
    /// measured requests for each kind of answer without end, and before
    #[argh(option, default = "2000")]
    requests: usize,
    /// port of the gateway; the three ports after it are used, too
    #[argh(option, default = "21300")]
    port: u16,
}

/// Runs the measurement and prints a line for each kind of answer.
///
/// # Errors
///
/// If a part can't be started, or the gateway doesn't serve.
pub async fn run(args: &Args) -> Result<()> {
    let io = |e: std::io::Error| Error::new(ErrorKind::File, e.to_string());
    let store = RowStoreStandIn::start().await.map_err(io)?;
    let mut workers = Vec::new();
    for number in 0..SOUND_TARGETS {
        let worker = WorkerStandIn::start(&format!("sound-{number}")).await.map_err(io)?;
        worker.set_service_time(REQUEST_TIME);
        store.put_json("servers", &worker.id, &entry(worker.address, "sound"));
        workers.push(worker);
    }
    store.put_json("op", "config", &manifest());
    let directory = std::env::temp_dir().join(format!("arbutusshelf-endless-{}", std::process::id()));
    std::fs::create_dir_all(&directory).map_err(io)?;
    let callers = SocketAddr::from(([127, 0, 0, 1], args.port));
    let process = start(args.port, store.server.address, directory.clone())?;
    wait_until_served(callers).await?;
    println!("{:<18} {:>9} {:>9} {:>9} {:>9}", "answers", "p50 ms", "p99 ms", "not 200", "memory MB");
    print_line("none", &measure(callers, args.requests).await, &process);
    for part in EndlessPart::ALL {
        let target = EndlessTarget::start("endless-1", part).await.map_err(io)?;
        store.put_json("servers", &target.id, &entry(target.address, "endless"));
        let is_over = Arc::new(AtomicBool::new(false));
        let load = (0..ENDLESS_CALLERS).map(|_| tokio::spawn(call_endless(callers, Arc::clone(&is_over))));
        let load = load.collect::<Vec<_>>();
        print_line(&format!("{part:?}"), &measure(callers, args.requests).await, &process);
        is_over.store(true, Ordering::Release);
        join_all(load).await;
        store.remove("servers", &target.id);
    }
    drop(process);
    std::fs::remove_dir_all(&directory).map_err(io)
}

/// Latencies of the measured requests, and the number of those that were not served.
struct Measured {
    latencies: Vec<Duration>,
    failed: usize,
}

fn print_line(name: &str, measured: &Measured, process: &Process) {
    let quantile = |share: f64| {
        let index = (measured.latencies.len() as f64 * share) as usize;
        measured.latencies.get(index).map_or(f64::NAN, |latency| latency.as_secs_f64() * 1_000.0)
    };
    let memory_mb = process.resident_bytes().unwrap_or(0) as f64 / 1e6;
    let (p50, p99, failed) = (quantile(0.5), quantile(0.99), measured.failed);
    println!("{name:<18} {p50:>9.2} {p99:>9.2} {failed:>9} {memory_mb:>9.1}");
}

async fn measure(callers: SocketAddr, requests: usize) -> Measured {
    let all = join_all((0..CALLERS).map(|number| async move {
        let caller = Caller::default();
        let mut latencies = Vec::new();
        let mut failed = 0;
        for request in 0..requests / CALLERS {
            let sent_at = Instant::now();
            match caller.send(request_to(callers, "/sound/x", &format!("m{number}-{request}"), 2_000)).await {
                Ok(response) if response.status == 200 => latencies.push(sent_at.elapsed()),
                Ok(_) | Err(_) => failed += 1,
            }
        }
        (latencies, failed)
    }));
    let all = all.await;
    let failed = all.iter().map(|(_, failed)| failed).sum();
    let mut latencies = all.into_iter().flat_map(|(latencies, _)| latencies).collect::<Vec<_>>();
    latencies.sort_unstable();
    Measured { latencies, failed }
}

/// Sends requests to the target that sends without end until `is_over`.
async fn call_endless(callers: SocketAddr, is_over: Arc<AtomicBool>) {
    let caller = Caller::default();
    while !is_over.load(Ordering::Acquire) {
        let request = request_to(callers, "/endless/x", "e", ENDLESS_DEADLINE_MS);
        // Such requests fail one way or another.
        let _failed = caller.send(request).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn request_to(callers: SocketAddr, path: &str, id: &str, deadline_ms: u64) -> Request<Full<Bytes>> {
    let request = Request::get(format!("http://{callers}{path}"))
        .header("Host", HOST)
        .header("X-Attempt-Id", id)
        .header("X-Request-Deadline-Ms", deadline_ms);
    request.body(Full::default()).unwrap_or_default()
}

async fn wait_until_served(callers: SocketAddr) -> Result<()> {
    let caller = Caller::default();
    let until = Instant::now() + START_TIMEOUT;
    while !caller.send(request_to(callers, "/sound/x", "s", 2_000)).await.is_ok_and(|r| r.status == 200) {
        if Instant::now() > until {
            return Err(Error::new(ErrorKind::AddressUnavailable, "the gateway did not serve in time"));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Ok(())
}

fn start(port: u16, store: SocketAddr, directory: PathBuf) -> Result<Process> {
    let binary = std::env::current_exe().map_err(|e| Error::new(ErrorKind::File, e.to_string()))?;
    let address = |offset: u16| format!("127.0.0.1:{}", port + offset);
    let settings = json!({
        "instance": "gateway-0",
        "data_centre": "ost-a",
        "callers_address": address(0),
        "ready_address": address(1),
        "metrics_address": address(2),
        "peers_address": address(3),
        "place": "stadtwerke",
        "store_address": store,
        "grace_s": 6.0,
        "repeat_ratio": 0.2,
        "repeat_window_s": 10.0,
        "repeat_extra": 56.0,
        "probes_per_target_per_s": 60.0,
    });
    let binary = binary.with_file_name("arbutusshelf");
    Process::start(&Launch { binaries: vec![binary], settings, directory, name: "gateway-0".to_owned() })
}

fn entry(address: SocketAddr, service: &str) -> Value {
    json!({
        "address": address,
        "info": {"service": service, "version": "v1", "zone": "ost-a", "slots": 3},
        "status": {"state": "ready", "seq": 1, "warmupLeftS": 0},
        "born": 1_780_000_000_000_u64,
    })
}

fn manifest() -> Value {
    let mut resources = Vec::new();
    for service in ["sound", "endless"] {
        resources.push(json!({"resourceKind": "routes", "metadata": {"name": service}, "spec": {
            "host": HOST, "prefix": format!("/{service}/"), "kind": "idempotent", "service": service,
            "priority": 1, "timeoutS": 2.0, "objectiveS": 0.4, "maxAttempts": 2,
        }}));
        resources.push(json!({"resourceKind": "services", "metadata": {"name": service}, "spec": {
            "healthPath": "/healthz", "maxConns": 220, "protocol": "h1", "tls": false,
        }}));
    }
    resources.push(json!({"resourceKind": "limits", "metadata": {}, "spec": {
        "maxHeaderBytes": 16_384, "maxBodyBytes": 67_108_864, "headerTimeoutS": 3, "idleTimeoutS": 15,
    }}));
    json!({"version": "00000001", "resources": resources})
}
