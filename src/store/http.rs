//! Platform driver for a service that implements the HTTP and JSON contract of [`wire`](super::wire).

use std::{fmt::Write, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::FutureExt;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    ListedInstance, Object, ObjectCondition, Platform, ReadError, Row, RowChange, RowWrite, WriteResult,
    wire::{ConflictReply, TOOK_EFFECT, WireRow, WireWrite, WriteReply, WriteRequest},
};
use crate::{
    error::{Error, ErrorKind},
    kernel::registry::{PLATFORM_DRIVERS, PlatformDriver},
};

/// Largest reply accepted from the platform, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Largest number of idle connections kept open to the platform.
const MAX_IDLE_CONNECTIONS: usize = 8;

#[linkme::distributed_slice(PLATFORM_DRIVERS)]
static HTTP: PlatformDriver = PlatformDriver {
    name: "http",
    open: |config| {
        let address = config.platform_address.ok_or_else(|| {
            Error::new(ErrorKind::Settings, "platform_address: required by the http driver")
        })?;
        Ok(driver(address, config.platform_timeout()))
    },
};

/// HTTP reply of the platform.
struct Reply {
    status: StatusCode,
    etag: Option<String>,
    /// Whether the platform states in a header that a failed write took no effect.
    stated_no_effect: bool,
    body: Bytes,
}

/// HTTP client of the platform's service with its connection pool.
#[derive(Debug)]
struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

/// Reason why no reply was received.
enum NoReply {
    /// No connection could be opened, so nothing was sent.
    Unsent,
    /// The request may have been sent.
    Lost,
}

impl PlatformClient {
    async fn call(&self, request: Request<Full<Bytes>>) -> Result<Reply, NoReply> {
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(reply) => reply,
            Err(_elapsed) => Err(NoReply::Lost),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Reply, NoReply> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|e| if e.is_connect() { NoReply::Unsent } else { NoReply::Lost })?;
        let status = response.status();
        let text = |name| response.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        let etag = text(header::ETAG.as_str());
        let stated_no_effect = text(TOOK_EFFECT).is_some_and(|v| v == "no");
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES);
        let body = body.collect().await.map_err(|_truncated| NoReply::Lost)?.to_bytes();
        Ok(Reply { status, etag, stated_no_effect, body })
    }

    fn request(&self, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.address))
    }

    async fn read(&self, path: &str) -> Result<Option<Reply>, ReadError> {
        let request = self.request(Method::GET, path).body(Full::default());
        let request = request.map_err(|_invalid| ReadError::Unavailable)?;
        let reply = self.call(request).await.map_err(|_no_reply| ReadError::Unavailable)?;
        match reply.status {
            StatusCode::OK => Ok(Some(reply)),
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::TOO_MANY_REQUESTS => Err(ReadError::Throttled),
            _ => Err(ReadError::Unavailable),
        }
    }

    async fn read_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, ReadError> {
        let Some(reply) = self.read(path).await? else {
            return Ok(None);
        };
        serde_json::from_slice(&reply.body).map(Some).map_err(|_malformed| ReadError::Unavailable)
    }

    async fn write_rows(&self, writes: Vec<RowWrite>) -> WriteResult {
        let Some(request) = wire_request(&writes) else {
            return WriteResult::Refused;
        };
        let body = json_body(&request);
        let Ok(request) = self.request(Method::POST, "/table/write").body(Full::new(body)) else {
            return WriteResult::Refused;
        };
        let reply = match self.call(request).await {
            Ok(reply) => reply,
            Err(NoReply::Unsent) => return WriteResult::Refused,
            Err(NoReply::Lost) => return WriteResult::Unknown,
        };
        match reply.status {
            StatusCode::OK => parse_result(&reply.body, |r: WriteReply| WriteResult::TookEffect(r.versions)),
            StatusCode::CONFLICT => {
                parse_result(&reply.body, |r: ConflictReply| WriteResult::Conflict(r.conflicts))
            }
            _ if reply.stated_no_effect => WriteResult::Refused,
            _ => WriteResult::Unknown,
        }
    }

    async fn write_object(&self, name: String, content: Bytes, condition: ObjectCondition) -> WriteResult {
        let path = format!("/objects/{}", percent_encode(&name));
        let mut request = self.request(Method::PUT, &path);
        request = match condition {
            ObjectCondition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            ObjectCondition::Match(etag) => request.header(header::IF_MATCH, etag),
            ObjectCondition::Any => request,
        };
        let Ok(request) = request.body(Full::new(content)) else {
            return WriteResult::Refused;
        };
        match self.call(request).await {
            Ok(reply) if reply.status == StatusCode::OK => WriteResult::TookEffect(Vec::new()),
            Ok(reply) if reply.status == StatusCode::PRECONDITION_FAILED => WriteResult::Conflict(Vec::new()),
            Ok(reply) if reply.stated_no_effect => WriteResult::Refused,
            Ok(_) | Err(NoReply::Lost) => WriteResult::Unknown,
            Err(NoReply::Unsent) => WriteResult::Refused,
        }
    }

    async fn read_object(&self, name: &str) -> Result<Option<Object>, ReadError> {
        let reply = self.read(&format!("/objects/{}", percent_encode(name))).await?;
        Ok(reply.map(|r| Object { content: r.body, etag: r.etag.unwrap_or_default() }))
    }

    async fn register(&self, instance: ListedInstance) -> Result<(), ReadError> {
        let body = json_body(&instance);
        let request = self.request(Method::PUT, "/instances").body(Full::new(body));
        let request = request.map_err(|_invalid| ReadError::Unavailable)?;
        let reply = self.call(request).await.map_err(|_no_reply| ReadError::Unavailable)?;
        if reply.status == StatusCode::OK { Ok(()) } else { Err(ReadError::Unavailable) }
    }
}

