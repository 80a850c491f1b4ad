//! One link a direction: each instance opens an h2 stream to its peers and sends its frames there.
//!
//! A link keeps no queue: what it sends is worked out from the shared state at the time of sending, so that
//! a slow peer costs no memory and is dropped.

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

/// Time between two heartbeats.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time between two looks at which links are wanted.
const LINKS_PERIOD: Duration = Duration::from_millis(200);

/// Time after which a peer that takes no bytes is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to open a connection and shake hands.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a lost link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

/// Time without an echo after which a link is taken for silent and opened anew.
const UNANSWERED_LIMIT: Duration = Duration::from_secs(3);

/// Time before the same plan is sent to the same peer again.
const RESEND_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a link to an address from the settings stays, until the run behind it links back.
const SEED_LINK_TIME: Duration = Duration::from_secs(2);

/// Why a link ended.
pub type LinkError = Box<dyn std::error::Error + Send + Sync>;

/// Keeps one link to every peer that the link plan names; runs until dropped.
pub async fn maintain_links(kernel: Arc<Kernel>) {
    let mut links = HashMap::<RunId, tokio::task::JoinHandle<()>>::default();
    let mut seeds = HashMap::<SocketAddr, tokio::task::JoinHandle<()>>::default();
    let mut period = interval(LINKS_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        period.tick().await;
        let wanted = wanted_links(&kernel);
        links.retain(|run, task| {
            let stays = wanted.iter().any(|(wanted, _)| wanted == run);
            if !stays {
                task.abort();
            }
            stays && !task.is_finished()
        });
        for (run, address) in wanted {
            links.entry(run).or_insert_with(|| {
                let kernel = Arc::clone(&kernel);
                tokio::spawn(async move { keep_link(&kernel, Some(run), address).await })
            });
        }
        seeds.retain(|_, task| !task.is_finished());
        for address in unknown_seeds(&kernel) {
            seeds.entry(address).or_insert_with(|| {
                let kernel = Arc::clone(&kernel);
                tokio::spawn(async move { keep_link(&kernel, None, address).await })
            });
        }
    }
}

/// Links by the plan, and back to everyone who links here.
fn wanted_links(kernel: &Kernel) -> Vec<(RunId, SocketAddr)> {
    let own = LinkEndpoint { run_id: kernel.run_id, data_centre: kernel.config.data_centre.clone() };
    let table = kernel.members.lock();
    let ends = table.all().map(|m| LinkEndpoint { run_id: m.run_id, data_centre: m.data_centre.clone() });
    let planned = choose_links(&own, &ends.collect::<Vec<_>>());
    let wanted = table.all().filter(|m| m.has_linked_here || planned.contains(&m.run_id));
    wanted.map(|m| (m.run_id, m.peer_address)).collect()
}

fn unknown_seeds(kernel: &Kernel) -> Vec<SocketAddr> {
    let table = kernel.members.lock();
    let known = |address: &SocketAddr| table.all().any(|m| m.peer_address == *address);
    let own = kernel.config.peers_address;
    let seeds = kernel.config.peer_seeds.iter().filter(|a| **a != own && !known(a));
    seeds.copied().collect()
}

async fn keep_link(kernel: &Kernel, run: Option<RunId>, address: SocketAddr) {
    if let Err(e) = open_and_send(kernel, run, address).await {
        log::debug!("event=peer-link-lost address={address} error={:?}", e.to_string());
    }
    tokio::time::sleep(REOPEN_PAUSE).await;
}

