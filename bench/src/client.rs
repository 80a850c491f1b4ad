//! HTTP client that plays a caller: sends requests and returns the responses with the load balancer's outcome
//! headers.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

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

/// HTTP client of a caller, with its pool of connections; clones share the pool.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Time after which a response that is not complete counts as an error.
    timeout: Duration,
}

/// Response whose whole body was received.
#[derive(Debug, Clone)]
pub struct CompleteResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// Returns the value of the outcome header, or an empty text if there is none.
    pub fn outcome(&self) -> &str {
        self.headers.get(OUTCOME).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }

    /// Returns the value of the cause header, or an empty text if there is none.
    pub fn cause(&self) -> &str {
        self.headers.get(CAUSE).and_then(|v| v.to_str().ok()).unwrap_or_default()
    }
}

/// Response whose head was received and whose body is still to be read.
#[derive(Debug)]
pub struct StreamingResponse {
    /// Head of the response, with the unread body.
    pub response: Response<Incoming>,
}

impl StreamingResponse {
    /// Reads the body to its end, without a time-out.
    ///
    /// # Errors
    ///
    /// [`IncompleteResponse`] if the connection was lost within the body.
    pub async fn read_to_end(self) -> Result<CompleteResponse, IncompleteResponse> {
        let (head, body) = self.response.into_parts();
        let body = body.collect().await.map_err(|e| IncompleteResponse(e.to_string()))?.to_bytes();
        Ok(CompleteResponse { status: head.status.as_u16(), headers: head.headers, body })
    }
}

/// Reason why a caller got no complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no complete response: {0}")]
pub struct IncompleteResponse(pub String);

impl Default for Caller {
    fn default() -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, timeout: Duration::from_secs(30) }
    }
}

impl Caller {
    /// Creates a caller that uses HTTP/2 without TLS.
    pub fn http2() -> Self {
        let client = Client::builder(TokioExecutor::new()).http2_only(true).build(HttpConnector::new());
        Self { client, timeout: Duration::from_secs(30) }
    }

    /// Creates a caller that connects from an address.
    pub fn from_address(address: IpAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_local_address(Some(address));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            timeout: Duration::from_secs(30),
        }
    }

    /// Sends a request unchanged and reads the complete response.
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

    /// Builds a request, with an idempotency key if one is given, sends it and reads the complete response.
    ///
    /// # Errors
    ///
    /// [`IncompleteResponse`] if the connection was lost, the body was truncated or 30 s passed.
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

    /// Sends a `GET` request and returns as soon as the response head was received; has no time-out.
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

    /// Sends a `GET` request without a key and reads the complete response.
    ///
    /// # Errors
    ///
    /// As [`Caller::call`].
    pub async fn get(&self, address: SocketAddr, path: &str) -> Result<CompleteResponse, IncompleteResponse> {
        self.call(Method::GET, address, path, None, Bytes::new()).await
    }
}

/// Opens a connection, writes `bytes` as they are and returns everything received until the other end closes
/// it.
///
/// Stops reading and closes the connection after `limit`.
///
/// # Errors
///
/// The I/O error of connecting or writing; an error while reading only ends the reading.
pub async fn exchange_raw(address: SocketAddr, bytes: &[u8], limit: Duration) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    let mut received = Vec::new();
    // A reset after the response ends the reading in the same way as a clean close.
    let _ended = tokio::time::timeout(limit, stream.read_to_end(&mut received)).await;
    Ok(String::from_utf8_lossy(&received).into_owned())
}
