//! Outbound links: each instance opens an HTTP/2 stream to each of its peers and only sends on it. Two peers
//! therefore have two links, one for each direction.
//!
//! A link has no send queue. It builds its frames from the shared state at the time of sending, so that a
//! slow peer costs no memory; a peer that is too slow is disconnected.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::future::poll_fn;
use h2::{SendStream, client};
use hyper::Request;
use tokio::{
    net::TcpStream,
    time::{MissedTickBehavior, interval, timeout},
};

use super::{
    budget::{OVERHEAD_BYTES, TrafficClass},
    frame::{Frame, Hello, PROTOCOL_VERSION, encode},
    loads::LoadSender,
};
use crate::{
    collections::HashMap,
    kernel::Kernel,
    membership::links::{LinkEndpoint, choose_links},
    plan::freshness::{PlanPush, plan_push},
    units::{MonoTime, PlanVersion, RunId},
};

/// Time between two heartbeats on a link.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time between two updates of the set of links.
const LINKS_PERIOD: Duration = Duration::from_millis(200);

/// Time that a peer may take to accept the bytes of one send before its link is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for opening a connection, and for the HTTP/2 handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a closed link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Time without an echoed heartbeat after which a link is closed and opened again.
const ECHO_TIMEOUT: Duration = Duration::from_secs(3);

/// Least time between two sends of the same plan to the same peer.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a link to a seed address from the settings stays open. Within it, the instance at that
/// address is expected to open a link back and so to make itself known.
const SEED_LINK_LIFETIME: Duration = Duration::from_secs(2);

/// Reason for which a link was closed.
pub type LinkError = Box<dyn std::error::Error + Send + Sync>;

/// Keeps links open to the wanted peers and to the seed addresses of no known member; runs until dropped.
pub async fn maintain_links(kernel: Arc<Kernel>) {
    let mut links = HashMap::<RunId, tokio::task::JoinHandle<()>>::default();
    let mut seeds = HashMap::<SocketAddr, tokio::task::JoinHandle<()>>::default();
    let mut period = interval(LINKS_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let wanted = wanted_links(&kernel);
        links.retain(|run, task| {
            let keep = wanted.iter().any(|(wanted, _)| wanted == run);
            if !keep {
                task.abort();
            }
            keep && !task.is_finished()
        });
        for (run, address) in wanted {
            links.entry(run).or_insert_with(|| {
                let kernel = Arc::clone(&kernel);
                tokio::spawn(async move { run_link(&kernel, Some(run), address).await })
            });
        }
        seeds.retain(|_, task| !task.is_finished());
        for address in unknown_seeds(&kernel) {
            seeds.entry(address).or_insert_with(|| {
                let kernel = Arc::clone(&kernel);
                tokio::spawn(async move { run_link(&kernel, None, address).await })
            });
        }
    }
}

/// Returns the peers chosen by [`choose_links`] and those that have opened a link to this instance.
fn wanted_links(kernel: &Kernel) -> Vec<(RunId, SocketAddr)> {
    let own = LinkEndpoint { run_id: kernel.run_id, data_centre: kernel.config.data_centre.clone() };
    let table = kernel.members.lock();
    let endpoints =
        table.all().map(|m| LinkEndpoint { run_id: m.run_id, data_centre: m.data_centre.clone() });
    let chosen = choose_links(&own, &endpoints.collect::<Vec<_>>());
    let wanted = table.all().filter(|m| m.has_linked_here || chosen.contains(&m.run_id));
    wanted.map(|m| (m.run_id, m.peer_address)).collect()
}

/// Returns the seed addresses from the settings that belong to no known member.
fn unknown_seeds(kernel: &Kernel) -> Vec<SocketAddr> {
    let table = kernel.members.lock();
    let known = |address: &SocketAddr| table.all().any(|m| m.peer_address == *address);
    let own = kernel.config.peers_address;
    let seeds = kernel.config.peer_seeds.iter().filter(|a| **a != own && !known(a));
    seeds.copied().collect()
}