async fn open_and_send(kernel: &Kernel, run: Option<RunId>, address: SocketAddr) -> Result<(), LinkError> {
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

/// Ends a connection's task with the link.
#[derive(Debug)]
pub struct AbortOnDrop(pub tokio::task::JoinHandle<Result<(), h2::Error>>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn send_frames(
    kernel: &Kernel,
    run: Option<RunId>,
    stream: SendStream<Bytes>,
) -> Result<(), LinkError> {
    let Some(run) = run else {
        let mut stream = stream;
        send_all(&mut stream, encode(&hello(kernel))).await?;
        tokio::time::sleep(SEED_LINK_TIME).await;
        return Ok(());
    };
    let mut outbound = Outbound::new(kernel, run, stream);
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
                outbound.check_answered()?;
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

/// One link to another instance.
struct Outbound<'a> {
    kernel: &'a Kernel,
    run: RunId,
    stream: SendStream<Bytes>,
    opened: MonoTime,
    /// Number of the last sign of draining that was sent.
    seen_signs: u64,
    /// Whether the peer has been told that this instance is leaving.
    told_leaving: bool,
    /// Last plan that was sent, and when.
    sent_plan: Option<(PlanVersion, MonoTime)>,
    loads: LoadSender,
}

impl<'a> Outbound<'a> {
    fn new(kernel: &'a Kernel, run: RunId, stream: SendStream<Bytes>) -> Self {
        Self {
            kernel,
            run,
            stream,
            opened: kernel.clock.now(),
            seen_signs: 0,
            told_leaving: false,
            sent_plan: None,
            loads: LoadSender::default(),
        }
    }

    /// Sends leaving, plan, question and signs if the peer should have them.
    async fn send_urgent(&mut self) -> Result<(), LinkError> {
        let leaving = self.kernel.is_leaving();
        if leaving && !self.told_leaving {
            self.send_heartbeat(TrafficClass::Urgent).await?;
            self.told_leaving = true;
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
        let (signs, seen) = control.drain_notices_after(self.seen_signs);
        self.seen_signs = seen;
        frames.extend(signs.into_iter().map(Frame::DrainNotice));
        self.send(TrafficClass::Urgent, &frames).await
    }

    fn must_send_plan(&self, own: PlanVersion, asked: bool) -> bool {
        let now = self.kernel.clock.now();
        let recent = |(version, at): (PlanVersion, MonoTime)| version == own && now.since(at) < RESEND_PAUSE;
        if self.sent_plan.is_some_and(recent) {
            return false;
        }
        let peer = self.kernel.members.lock().find(self.run).map(|m| m.last_heartbeat.plan_version);
        let accepted_here = self.kernel.control.accepted_here();
        plan_push(own, accepted_here, peer.unwrap_or_default(), asked) == PlanPush::Send
    }

    async fn send_heartbeat(&mut self, purpose: TrafficClass) -> Result<(), LinkError> {
        let now = self.kernel.clock.now();
        let says = self.kernel.control.follower().heartbeat(now, self.kernel.is_leaving());
        let numbered = self.kernel.members.lock().next_heartbeat(now, self.run, says);
        let heartbeat = numbered.ok_or("the peer is no longer a member")?;
        self.send(purpose, &[Frame::Heartbeat(heartbeat)]).await
    }

    /// Sends changed counts, once the peer has the plan that they count through.
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

    /// A path that takes bytes and gives no echo has lost track of the connection.
    fn check_answered(&self) -> Result<(), LinkError> {
        let now = self.kernel.clock.now();
        let table = self.kernel.members.lock();
        let member = table.find(self.run).ok_or("the peer is no longer a member")?;
        let answered = member.last_seen_at.unwrap_or_default().max(self.opened);
        if now.since(answered) < UNANSWERED_LIMIT {
            return Ok(());
        }
        Err("no heartbeat was echoed".into())
    }

    async fn send(&mut self, purpose: TrafficClass, frames: &[Frame]) -> Result<(), LinkError> {
        if frames.is_empty() {
            return Ok(());
        }
        let mut bytes = BytesMut::new();
        for frame in frames {
            bytes.extend_from_slice(&encode(frame));
        }
        let (now, on_wire) = (self.kernel.clock.now(), bytes.len() + OVERHEAD_BYTES);
        self.kernel.control.budget().record_sent(now, purpose, on_wire);
        self.kernel.observer.metrics.control_bytes.inc_by(on_wire as u64);
        timeout(SEND_TIMEOUT, send_all(&mut self.stream, bytes.freeze())).await?
    }
}

/// Sends bytes as the other end takes them.
///
/// # Errors
///
/// When the stream is closed.
pub async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await.ok_or("stream closed")??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
