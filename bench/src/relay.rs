//! TCP relay that delays, silences, resets, cuts, holds or refuses the connections through it.

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
    Down,
    /// The connection is cut in place of the answer's first bytes.
    CloseBeforeResponse,
    /// The connection is cut in the middle of the answer's next bytes.
    CloseMidResponse,
    /// Answers are held until the fault ends; then the connection is cut.
    HoldResponses,
    /// All bytes come later.
    Delayed,
    /// Bytes that come now are lost, and the connections they were of stay silent.
    Blackhole,
    /// The same, only on the way to the target.
    BlackholeToTarget,
    /// The same, only on the way to the caller.
    BlackholeToCaller,
    /// New connections and those that carry anything are reset.
    Reset,
}

/// Delay of one read under [`LinkFault::Delayed`].
const DELAY: Duration = Duration::from_millis(60);

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
        Self::start_at(ANY_PORT, target).await
    }

    /// Starts a relay at an address before `target`.
    ///
    /// # Errors
    ///
    /// The I/O error of binding.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
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
        match current(&fault) {
            LinkFault::Down => {}
            LinkFault::Reset => {
                // Dropped with a reset, or closed where the system refuses the option.
                let _best_effort = caller.set_zero_linger();
            }
            _ => {
                connections.spawn(connect(caller, target, Arc::clone(&fault)));
            }
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
        () = pass(from_caller, to_target, Arc::clone(&fault)) => {}
        () = pass_answers(from_target, to_caller, fault) => {}
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: SharedFault) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silent = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        match current(&fault) {
            LinkFault::Blackhole | LinkFault::BlackholeToTarget => is_silent = true,
            LinkFault::Delayed => tokio::time::sleep(DELAY).await,
            LinkFault::Reset => return reset(&from, &to),
            _ => {}
        }
        if !is_silent && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn pass_answers(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: SharedFault) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_silent = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let passed = match current(&fault) {
            LinkFault::None | LinkFault::BlackholeToTarget => read,
            LinkFault::Down | LinkFault::CloseBeforeResponse => return,
            LinkFault::CloseMidResponse => read / 2,
            LinkFault::HoldResponses => {
                while current(&fault) == LinkFault::HoldResponses {
                    tokio::time::sleep(LOOK_PERIOD).await;
                }
                return;
            }
            LinkFault::Delayed => {
                tokio::time::sleep(DELAY).await;
                read
            }
            LinkFault::Blackhole | LinkFault::BlackholeToCaller => {
                is_silent = true;
                read
            }
            LinkFault::Reset => return reset(&from, &to),
        };
        if is_silent {
            continue;
        }
        if to.write_all(&buffer[..passed]).await.is_err() || passed < read {
            return;
        }
    }
}

/// Lets the end of both connections be a reset.
fn reset(from: &OwnedReadHalf, to: &OwnedWriteHalf) {
    // Without the option they end with a clean close.
    let _best_effort = (from.as_ref().set_zero_linger(), to.as_ref().set_zero_linger());
}
