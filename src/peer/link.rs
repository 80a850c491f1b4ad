//! One link a direction: each instance opens an h2 stream to every candidate and sends its frames there.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::poll_fn;
use h2::{RecvStream, SendStream, client, server};
use hyper::{Request, Response};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{interval, timeout},
};

use super::frame::{Decoder, Frame, PROTOCOL_VERSION, encode};
use crate::{
    collections::HashMap,
    kernel::Kernel,
    membership::Member,
    plan::Plan,
    units::{InstanceId, PlanVersion, RunId},
};

/// Time between two heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);

/// Time after which a peer that takes no bytes is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Time to open a connection and shake hands.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a lost link is opened again.
const REOPEN_PAUSE: Duration = Duration::from_millis(300);

type LinkError = Box<dyn std::error::Error + Send + Sync>;

/// Takes links from other instances; runs until dropped.
pub async fn listen(kernel: Arc<Kernel>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                tokio::spawn(take_link(Arc::clone(&kernel), stream, address));
            }
            Err(e) => {
                log::warn!("event=peer-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(REOPEN_PAUSE).await;
            }
        }
    }
}

async fn take_link(kernel: Arc<Kernel>, stream: TcpStream, address: SocketAddr) {
    if let Err(e) = receive(&kernel, stream).await {
        log::warn!("event=peer-link-closed address={address} error={:?}", e.to_string());
    }
}

async fn receive(kernel: &Kernel, stream: TcpStream) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let mut connection = server::handshake(stream).await?;
    let Some(accepted) = connection.accept().await else { return Ok(()) };
    let (request, mut respond) = accepted?;
    respond.send_response(Response::new(()), true)?;
    let frames = receive_frames(kernel, request.into_body());
    // The connection makes progress only while it is polled.
    tokio::select! {
        result = frames => result,
        closed = poll_fn(|cx| connection.poll_closed(cx)) => Ok(closed?),
    }
}

async fn receive_frames(kernel: &Kernel, mut body: RecvStream) -> Result<(), LinkError> {
    let mut decoder = Decoder::default();
    let mut sender = None;
    while let Some(chunk) = body.data().await {
        let chunk = chunk?;
        body.flow_control().release_capacity(chunk.len())?;
        decoder.push(&chunk);
        while let Some(frame) = decoder.next_frame()? {
            take_frame(kernel, &mut sender, frame)?;
        }
    }
    Ok(())
}

fn take_frame(
    kernel: &Kernel,
    sender: &mut Option<(InstanceId, RunId)>,
    frame: Frame,
) -> Result<(), LinkError> {
    if let Frame::Hello { protocol_version, instance, run_id, data_centre, peer_address } = frame {
        if protocol_version != PROTOCOL_VERSION {
            return Err(format!("protocol version {protocol_version} is not {PROTOCOL_VERSION}").into());
        }
        let member = Member {
            run_id,
            data_centre,
            peer_address,
            heard_at: None,
            plan_version: PlanVersion::default(),
            leaving: false,
        };
        kernel.members.greeted(kernel.clock.now(), instance.clone(), member);
        *sender = Some((instance, run_id));
        return Ok(());
    }
    let Some((instance, run_id)) = sender.as_ref() else {
        return Err("first frame is not a hello".into());
    };
    match frame {
        Frame::Heartbeat { plan_version, leaving } => {
            kernel.members.heard(kernel.clock.now(), instance, *run_id, plan_version, leaving);
        }
        Frame::Plan { json, .. } => {
            kernel.offer_plan(serde_json::from_slice::<Plan>(&json)?);
        }
        Frame::TargetDraining { target, draining } => kernel.pools.set_draining(&target, draining),
        Frame::Hello { .. } | Frame::PlanWanted { .. } | Frame::Loads { .. } => {}
    }
    Ok(())
}

/// Keeps one link to every candidate; runs until dropped.
pub async fn connect_all(kernel: Arc<Kernel>) {
    let mut links = HashMap::<InstanceId, (SocketAddr, tokio::task::JoinHandle<()>)>::default();
    let mut period = interval(HEARTBEAT_PERIOD);
    loop {
        period.tick().await;
        let candidates = kernel.members.candidates();
        links.retain(|id, (address, task)| {
            let wanted = candidates.iter().any(|(c, m)| c == id && m.peer_address == *address);
            if !wanted {
                task.abort();
            }
            wanted && !task.is_finished()
        });
        for (id, member) in candidates {
            let address = member.peer_address;
            links.entry(id.clone()).or_insert_with(|| {
                let kernel = Arc::clone(&kernel);
                (address, tokio::spawn(async move { keep_link(&kernel, &id, address).await }))
            });
        }
    }
}

async fn keep_link(kernel: &Kernel, peer: &InstanceId, address: SocketAddr) {
    if let Err(e) = send_frames(kernel, peer, address).await {
        log::debug!("event=peer-link-lost peer={peer} error={:?}", e.to_string());
    }
    tokio::time::sleep(REOPEN_PAUSE).await;
}

async fn send_frames(kernel: &Kernel, peer: &InstanceId, address: SocketAddr) -> Result<(), LinkError> {
    let stream = timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = timeout(OPEN_TIMEOUT, client::handshake(stream)).await??;
    let mut connection = tokio::spawn(connection);
    let mut sender = sender.ready().await?;
    let request = Request::post("http://peer/link").body(())?;
    let (_response, mut stream) = sender.send_request(request, false)?;
    let result = tokio::select! {
        result = send_periodically(kernel, peer, &mut stream) => result,
        closed = &mut connection => Ok(closed??),
    };
    connection.abort();
    result
}

async fn send_periodically(
    kernel: &Kernel,
    peer: &InstanceId,
    stream: &mut SendStream<Bytes>,
) -> Result<(), LinkError> {
    let hello = Frame::Hello {
        protocol_version: PROTOCOL_VERSION,
        instance: kernel.config.instance.clone(),
        run_id: kernel.run_id,
        data_centre: kernel.config.data_centre.clone(),
        peer_address: kernel.config.peers_address,
    };
    send(stream, &hello).await?;
    let mut plans = kernel.plan.watch();
    let mut period = interval(HEARTBEAT_PERIOD);
    loop {
        let plan = Arc::clone(&plans.borrow_and_update());
        if plan.version > kernel.members.plan_version(peer) {
            send(stream, &Frame::Plan { version: plan.version, json: serde_json::to_vec(&*plan)? }).await?;
        }
        send(stream, &Frame::Heartbeat { plan_version: plan.version, leaving: kernel.is_leaving() }).await?;
        tokio::select! {
            _ = period.tick() => {}
            changed = plans.changed() => changed?,
        }
    }
}

async fn send(stream: &mut SendStream<Bytes>, frame: &Frame) -> Result<(), LinkError> {
    timeout(SEND_TIMEOUT, send_all(stream, encode(frame))).await?
}

async fn send_all(stream: &mut SendStream<Bytes>, mut bytes: Bytes) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await.ok_or("stream closed")??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
