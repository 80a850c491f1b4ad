//! Operators' HTTP: health, plan, targets, peers and the report.

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

/// Largest sheet taken, in bytes.
const MAX_SHEET_BYTES: usize = 16 << 20;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time an operator's client may take to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Content type of the metrics page.
const OPEN_METRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answer of `GET /plan/status`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlanStatus {
    /// Version in force here.
    pub version: PlanVersion,
    /// Change that made it.
    pub change_id: Option<String>,
    /// Whether the plan is known to be current.
    pub standing: Freshness,
    /// Bytes sent to peers since the start.
    pub sent: SentBytes,
    /// Other instances as seen from here.
    pub members: Vec<MemberView>,
}

/// Bytes sent to peers, by what they were for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentBytes {
    /// Plans, leaving and draining.
    pub urgent_bytes: u64,
    /// Heartbeats and hellos.
    pub heartbeat_bytes: u64,
    /// Load counts.
    pub loads_bytes: u64,
    /// Frames of load counts, to all peers together.
    #[serde(default)]
    pub loads_frames: u64,
}

/// One line of `GET /targets`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetView {
    /// Target.
    pub target: TargetId,
    /// Why it gets calls or does not: in-service, warming-up, slow, ejected, trial or draining.
    pub state: String,
    /// Requests of this instance in flight there.
    pub in_flight: u32,
    /// Requests of other instances in flight there, as last reported.
    pub in_flight_peers: u32,
    /// Slots that this instance prefers.
    pub preferred_slots: u32,
    /// Requests of all instances that it may hold now.
    pub limit: f64,
    /// Time of recent answers over what their routes take; 1 is normal.
    pub pace: f64,
    /// Whether it is in this instance's data centre.
    pub near: bool,
}

/// An error as told to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ErrorReply {
    /// Kind.
    pub kind: String,
    /// What happened.
    pub message: String,
}

/// Takes connections from operators; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve_connection(Arc::clone(&kernel), stream));
            }
            Err(e) => {
                log::warn!("event=admin-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
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
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
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
    let given = request.headers().get(header::AUTHORIZATION).map(HeaderValue::as_bytes);
    let expected = format!("Bearer {token}");
    if given.is_some_and(|given| equal_in_constant_time(given, expected.as_bytes())) {
        return Ok(());
    }
    Err(Error::new(ErrorKind::Unauthorized, "the request needs the bearer token of the settings"))
}

/// Compares without telling by the time taken where the first difference is.
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
        (&Method::GET, "/targets") => json_reply(&targets(kernel)),
        (&Method::GET, "/members") => json_reply(&kernel.members.view(kernel.clock.now())),
        (&Method::GET, "/connections") => json_reply(&connections::view(kernel)),
        (&Method::GET, "/explain") => {
            json_reply(&explain::explain(kernel, request.uri().query().unwrap_or_default())?)
        }
        (&Method::GET, "/report") => json_reply(&observe::report(kernel).await?),
        (&Method::GET, "/metrics") => {
            observe::count(kernel);
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
        standing: kernel.control.freshness_tracker().freshness(),
        sent: sent_bytes(kernel),
        members: kernel.members.view(kernel.clock.now()),
    }
}

fn targets(kernel: &Kernel) -> Vec<TargetView> {
    let now = kernel.clock.now();
    let view = |t: pool::TargetView| TargetView {
        target: t.id,
        state: t.state.to_string(),
        in_flight: t.own_in_flight,
        in_flight_peers: t.peers_in_flight,
        preferred_slots: t.preferred_slots,
        limit: t.limit,
        pace: t.slowdown,
        near: t.is_near,
    };
    let of_pool = |pool: &pool::Pool| pool.explain(now).into_iter().map(view).collect::<Vec<_>>();
    kernel.pools.all().iter().flat_map(|(_, pool)| pool.inspect(of_pool)).collect()
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
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(OPEN_METRICS));
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
