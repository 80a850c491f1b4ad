//! TCP proxy that injects network faults into the connections through it: delay, loss, reset, close and
//! refusal.

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
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

/// Time between two checks whether [`LinkFault::HoldResponses`] has ended.
const HOLD_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Fault that a relay injects into its connections. A response is any data from the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// None; data is forwarded unchanged.
    #[default]
    None,
    /// New connections are closed at once, open ones when response data arrives.
    Down,
    /// The connection is closed when response data arrives, before any of it is forwarded.
    CloseBeforeResponse,
    /// The connection is closed after half of the next chunk of response data was forwarded.
    CloseMidResponse,
    /// Response data is held back until the fault ends; then the connection is closed without it.
    HoldResponses,
    /// Each chunk of data, in both directions, is forwarded after 60 ms.
    Delayed,
    /// Response data is forwarded at 10 Mbit/s.
    Limited,
    /// Data is dropped in both directions. A connection that lost data forwards nothing more in that
    /// direction, even after the fault ends.
    Blackhole,
    /// As [`LinkFault::Blackhole`], only for data to the target.
    BlackholeToTarget,
    /// As [`LinkFault::Blackhole`], only for data to the caller.
    BlackholeToCaller,
    /// New connections are reset at once, open ones when data arrives on them.
    Reset,
    /// New connections are reset at once, open ones stay as they are.
    ResetNew,
}

/// Rate of response data on each connection under [`LinkFault::Limited`]: 10 Mbit/s, the network link of the users'
/// smallest machines.
const LIMITED_BYTES_PER_S: f64 = 1_250_000.0;

/// Delay of each chunk of data under [`LinkFault::Delayed`].
const DELAY: Duration = Duration::from_millis(60);

/// Faults of one relay.
#[derive(Debug, Default)]
struct Faults {
    general: LinkFault,
    /// Faults of the connections from single addresses, which go before the general one.
    by_caller: HashMap<IpAddr, LinkFault>,
}

/// Faults of a relay, as they apply to the connections from one address.
#[derive(Debug, Clone)]
struct CallerFault {
    faults: Arc<Mutex<Faults>>,
    caller: IpAddr,
}

impl CallerFault {
    fn current(&self) -> LinkFault {
        let faults = self.faults.lock().unwrap_or_else(PoisonError::into_inner);
        faults.by_caller.get(&self.caller).copied().unwrap_or(faults.general)
    }
}

/// A running relay; it and its connections are closed when it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
    pub address: SocketAddr,
    faults: Arc<Mutex<Faults>>,
    task: JoinHandle<()>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Relay {
    /// Starts a relay to `target` on a loopback port that the system chooses.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, target).await
    }

    /// Starts a relay to `target` at `address`.
    ///
    /// # Errors
    ///
    /// The I/O error of binding the address.
    pub async fn start_at(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let faults = Arc::<Mutex<Faults>>::default();
        let task = tokio::spawn(accept(listener, target, Arc::clone(&faults)));
        Ok(Self { address, faults, task })
    }

    /// Replaces the injected fault, also for open connections.
    pub fn set_fault(&self, fault: LinkFault) {
        self.lock().general = fault;
    }

    /// Replaces the fault that is injected into the connections from one address, also the open ones. It goes before
    /// that of all connections.
    pub fn set_fault_from(&self, caller: IpAddr, fault: LinkFault) {
        self.lock().by_caller.insert(caller, fault);
    }

    fn lock(&self) -> MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Mutex<Faults>>) {
    let mut connections = JoinSet::new();
    while let Ok((caller, address)) = listener.accept().await {
        let fault = CallerFault { faults: Arc::clone(&faults), caller: address.ip() };
        match fault.current() {
            LinkFault::Down => {}
            LinkFault::Reset | LinkFault::ResetNew => {
                // With a linger time of zero the connection is reset when dropped; if the system refuses
                // that, it is closed.
                let _best_effort = caller.set_zero_linger();
            }
            _ => {
                connections.spawn(relay_connection(caller, target, fault));
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn relay_connection(caller: TcpStream, target: SocketAddr, fault: CallerFault) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let _best_effort = (caller.set_nodelay(true), upstream.set_nodelay(true));
    let (from_caller, to_caller) = caller.into_split();
    let (from_target, to_target) = upstream.into_split();
    // When either end closes, both directions end.
    tokio::select! {
        () = forward_requests(from_caller, to_target, fault.clone()) => {}
        () = forward_responses(from_target, to_caller, fault) => {}
    }
}

async fn forward_requests(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: CallerFault) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_blackholed = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        match fault.current() {
            LinkFault::Blackhole | LinkFault::BlackholeToTarget => is_blackholed = true,
            LinkFault::Delayed => tokio::time::sleep(DELAY).await,
            LinkFault::Reset => return reset(&from, &to),
            _ => {}
        }
        if !is_blackholed && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

async fn forward_responses(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, fault: CallerFault) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut is_blackholed = false;
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        let forwarded = match fault.current() {
            LinkFault::None | LinkFault::BlackholeToTarget | LinkFault::ResetNew => read,
            LinkFault::Down | LinkFault::CloseBeforeResponse => return,
            LinkFault::CloseMidResponse => read / 2,
            LinkFault::HoldResponses => {
                while fault.current() == LinkFault::HoldResponses {
                    tokio::time::sleep(HOLD_CHECK_PERIOD).await;
                }
                return;
            }
            LinkFault::Delayed => {
                tokio::time::sleep(DELAY).await;
                read
            }
            LinkFault::Limited => {
                tokio::time::sleep(Duration::from_secs_f64(read as f64 / LIMITED_BYTES_PER_S)).await;
                read
            }
            LinkFault::Blackhole | LinkFault::BlackholeToCaller => {
                is_blackholed = true;
                read
            }
            LinkFault::Reset => return reset(&from, &to),
        };
        if is_blackholed {
            continue;
        }
        if to.write_all(&buffer[..forwarded]).await.is_err() || forwarded < read {
            return;
        }
    }
}

/// Makes both connections end with a reset when they are dropped.
fn reset(from: &OwnedReadHalf, to: &OwnedWriteHalf) {
    // If the system refuses the option, they end with a regular close.
    let _best_effort = (from.as_ref().set_zero_linger(), to.as_ref().set_zero_linger());
}
