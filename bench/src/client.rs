//! A caller's client: one request, one answer, what the caller was told.

use std::{net::SocketAddr, time::Duration};

use arbutusshelf::proxy::headers::{CAUSE, IDEMPOTENCY_KEY, OUTCOME};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Method, Request, Response, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// A caller with its connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// What a caller got.
#[derive(Debug, Clone)]
pub struct CompleteResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// Returns the outcome header, empty when there is none.
    pub fn outcome(&self) -> &str {
        self.headers.get(OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the cause header, empty when there is none.
    pub fn cause(&self) -> &str {
        self.headers.get(CAUSE).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct StreamingResponse {
    /// The answer.
    pub response: Response<Incoming>,
}

impl StreamingResponse {
    /// Reads the rest.
    ///
    /// # Errors
    ///
    /// [`IncompleteResponse`] when the body was cut.
    pub async fn read_to_end(self) -> Result<CompleteResponse, IncompleteResponse> {
        let (head, body) = self.response.into_parts();
        let body = body.collect().await.map_err(|e| IncompleteResponse(e.to_string()))?.to_bytes();
        Ok(CompleteResponse { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Why a caller got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no whole answer: {0}")]
pub struct IncompleteResponse(pub String);

impl Default for Caller {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, timeout: Duration::from_secs(30) }
    }
}

impl Caller {
    /// Creates a caller that speaks HTTP/2.
    pub fn http2() -> Self {
        let client = Client::builder(TokioExecutor::new()).http2_only(true).build(HttpConnector::new());
        Self { client, timeout: Duration::from_secs(30) }
    }

    /// Sends a request as it is.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<CompleteResponse, IncompleteResponse> {
        let exchange = async {
            let response =
                self.client.request(request).await.map_err(|e| IncompleteResponse(format!("{e:?}")))?;
            StreamingResponse { response }.read_to_end().await
        };
        tokio::time::timeout(self.timeout, exchange).await.map_err(|e| IncompleteResponse(e.to_string()))?
    }

    /// Sends a request, with an idempotency key if one is given.
    ///
    /// # Errors
    ///
    /// [`IncompleteResponse`] when the connection broke, the body was cut or the time ran out.
    pub async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<CompleteResponse, IncompleteResponse> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        if let Some(key) = key {
            request = request.header(IDEMPOTENCY_KEY, key);
        }
        let request = request.body(Full::new(body)).map_err(|e| IncompleteResponse(e.to_string()))?;
        self.send(request).await
    }

    /// Gets a path and returns once the answer's head is here.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn start_get(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<StreamingResponse, IncompleteResponse> {
        let uri =
            format!("http://{address}{path}").parse().map_err(|e| IncompleteResponse(format!("{e}")))?;
        let response = self.client.get(uri).await.map_err(|e| IncompleteResponse(format!("{e:?}")))?;
        Ok(StreamingResponse { response })
    }

    /// Gets a path.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<CompleteResponse, IncompleteResponse> {
        self.call(Method::GET, address, path, None, Bytes::new()).await
    }
}

/// Opens a connection, writes bytes, and returns all that comes back until the other end closes.
///
/// A connection that stays open for `limit` is closed from here.
///
/// # Errors
///
/// The I/O error of connecting or writing.
pub async fn exchange_raw(address: SocketAddr, bytes: &[u8], limit: Duration) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut received = Vec::new();
    // A reset after the answer ends the reading like a clean close does.
    let _ended = tokio::time::timeout(limit, stream.read_to_end(&mut received)).await;
    Ok(String::from_utf8_lossy(&received).into_owned())
}