/// Runs a link until it closes, then waits [`REOPEN_PAUSE`]; without `run`, it only introduces this instance.
async fn run_link(kernel: &Kernel, run: Option<RunId>, address: SocketAddr) {
    if let Err(e) = open_link(kernel, run, address).await {
        log::debug!("event=peer-link-lost address={address} error={:?}", e.to_string());
    }
    tokio::time::sleep(REOPEN_PAUSE).await;
}

/// Connects to `address` and sends frames until the link closes.
async fn open_link(kernel: &Kernel, run: Option<RunId>, address: SocketAddr) -> Result<(), LinkError> {
    let stream = timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = timeout(OPEN_TIMEOUT, client::handshake(stream)).await??;
    let mut connection = AbortOnDrop(tokio::spawn(connection));
    let mut sender = sender.ready().await?;
    let request = Request::post("http://peer/link").body(())?;
    let (_response, stream) = sender.send_request(request, false)?;
    tokio::select! {
        result = send_frames(kernel, run, stream) => result,
        closed = &mut connection.0 => Ok(closed??),
    }
}

/// Aborts the task that drives an HTTP/2 connection when dropped.
#[derive(Debug)]
pub struct AbortOnDrop(pub tokio::task::JoinHandle<Result<(), h2::Error>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Sends frames on an open link until it fails.
async fn send_frames(
    kernel: &Kernel,
    run: Option<RunId>,
    stream: SendStream<Bytes>,
) -> Result<(), LinkError> {
    let Some(run) = run else {
        let mut stream = stream;
        send_all(&mut stream, encode(&hello(kernel))).await?;
        tokio::time::sleep(SEED_LINK_LIFETIME).await;
        return Ok(());
    };
    let mut outbound = OutboundLink::new(kernel, run, stream);
    outbound.send(TrafficClass::Heartbeat, &[hello(kernel)]).await?;
    let mut urgent = kernel.control.watch_urgent();
    let mut loads = kernel.control.watch_loads();
    let mut plans = kernel.plan.watch();
    let mut period = interval(HEARTBEAT_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            changed = urgent.changed() => {
                changed?;
                outbound.send_urgent().await?;
            }
            changed = plans.changed() => {
                changed?;
                outbound.send_heartbeat(TrafficClass::Urgent).await?;
            }
            _ = period.tick() => {
                outbound.check_echoed()?;
                outbound.send_urgent().await?;
                outbound.send_heartbeat(TrafficClass::Heartbeat).await?;
            }
            changed = loads.changed() => {
                changed?;
                outbound.send_loads().await?;
            }
        }
    }
}

fn hello(kernel: &Kernel) -> Frame {
    Frame::Hello(Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: kernel.config.instance.clone(),
        run_id: kernel.run_id,
        data_centre: kernel.config.data_centre.clone(),
        peer_address: kernel.config.peers_address,
    })
}

/// Open link to another instance.
struct OutboundLink<'a> {
    kernel: &'a Kernel,
    run: RunId,
    stream: SendStream<Bytes>,
    opened: MonoTime,
    /// Sequence number of the last drain notice sent.
    last_notice: u64,
    /// Whether a heartbeat with `leaving` set has been sent.
    leaving_sent: bool,
    /// Version of the last plan sent, and when.
    sent_plan: Option<(PlanVersion, MonoTime)>,
    loads: LoadSender,
}

impl<'a> OutboundLink<'a> {
    fn new(kernel: &'a Kernel, run: RunId, stream: SendStream<Bytes>) -> Self {
        Self {
            kernel,
            run,
            stream,
            opened: kernel.clock.now(),
            last_notice: 0,
            leaving_sent: false,
            sent_plan: None,
            loads: LoadSender::default(),
        }
    }

