//! HTTP client for the admin address of an instance, used by the command line.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use super::ErrorReply;
use crate::error::{Error, ErrorKind, Result};

/// Time limit of one request; long, because a submission waits until the plan is in force on all live
/// instances.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Sends a request and decodes the JSON response.
///
/// # Errors
///
/// [`ErrorKind::AdminUnreachable`] if there is no usable response; otherwise the error that the instance
/// reports.
pub async fn send_request<T: DeserializeOwned>(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
    body: Bytes,
) -> Result<T> {
    let unreachable = |e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::AdminUnreachable, format!("instance at {address}: {e}"))
    };
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(body)).map_err(|e| unreachable(&e))?;
    let client = Client::builder(TokioExecutor::new()).build::<_, Full<Bytes>>(HttpConnector::new());
    let response = tokio::time::timeout(REQUEST_TIMEOUT, client.request(request));
    let response =
        response.await.map_err(|e| unreachable(&e))?.map_err(|e| unreachable(&describe_with_source(&e)))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|e| unreachable(&e))?.to_bytes();
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|e| unreachable(&e));
    }
    match serde_json::from_slice::<ErrorReply>(&body) {
        Ok(reply) => Err(Error::new(parse_error_kind(&reply.kind), reply.message)),
        Err(_) => Err(unreachable(&format!("status {status}"))),
    }
}

fn describe_with_source(e: &dyn std::error::Error) -> String {
    e.source().map_or_else(|| e.to_string(), |source| format!("{e}: {source}"))
}

/// Error kinds that the admin address reports.
const REPORTED_KINDS: [ErrorKind; 7] = [
    ErrorKind::Sheet,
    ErrorKind::BadRequest,
    ErrorKind::PlanConflict,
    ErrorKind::PlanUnknown,
    ErrorKind::PlanUnconfirmed,
    ErrorKind::PlatformUnreachable,
    ErrorKind::Unauthorized,
];

fn parse_error_kind(text: &str) -> ErrorKind {
    REPORTED_KINDS.into_iter().find(|k| k.to_string() == text).unwrap_or(ErrorKind::AdminUnreachable)
}
