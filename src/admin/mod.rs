//! HTTP interface for operators at the admin address: health, plan, targets, peers, metrics and the burn
//! report.

pub mod client;
pub mod connections;
pub mod explain;
pub mod submit;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{self, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};

use crate::{
    decide::pool,
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    membership::MemberView,
    observe::{self, snapshot},
    peer::budget::TrafficClass,
    plan::freshness::Freshness,
    units::{PlanVersion, TargetId},
};

/// Maximum size of a submitted plan sheet, in bytes.
const MAX_SHEET_BYTES: usize = 16 << 20;

/// Time until the next attempt to accept a connection after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit for a client to send a request head.
const HEADER_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Content type of the metrics page.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Reply to `GET /plan/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanStatus {
    /// Version of the plan in force at this instance.
    pub version: PlanVersion,
    /// Identifier of the change that created this version; none before the first plan.
    pub change_id: Option<String>,
    /// Whether the plan is confirmed to be the current one.
    #[serde(rename = "standing")]
    pub freshness: Freshness,
    /// Bytes sent to peers since the start of this run.
    pub sent: SentBytes,
    /// Other instances and their state as known to this instance.
    pub members: Vec<MemberView>,
}

/// Bytes sent to peers, by traffic class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentBytes {
    /// Plans and notices that an instance leaves or a target drains.
    pub urgent_bytes: u64,
    /// Heartbeats and hello frames of new connections.
    pub heartbeat_bytes: u64,
    /// Counts of requests in flight at targets.
    pub loads_bytes: u64,
    /// Number of frames with such counts, to all peers together.
    #[serde(default)]
    pub loads_frames: u64,
}

/// One target in the reply to `GET /targets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetView {
    /// Target identifier.
    pub target: TargetId,
    /// State that decides whether it is sent calls: in-service, warming-up, slow, ejected, trial or draining.
    pub state: String,
    /// Requests of this instance in flight at the target.
    pub in_flight: u32,
    /// Requests of other instances in flight at the target, as last reported by them.
    pub in_flight_peers: u32,
    /// Number of the target's slots that this instance prefers.
    pub preferred_slots: u32,
    /// Maximum number of requests of all instances that the target may hold now.
    pub limit: f64,
    /// Duration of its recent responses relative to the medians of their routes; 1.0 is normal.
    #[serde(rename = "pace")]
    pub slowdown: f64,
    /// Whether the target is in this instance's data centre.
    #[serde(rename = "near")]
    pub is_near: bool,
}

/// Error reply of the admin address.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Name of the error kind, such as `plan-conflict`.
    pub kind: String,
    /// Description for the operator.
    pub message: String,
}

/// Accepts and serves connections at the admin address; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve_connection(Arc::clone(&kernel), stream));
            }
            Err(e) => {
                log::warn!("event=admin-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(kernel: Arc<Kernel>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let kernel = Arc::clone(&kernel);
        async move { Ok::<_, std::convert::Infallible>(handle(&kernel, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEADER_READ_TIMEOUT);
    if let Err(e) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=admin-connection-ended error={:?}", e.to_string());
    }
}

async fn handle(kernel: &Kernel, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let result = match authorize(kernel, &request) {
        Ok(()) => route(kernel, request).await,
        Err(e) => Err(e),
    };
    result.unwrap_or_else(|e| error_reply(&e))
}

fn authorize(kernel: &Kernel, request: &Request<Incoming>) -> Result<()> {
    let Some(token) = &kernel.config.admin_token else {
        return Ok(());
    };
    let authorization = request.headers().get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
    let expected = format!("Bearer {token}");
    if authorization.is_some_and(|authorization| equal_in_constant_time(authorization, expected.as_bytes())) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Unauthorized, "the request needs the bearer token of the settings"))
}

/// Compares two values of equal length in constant time, so that the duration does not reveal how much of a
/// guessed token is correct.
fn equal_in_constant_time(a: &[u8], b: &[u8]) -> bool {
    a.len() == b.len() && a.iter().zip(b).fold(0, |diff, (x, y)| diff | (x ^ y)) == 0
}

