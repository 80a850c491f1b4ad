//! Takes links from other instances and turns their frames into events.

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

/// Silence after which a link is closed; its sender opens another.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Takes links from other instances; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(take_link(Arc::clone(&kernel), stream, address));
            }
            Err(e) => {
                log::warn!("event=peer-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn take_link(kernel: Arc<Kernel>, stream: TcpStream, address: SocketAddr) {
    let mut inbound = Inbound::new(kernel);
    if let Err(e) = receive(&mut inbound, stream).await {
        let peer = inbound.sender.as_ref().map_or("unknown", |s| s.instance.as_str());
        log::warn!("event=peer-link-closed peer={peer} address={address} error={:?}", e.to_string());
    }
}

async fn receive(inbound: &mut Inbound, stream: TcpStream) -> Result<(), LinkError> {
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

async fn receive_frames(inbound: &mut Inbound, mut body: RecvStream) -> Result<(), LinkError> {
    let mut decoder = Decoder::default();
    while let Some(chunk) = timeout(IDLE_TIMEOUT, body.data()).await? {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        decoder.push(&chunk);
        while let Some(frame) = decoder.next_frame()? {
            inbound.take(frame)?;
        }
    }
    Ok(())
}

/// Who is at the other end of a link.
#[derive(Debug)]
struct Sender {
    instance: InstanceId,
    run_id: RunId,
}

/// One link from another instance.
#[derive(Debug)]
struct Inbound {
    kernel: Arc<Kernel>,
    sender: Option<Sender>,
    loads: LoadReceiver,
    /// Plan that `targets` are of.
    version: PlanVersion,
    /// Targets of the plan in force in its order.
    targets: Vec<(ServiceName, TargetId)>,
}

impl Inbound {
    fn new(kernel: Arc<Kernel>) -> Self {
        let (loads, version) = (LoadReceiver::default(), PlanVersion::default());
        Self { kernel, sender: None, loads, version, targets: Vec::new() }
    }

    fn take(&mut self, frame: Frame) -> Result<(), LinkError> {
        if let Frame::Hello(hello) = frame {
            return self.greet(&hello);
        }
        let Some(sender) = &self.sender else {
            return Err("first frame is not a hello".into());
        };
        let run = sender.run_id;
        match frame {
            Frame::Heartbeat(heartbeat) => self.take_heartbeat(run, heartbeat),
            Frame::PlanRequest(version) => {
                if self.kernel.plan.version() > version {
                    self.kernel.control.update_pending(run, |pending| pending.send_plan = true);
                }
            }
            Frame::Plan(json) => {
                self.kernel.adopt_plan(serde_json::from_slice::<Plan>(&json)?);
            }
            Frame::DrainNotice(sign) => self.take_sign(&sign),
            Frame::Loads(loads) => self.take_loads(&loads),
            // The store's rows go over links of their own.
            Frame::Hello(_)
            | Frame::StoreSubscription(_)
            | Frame::KnownInstances(_)
            | Frame::StoreState(_)
            | Frame::StoreRows(_) => {}
        }
        Ok(())
    }

    fn greet(&mut self, hello: &Hello) -> Result<(), LinkError> {
        if hello.protocol_version != PROTOCOL_VERSION {
            return Err(
                format!("protocol version {} is not {PROTOCOL_VERSION}", hello.protocol_version).into()
            );
        }
        if self.sender.is_some() {
            return Err("second hello".into());
        }
        if !self.kernel.members.lock().accept_hello(self.kernel.clock.now(), hello) {
            return Err("own run or too many instances".into());
        }
        self.kernel.drop_peer_loads(&hello.instance);
        self.sender = Some(Sender { instance: hello.instance.clone(), run_id: hello.run_id });
        Ok(())
    }

    fn take_heartbeat(&self, run: RunId, heartbeat: Heartbeat) {
        let dated = self.kernel.members.lock().record_heartbeat(run, heartbeat);
        let now = self.kernel.clock.now();
        let mut follower = self.kernel.control.follower();
        follower.on_heartbeat(dated, &heartbeat);
        let ask = follower.should_request_plan(now, heartbeat.plan_version);
        drop(follower);
        if ask {
            self.kernel.control.update_pending(run, |pending| pending.request_plan = true);
        }
    }

    fn take_sign(&self, sign: &DrainNotice) {
        if self.kernel.apply_drain_sign(sign) {
            log::info!("event=target-draining target={} source=peer", sign.target);
        }
    }

    fn take_loads(&mut self, loads: &Loads) {
        let Some(sender) = &self.sender else { return };
        let plan = self.kernel.plan.current();
        if self.version != plan.version {
            self.version = plan.version;
            self.targets = plan.targets().map(|(s, t)| (s.name.clone(), t.id.clone())).collect();
            // The sender counts from zero again with each plan.
            self.kernel.drop_peer_loads(&sender.instance);
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
            pool.handle(Event::PeerLoads { peer: sender.instance.clone(), loads });
        }
    }
}
