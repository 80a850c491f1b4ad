//! Inbound links: accepts links from other instances and handles the frames that arrive on them.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::future::poll_fn;
use h2::{RecvStream, server};
use hyper::Response;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::{
    frame::{Decoder, DrainNotice, Frame, Heartbeat, Hello, Loads, PROTOCOL_VERSION},
    link::LinkError,
    loads::LoadReceiver,
};
use crate::{
    decide::{Event, PeerLoad},
    kernel::Kernel,
    plan::Plan,
    units::{InstanceId, PlanVersion, RunId, ServiceName, TargetId},
};

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(300);

/// Time without bytes after which a link is closed; the peer then opens another one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts links from other instances; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(handle_link(Arc::clone(&kernel), stream, address));
            }
            Err(e) => {
                log::warn!("event=peer-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn handle_link(kernel: Arc<Kernel>, stream: TcpStream, address: SocketAddr) {
    let mut inbound = InboundLink::new(kernel);
    if let Err(e) = receive(&mut inbound, stream).await {
        let peer = inbound.peer.as_ref().map_or("unknown", |s| s.instance.as_str());
        log::warn!("event=peer-link-closed peer={peer} address={address} error={:?}", e.to_string());
    }
}

/// Accepts the one HTTP/2 stream of a link and handles its frames until it closes.
async fn receive(inbound: &mut InboundLink, stream: TcpStream) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let mut connection = timeout(IDLE_TIMEOUT, server::handshake(stream)).await??;
    let Some(accepted) = timeout(IDLE_TIMEOUT, connection.accept()).await? else {
        return Ok(());
    };
    let (request, mut respond) = accepted?;
    respond.send_response(Response::new(()), true)?;
    let frames = receive_frames(inbound, request.into_body());
    // The connection makes progress only while it is polled.
    tokio::select! {
        result = frames => result,
        closed = poll_fn(|cx| connection.poll_closed(cx)) => Ok(closed?),
    }
}

async fn receive_frames(inbound: &mut InboundLink, mut body: RecvStream) -> Result<(), LinkError> {
    let mut decoder = Decoder::default();
    while let Some(chunk) = timeout(IDLE_TIMEOUT, body.data()).await? {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        decoder.push(&chunk);
        while let Some(frame) = decoder.next_frame()? {
            inbound.handle(frame)?;
        }
    }
    Ok(())
}

/// Peer at the other end of a link, as its hello states.
#[derive(Debug)]
struct Peer {
    instance: InstanceId,
    run_id: RunId,
}

/// Link from another instance.
#[derive(Debug)]
struct InboundLink {
    kernel: Arc<Kernel>,
    /// Absent until the hello has arrived.
    peer: Option<Peer>,
    loads: LoadReceiver,
    /// Plan version of `targets`.
    version: PlanVersion,
    /// Services and targets of the plan, in the plan's order.
    targets: Vec<(ServiceName, TargetId)>,
}

impl InboundLink {
    fn new(kernel: Arc<Kernel>) -> Self {
        let (loads, version) = (LoadReceiver::default(), PlanVersion::default());
        Self { kernel, peer: None, loads, version, targets: Vec::new() }
    }

    fn handle(&mut self, frame: Frame) -> Result<(), LinkError> {
        if let Frame::Hello(hello) = frame {
            return self.handle_hello(&hello);
        }
        let Some(peer) = &self.peer else {
            return Err("first frame is not a hello".into());
        };
        let run = peer.run_id;
        match frame {
            Frame::Heartbeat(heartbeat) => self.handle_heartbeat(run, heartbeat),
            Frame::PlanRequest(version) => {
                if self.kernel.plan.version() > version {
                    self.kernel.control.update_pending(run, |pending| pending.send_plan = true);
                }
            }
            Frame::Plan(json) => {
                self.kernel.adopt_plan(serde_json::from_slice::<Plan>(&json)?);
            }
            Frame::DrainNotice(notice) => self.handle_drain_notice(&notice),
            Frame::Loads(loads) => self.handle_loads(&loads),
            // Frames about the store's rows are exchanged only on the links between instances in gateway
            // mode.
            Frame::Hello(_)
            | Frame::StoreSubscription(_)
            | Frame::KnownInstances(_)
            | Frame::StoreState(_)
            | Frame::StoreRows(_)
            | Frame::StoreEra(_)
            | Frame::StoreAnsweredFor(_)
            | Frame::RateLimits(_)
            | Frame::IdentityKey(_)
            | Frame::Suspects(_)
            | Frame::Paths(_)
            | Frame::RoutingUnreadFor(_)
            | Frame::KnownRouting(_)
            | Frame::RoutingRowPatch(_) => {}
        }
        Ok(())
    }

    fn handle_hello(&mut self, hello: &Hello) -> Result<(), LinkError> {
        if hello.protocol_version != PROTOCOL_VERSION {
            return Err(
                format!("protocol version {} is not {PROTOCOL_VERSION}", hello.protocol_version).into()
            );
        }
        if self.peer.is_some() {
            return Err("second hello".into());
        }
        if !self.kernel.members.lock().accept_hello(self.kernel.clock.now(), hello) {
            return Err("hello of this instance itself, or too many members".into());
        }
        self.kernel.drop_peer_loads(&hello.instance);
        self.peer = Some(Peer { instance: hello.instance.clone(), run_id: hello.run_id });
        Ok(())
    }

    fn handle_heartbeat(&self, run: RunId, heartbeat: Heartbeat) {
        let sent_at = self.kernel.members.lock().record_heartbeat(run, heartbeat);
        let now = self.kernel.clock.now();
        let mut tracker = self.kernel.control.freshness_tracker();
        tracker.on_heartbeat(sent_at, &heartbeat);
        let request_plan = tracker.should_request_plan(now, heartbeat.plan_version);
        drop(tracker);
        if request_plan {
            self.kernel.control.update_pending(run, |pending| pending.request_plan = true);
        }
    }

    fn handle_drain_notice(&self, notice: &DrainNotice) {
        if self.kernel.apply_drain_notice(notice) {
            log::info!("event=target-draining target={} source=peer", notice.target);
        }
    }

    fn handle_loads(&mut self, loads: &Loads) {
        let Some(peer) = &self.peer else { return };
        let plan = self.kernel.plan.current();
        if self.version != plan.version {
            self.version = plan.version;
            self.targets = plan.targets().map(|(s, t)| (s.name.clone(), t.id.clone())).collect();
            // The peer restarts its counts from zero with each plan.
            self.kernel.drop_peer_loads(&peer.instance);
        }
        let now = self.kernel.clock.now();
        let received = self.loads.receive(now, self.version, self.targets.len(), loads);
        for group in received.chunk_by(|a, b| self.targets[a.index].0 == self.targets[b.index].0) {
            let service = &self.targets[group[0].index].0;
            let Some(pool) = self.kernel.pools.find(service) else { continue };
            let load = |r: &super::loads::ReceivedLoad| PeerLoad {
                target: self.targets[r.index].1.clone(),
                in_flight: r.in_flight,
                age: r.age,
            };
            let loads = group.iter().map(load).collect();
            pool.handle(Event::PeerLoads { peer: peer.instance.clone(), loads });
        }
    }
}