async fn route(kernel: &Kernel, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/health") => Ok(text_reply(StatusCode::OK, "live\n".to_owned())),
        (&Method::GET, "/ready") => Ok(ready_reply(kernel)),
        (&Method::GET, "/plan") => json_reply(&*kernel.plan.current()),
        (&Method::GET, "/plan/status") => json_reply(&plan_status(kernel)),
        (&Method::GET, "/targets") => json_reply(&list_targets(kernel)),
        (&Method::GET, "/members") => json_reply(&kernel.members.view(kernel.clock.now())),
        (&Method::GET, "/connections") => json_reply(&connections::list_connections(kernel)),
        (&Method::GET, "/explain") => {
            json_reply(&explain::explain(kernel, request.uri().query().unwrap_or_default())?)
        }
        (&Method::GET, "/report") => json_reply(&observe::build_report(kernel).await?),
        (&Method::GET, "/metrics") => {
            observe::count_completed_calls(kernel);
            Ok(metrics_reply(kernel.observer.metrics.encode(&snapshot::take(kernel))?))
        }
        (&Method::POST, "/plan/submit") => submit_plan(kernel, request).await,
        (&Method::POST, "/leave") => {
            kernel.leave();
            Ok(text_reply(StatusCode::ACCEPTED, "leaving\n".to_owned()))
        }
        _ => Ok(text_reply(StatusCode::NOT_FOUND, format!("no such page: {path}\n"))),
    }
}

fn sent_bytes(kernel: &Kernel) -> SentBytes {
    let budget = kernel.control.budget();
    SentBytes {
        urgent_bytes: budget.bytes_sent(TrafficClass::Urgent),
        heartbeat_bytes: budget.bytes_sent(TrafficClass::Heartbeat),
        loads_bytes: budget.bytes_sent(TrafficClass::Loads),
        loads_frames: budget.send_count(TrafficClass::Loads),
    }
}

fn plan_status(kernel: &Kernel) -> PlanStatus {
    let plan = kernel.plan.current();
    PlanStatus {
        version: plan.version,
        change_id: plan.change_id.as_ref().map(ToString::to_string),
        freshness: kernel.control.freshness_tracker().freshness(),
        sent: sent_bytes(kernel),
        members: kernel.members.view(kernel.clock.now()),
    }
}

fn list_targets(kernel: &Kernel) -> Vec<TargetView> {
    let now = kernel.clock.now();
    let view = |target: pool::TargetView| TargetView {
        target: target.id,
        state: target.state.to_string(),
        in_flight: target.own_in_flight,
        in_flight_peers: target.peers_in_flight,
        preferred_slots: target.preferred_slots,
        limit: target.limit,
        slowdown: target.slowdown,
        is_near: target.is_near,
    };
    let pool_targets = |pool: &pool::Pool| pool.explain(now).into_iter().map(view).collect::<Vec<_>>();
    kernel.pools.all().iter().flat_map(|(_, pool)| pool.inspect(pool_targets)).collect()
}

async fn submit_plan(kernel: &Kernel, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
    let query = request.uri().query().unwrap_or_default().to_owned();
    let parameter = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    };
    let change_id = parameter("change-id")
        .ok_or_else(|| Error::new(ErrorKind::BadRequest, "change-id: required in the query"))?
        .parse()
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("change-id: {e}")))?;
    let base = parameter("base").map(str::parse).transpose();
    let base = base.map_err(|e| Error::new(ErrorKind::BadRequest, format!("base: {e}")))?;
    let sheet = Limited::new(request.into_body(), MAX_SHEET_BYTES)
        .collect()
        .await
        .map_err(|e| Error::new(ErrorKind::BadRequest, format!("sheet: {e}")))?
        .to_bytes();
    json_reply(&submit::submit(kernel, &sheet, change_id, base).await?)
}

fn ready_reply(kernel: &Kernel) -> Response<Full<Bytes>> {
    match kernel.check_readiness() {
        Ok(()) => text_reply(StatusCode::OK, "ready\n".to_owned()),
        Err(kind) => text_reply(StatusCode::SERVICE_UNAVAILABLE, format!("{kind}\n")),
    }
}

fn text_reply(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

fn metrics_reply(page: String) -> Response<Full<Bytes>> {
    let mut response = text_reply(StatusCode::OK, page);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(OPENMETRICS_CONTENT_TYPE));
    response
}

fn json_reply(value: &impl Serialize) -> Result<Response<Full<Bytes>>> {
    let json = serde_json::to_vec(value).map_err(|e| Error::new(ErrorKind::File, format!("reply: {e}")))?;
    let mut response = Response::new(Full::new(Bytes::from(json)));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

fn error_reply(e: &Error) -> Response<Full<Bytes>> {
    let reply = ErrorReply { kind: e.kind.to_string(), message: e.message.clone() };
    let text = serde_json::to_string(&reply).unwrap_or_default();
    let status = StatusCode::from_u16(e.kind.answer().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = text_reply(status, text);
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
