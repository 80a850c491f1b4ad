//! A target that answers with bytes as given, for answers that no HTTP library would send.

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

/// What a scripted target does with one request.
#[derive(Debug, Clone)]
pub struct ScriptedAnswer {
    /// Bytes it writes.
    pub bytes: Bytes,
    /// Whether it closes the connection after that.
    pub close: bool,
}

/// A target that follows a script; request number 0 is the first on any connection.
#[derive(Debug)]
pub struct ScriptedTarget {
    /// Where it listens.
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
    /// Starts a target.
    ///
    /// # Errors
    ///
    /// The I/O error of binding.
    pub async fn start(
        script: impl Fn(usize) -> ScriptedAnswer + Send + Sync + 'static,
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

    /// Returns the number of requests that it read.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::Acquire)
    }
}

/// Reads heads of requests without bodies and writes what the script says.
async fn serve(mut stream: TcpStream, script: &impl Fn(usize) -> ScriptedAnswer, requests: &AtomicUsize) {
    let mut received = Vec::new();
    loop {
        let Ok(read) = stream.read_buf(&mut received).await else { return };
        if read == 0 {
            return;
        }
        while let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") {
            received.drain(..end + 4);
            let answer = script(requests.fetch_add(1, Ordering::AcqRel));
            if stream.write_all(&answer.bytes).await.is_err() || answer.close {
                return;
            }
        }
    }
}
