//! Tells the entry whether callers should be sent here.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

use super::Gateway;

/// Takes connections; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _address)) => {
                tokio::spawn(serve(Arc::clone(&gateway), stream));
            }
            Err(e) => log::warn!("event=ready-accept-failed error={:?}", e.to_string()),
        }
    }
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream) {
    let service = service_fn(move |_request: Request<Incoming>| {
        let response = answer(&gateway);
        async move { Ok::<_, Infallible>(response) }
    });
    if let Err(e) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
        log::debug!("event=ready-connection-ended error={:?}", e.to_string());
    }
}

fn answer(gateway: &Gateway) -> Response<Full<Bytes>> {
    let (status, text) = match gateway.ready() {
        Ok(()) => (StatusCode::OK, "ready\n".to_owned()),
        Err(kind) => (StatusCode::SERVICE_UNAVAILABLE, format!("{kind}\n")),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
