//! TCP relay in front of a target that cuts, holds or refuses connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::{JoinHandle, JoinSet},
};

use crate::deployment::ANY_PORT;

const BUFFER_BYTES: usize = 16 << 10;

/// Time between two looks at the fault in force while answers are held.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// What a relay does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// New connections are closed at once; open ones are cut when an answer comes.
    Killed,
    /// The connection is cut in place of the answer's first bytes.
    CutBeforeAnswer,
    /// The connection is cut in the middle of the answer's next bytes.
    CutInAnswer,
    /// Answers are held until the fault ends; then the connection is cut.
    Hold,
}

type SharedFault = Arc<Mutex<LinkFault>>;

/// A running relay; stops, with its connections, when dropped.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    fault: SharedFault,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay before `target`.
    ///
    /// # Errors
    ///
    /// The I/O error of binding.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(ANY_PORT).await?;
        let address = listener.local_addr()?;
        let fault = SharedFault::default();
        let task = tokio::spawn(accept(listener, target, Arc::clone(&fault)));
        Ok(Self { address, fault, task })
    }

    /// Changes the fault in force.
    pub fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }
}

fn current(fault: &SharedFault) -> LinkFault {
    *fault.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: TcpListener, target: SocketAddr, fault: SharedFault) {
    let mut connections = JoinSet::new();
    while let Ok((caller, _)) = listener.accept().await {
        if current(&fault) != LinkFault::Killed {
            connections.spawn(connect(caller, target, Arc::clone(&fault)));
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn connect(caller: TcpStream, target: SocketAddr, fault: SharedFault) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let _best_effort = (caller.set_nodelay(true), upstream.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = upstream.into_split();
    // Either end closing ends both directions.
    tokio::select! {
        () = pass(from_caller, to_target) => {}
        () = pass_answers(from_target, to_caller, fault) => {}
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn pass_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: SharedFault) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let passed = match current(&fault) {
            LinkFault::None => read,
            LinkFault::Killed | LinkFault::CutBeforeAnswer => return,
            LinkFault::CutInAnswer => read / 2,
            LinkFault::Hold => {
                while current(&fault) == LinkFault::Hold {
                    tokio::time::sleep(LOOK_PERIOD).await;
                }
                return;
            }
        };
        if to.write_all(&buffer[..passed]).await.is_err() || passed < read {
            return;
        }
    }
}
