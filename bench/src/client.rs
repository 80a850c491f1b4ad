//! A caller's client: one request, one answer, what the caller was told.

use std::{net::SocketAddr, time::Duration};

use arbutusshelf::proxy::headers::{CAUSE, IDEMPOTENCY_KEY, OUTCOME};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};

/// A caller with its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Received {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl Received {
    /// Returns the outcome header, empty when there is none.
    pub fn outcome(&self) -> &str {
        self.headers.get(OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the cause header, empty when there is none.
    pub fn cause(&self) -> &str {
        self.headers.get(CAUSE).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// Why a caller got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no whole answer: {0}")]
pub struct NoAnswer(pub String);

impl Default for Caller {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, timeout: Duration::from_secs(30) }
    }
}

impl Caller {
    /// Sends a request, with an idempotency key if one is given.
    ///
    /// # Errors
    ///
    /// [`NoAnswer`] when the connection broke, the body was cut or the time ran out.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<Received, NoAnswer> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if let Some(key) = key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let request = request.body(Full::new(body)).map_err(|e| NoAnswer(e.to_string()))?;
        self.send(request).await
    }

    /// Sends a request as it is.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<Received, NoAnswer> {
        let exchange = async {
            let response = self.client.request(request).await.map_err(|e| NoAnswer(format!("{e:?}")))?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|e| NoAnswer(e.to_string()))?.to_bytes();
            Ok(Received { status: head.status.as_u16(), headers: head.headers, body })
        };
        tokio::time::timeout(self.timeout, exchange).await.map_err(|e| NoAnswer(e.to_string()))?
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<Received, NoAnswer> {
        self.call(Method::GET, address, path, None, Bytes::new()).await
    }
}