    /// Sends whatever is due of: notice of shutdown, plan, request for the peer's plan, drain notices.
    async fn send_urgent(&mut self) -> Result<(), LinkError> {
        let leaving = self.kernel.is_leaving();
        if leaving && !self.leaving_sent {
            self.send_heartbeat(TrafficClass::Urgent).await?;
            self.leaving_sent = true;
        }
        let control = &self.kernel.control;
        let mut frames = Vec::new();
        let pending = control.take_pending(self.run);
        let plan = self.kernel.plan.current();
        if self.must_send_plan(plan.version, pending.send_plan) {
            self.sent_plan = Some((plan.version, self.kernel.clock.now()));
            frames.push(Frame::Plan(control.plan_json(&plan)));
        }
        if pending.request_plan {
            frames.push(Frame::PlanRequest(plan.version));
        }
        let (notices, last) = control.drain_notices_after(self.last_notice);
        self.last_notice = last;
        frames.extend(notices.into_iter().map(Frame::DrainNotice));
        self.send(TrafficClass::Urgent, &frames).await
    }

    /// Returns whether to send the plan of version `own`; `requested` states whether the peer requested it.
    fn must_send_plan(&self, own: PlanVersion, requested: bool) -> bool {
        let now = self.kernel.clock.now();
        let recent = |(version, at): (PlanVersion, MonoTime)| version == own && now.since(at) < RESEND_PAUSE;
        if self.sent_plan.is_some_and(recent) {
            return false;
        }
        let peer = self.kernel.members.lock().find(self.run).map(|m| m.last_heartbeat.plan_version);
        let accepted_here = self.kernel.control.accepted_here();
        plan_push(own, accepted_here, peer.unwrap_or_default(), requested) == PlanPush::Send
    }

    async fn send_heartbeat(&mut self, class: TrafficClass) -> Result<(), LinkError> {
        let now = self.kernel.clock.now();
        let content = self.kernel.control.freshness_tracker().heartbeat(now, self.kernel.is_leaving());
        let heartbeat = self.kernel.members.lock().next_heartbeat(now, self.run, content);
        let heartbeat = heartbeat.ok_or("the peer is no longer a member")?;
        self.send(class, &[Frame::Heartbeat(heartbeat)]).await
    }

    /// Sends changed load counts if the peer has the plan whose targets they refer to.
    async fn send_loads(&mut self) -> Result<(), LinkError> {
        let sample = self.kernel.control.latest_loads();
        let peer = self.kernel.members.lock().find(self.run).map(|m| m.last_heartbeat.plan_version);
        if peer != Some(sample.plan_version) {
            return Ok(());
        }
        match self.loads.next_update(sample.plan_version, &sample.in_flight, sample.taken_at) {
            Some(loads) => self.send(TrafficClass::Loads, &[Frame::Loads(loads)]).await,
            None => Ok(()),
        }
    }

    /// Fails if the peer has echoed no heartbeat for [`ECHO_TIMEOUT`].
    ///
    /// A network device on the path that has lost the connection's state may still accept bytes, so that
    /// sends succeed although nothing reaches the peer.
    fn check_echoed(&self) -> Result<(), LinkError> {
        let now = self.kernel.clock.now();
        let table = self.kernel.members.lock();
        let member = table.find(self.run).ok_or("the peer is no longer a member")?;
        let last_echo = member.last_seen_at.unwrap_or_default().max(self.opened);
        if now.since(last_echo) < ECHO_TIMEOUT {
            return Ok(());
        }
        Err("the peer echoed no heartbeat in time".into())
    }

    async fn send(&mut self, class: TrafficClass, frames: &[Frame]) -> Result<(), LinkError> {
        if frames.is_empty() {
            return Ok(());
        }
        let mut bytes = BytesMut::new();
        for frame in frames {
            bytes.extend_from_slice(&encode(frame));
        }
        let (now, wire_bytes) = (self.kernel.clock.now(), bytes.len() + OVERHEAD_BYTES);
        self.kernel.control.budget().record_sent(now, class, wire_bytes);
        self.kernel.observer.metrics.control_bytes.inc_by(wire_bytes as u64);
        timeout(SEND_TIMEOUT, send_all(&mut self.stream, bytes.freeze())).await?
    }
}

/// Sends all bytes as flow control allows.
///
/// # Errors
///
/// If the stream is closed or its connection fails.
pub async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await.ok_or("stream closed")??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