fn parse_result<T: DeserializeOwned>(body: &[u8], result: impl FnOnce(T) -> WriteResult) -> WriteResult {
    serde_json::from_slice(body).map_or(WriteResult::Unknown, result)
}

fn json_body(value: &impl Serialize) -> Bytes {
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}

/// Converts writes to their wire form; `None` if a value is not UTF-8, which the contract can't represent.
fn wire_request(writes: &[RowWrite]) -> Option<WriteRequest> {
    let wire = |w: &RowWrite| {
        let value = match &w.change {
            RowChange::Put(value) => Some(String::from_utf8(value.to_vec()).ok()?),
            RowChange::Delete => None,
        };
        Some(WireWrite { key: w.key.clone(), condition: w.condition, value })
    };
    writes.iter().map(wire).collect::<Option<Vec<_>>>().map(|writes| WriteRequest { writes })
}

fn row(wire: WireRow) -> Row {
    Row { key: wire.key, value: Bytes::from(wire.value), version: wire.version }
}

/// Percent-encodes all bytes except unreserved characters and `/`.
pub fn percent_encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~/".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Creates a driver for the platform's service at `address`; `timeout` applies to each request.
pub fn driver(address: SocketAddr, timeout: Duration) -> Platform {
    let client = Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_secs(5))
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .retry_canceled_requests(false)
        .build(HttpConnector::new());
    let client = Arc::new(PlatformClient { client, address, timeout });
    let share = || Arc::clone(&client);
    let (get, scan, write) = (share(), share(), share());
    let (get_object, put_object, list_objects) = (share(), share(), share());
    let (list_instances, register) = (share(), share());
    Platform {
        name: "http",
        get: Arc::new(move |key| {
            let client = Arc::clone(&get);
            async move {
                let path = format!("/table/row?key={}", percent_encode(&key.0));
                client.read_json(&path).await.map(|found| found.map(row))
            }
            .boxed()
        }),
        scan: Arc::new(move |prefix| {
            let client = Arc::clone(&scan);
            async move {
                let path = format!("/table/scan?prefix={}", percent_encode(&prefix));
                let rows = client.read_json::<Vec<WireRow>>(&path).await?;
                Ok(rows.unwrap_or_default().into_iter().map(row).collect())
            }
            .boxed()
        }),
        write: Arc::new(move |writes| {
            let client = Arc::clone(&write);
            async move { client.write_rows(writes).await }.boxed()
        }),
        get_object: Arc::new(move |name| {
            let client = Arc::clone(&get_object);
            async move { client.read_object(&name).await }.boxed()
        }),
        put_object: Arc::new(move |(name, content, condition)| {
            let client = Arc::clone(&put_object);
            async move { client.write_object(name, content, condition).await }.boxed()
        }),
        list_objects: Arc::new(move |prefix| {
            let client = Arc::clone(&list_objects);
            async move {
                let path = format!("/objects?prefix={}", percent_encode(&prefix));
                Ok(client.read_json(&path).await?.unwrap_or_default())
            }
            .boxed()
        }),
        list_instances: Arc::new(move |()| {
            let client = Arc::clone(&list_instances);
            async move { Ok(client.read_json("/instances").await?.unwrap_or_default()) }.boxed()
        }),
        register: Arc::new(move |instance| {
            let client = Arc::clone(&register);
            async move { client.register(instance).await }.boxed()
        }),
    }
}
