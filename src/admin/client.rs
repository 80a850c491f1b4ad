//! Client of the admin address, for the command line.

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

/// Time for one admin request, which may wait for a plan to be in force.
const TIMEOUT: Duration = Duration::from_secs(90);

/// Sends one request and reads the JSON answer.
///
/// # Errors
///
/// [`ErrorKind::AdminUnreachable`], or the error that the instance answered with.
pub async fn send_request<T: DeserializeOwned>(
    method: Method,
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
    body: Bytes,
) -> Result<T> {
    let failed = |e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::AdminUnreachable, format!("instance at {address}: {e}"))
    };
    let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request.body(Full::new(body)).map_err(|e| failed(&e))?;
    let client = Client::builder(TokioExecutor::new()).build::<_, Full<Bytes>>(HttpConnector::new());
    let response = tokio::time::timeout(TIMEOUT, client.request(request));
    let response = response.await.map_err(|e| failed(&e))?.map_err(|e| failed(&with_source(&e)))?;
    let status = response.status();
    let body = response.into_body().collect().await.map_err(|e| failed(&e))?.to_bytes();
    if status.is_success() {
        return serde_json::from_slice(&body).map_err(|e| failed(&e));
    }
    match serde_json::from_slice::<ErrorReply>(&body) {
        Ok(reply) => Err(Error::new(kind_of(&reply.kind), reply.message)),
        Err(_) => Err(failed(&format!("status {status}"))),
    }
}

fn with_source(e: &dyn std::error::Error) -> String {
    e.source().map_or_else(|| e.to_string(), |source| format!("{e}: {source}"))
}

/// Kinds that the admin address answers with.
const KINDS: [ErrorKind; 7] = [
    ErrorKind::Sheet,
    ErrorKind::BadRequest,
    ErrorKind::PlanConflict,
    ErrorKind::PlanUnknown,
    ErrorKind::PlanUnconfirmed,
    ErrorKind::PlatformUnreachable,
    ErrorKind::Unauthorized,
];

fn kind_of(text: &str) -> ErrorKind {
    KINDS.into_iter().find(|k| k.to_string() == text).unwrap_or(ErrorKind::AdminUnreachable)
}
