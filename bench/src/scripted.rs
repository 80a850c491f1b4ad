//! A target that answers with given bytes, for responses that an HTTP library would not send.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

use crate::deployment::ANY_PORT;

/// Response of a scripted target to one request.
#[derive(Debug, Clone)]
pub struct ScriptedResponse {
    /// Bytes that the target writes.
    pub bytes: Bytes,
    /// Whether the target closes the connection after writing them.
    pub close: bool,
}

/// A target whose responses come from a function; stopped when dropped.
#[derive(Debug)]
pub struct ScriptedTarget {
    /// Address on which the target listens.
    pub address: SocketAddr,
    requests: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Drop for ScriptedTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedTarget {
    /// Starts a target. `script` returns the response to request number 0, 1 and so on, counted over all
    /// connections.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the listener.
    pub async fn start(
        script: impl Fn(usize) -> ScriptedResponse + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let requests = Arc::new(AtomicUsize::new(0));
        let (script, counted) = (Arc::new(script), Arc::clone(&requests));
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (script, counted) = (Arc::clone(&script), Arc::clone(&counted));
                tokio::spawn(async move { serve(stream, script.as_ref(), &counted).await });
            }
        });
        Ok(Self { address, requests, task })
    }

    /// Returns the number of requests that the target has read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

/// Reads requests without bodies from a connection and writes the scripted responses.
async fn serve(mut stream: TcpStream, script: &impl Fn(usize) -> ScriptedResponse, requests: &AtomicUsize) {
    let mut received = Vec::new();
    loop {
        let Ok(read) = stream.read_buf(&mut received).await else { return };
        if read == 0 {
            return;
        }
        while let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            received.drain(..end + 4);
            let response = script(requests.fetch_add(1, Ordering::AcqRel));
            if stream.write_all(&response.bytes).await.is_err() || response.close {
                return;
            }
        }
    }
}
