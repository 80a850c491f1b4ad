//! Passes on what this instance follows in the store to instances that ask for it.

use std::{sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures::future::poll_fn;
use h2::{RecvStream, SendStream, server};
use hyper::Response;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{MissedTickBehavior, interval, timeout},
};

use super::{
    Gateway,
    platform_adapter::{Table, TableRows},
    replica::TableUpdate,
};
use crate::peer::{
    frame::{Decoder, Frame, PROTOCOL_VERSION, StoreAsk, StoreRow, StoreRows, StoreState, encode},
    link::{LinkError, send_all},
};

/// Log target of this module: log lines show it as `module=`, so it stays when the module is renamed.
const LOG_TARGET: &str = "arbutusshelf::gateway::downstream";

/// Time between two signs of life.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(450);

/// Time to open a link and to ask.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an instance that takes no bytes is dropped.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes of rows that are passed on at once. A hundred followers behind a link of 10 Mbit/s wait 20 s for as much; a
/// table that is larger is read from the store by each.
const MAX_PASSED_BYTES: usize = 256 << 10;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(300);

/// Takes links from other instances; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move {
                    if let Err(e) = serve(&gateway, stream).await {
                        log::debug!(target: LOG_TARGET, "event=follower-lost address={address} error={:?}", e.to_string());
                    }
                });
            }
            Err(e) => {
                log::warn!(target: LOG_TARGET, "event=peer-accept-failed error={:?}", e.to_string());
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: &Gateway, stream: TcpStream) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let mut connection = timeout(OPEN_TIMEOUT, server::handshake(stream)).await??;
    let Some(accepted) = timeout(OPEN_TIMEOUT, connection.accept()).await? else {
        return Ok(());
    };
    let (request, mut respond) = accepted?;
    let link = async {
        let mut asked = Asked { body: request.into_body(), decoder: Decoder::default() };
        let ask = timeout(OPEN_TIMEOUT, asked.read_ask()).await??;
        if ask.protocol_version != PROTOCOL_VERSION {
            return Err(format!("protocol version {} is not {PROTOCOL_VERSION}", ask.protocol_version).into());
        }
        if ask.instance == gateway.config().instance {
            return Err("the other end is this instance itself".into());
        }
        let level = if ask.wants_rows { log::Level::Info } else { log::Level::Debug };
        log::log!(target: LOG_TARGET, level, "event=follower instance={} known_instances={}", ask.instance, ask.instances.len());
        gateway.known_instances().add(gateway.now(), ask.instances);
        let stream = respond.send_response(Response::new(()), false)?;
        let wants_rows = ask.wants_rows;
        let mut follower =
            Follower { gateway, routing: ask.routing, targets: ask.targets, wants_rows, stream };
        tokio::select! {
            result = follower.run() => result,
            result = asked.read_rosters(gateway) => result,
        }
    };
    // The connection makes progress only while it is polled.
    tokio::select! {
        result = link => result,
        closed = poll_fn(|cx| connection.poll_closed(cx)) => Ok(closed?),
    }
}

/// What an instance that follows this one sends.
struct Asked {
    body: RecvStream,
    decoder: Decoder,
}

impl Asked {
    async fn read_ask(&mut self) -> Result<StoreAsk, LinkError> {
        match self.next_frame().await? {
            Some(Frame::StoreAsk(ask)) => Ok(ask),
            Some(_) => Err("first frame is no question".into()),
            None => Err("no question".into()),
        }
    }

    /// Takes the instances that the other end has heard of, until it ends the link.
    async fn read_rosters(&mut self, gateway: &Gateway) -> Result<(), LinkError> {
        while let Some(frame) = self.next_frame().await? {
            let Frame::Roster(instances) = frame else {
                return Err("a frame that does not belong here".into());
            };
            gateway.known_instances().add(gateway.now(), instances);
        }
        Ok(())
    }

    /// Returns the next frame, or `None` at the end.
    async fn next_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some(frame) = self.decoder.next_frame()? {
                return Ok(Some(frame));
            }
            let Some(chunk) = self.body.data().await else { return Ok(None) };
            let chunk = chunk?;
            self.body.flow_control().release_capacity(chunk.len())?;
            self.decoder.push(&chunk);
        }
    }
}

/// An instance that follows this one.
struct Follower<'a> {
    gateway: &'a Gateway,
    /// Version of the routing table's row that it knows.
    routing: Option<u64>,
    /// Version of the directory that it knows.
    targets: Option<u64>,
    wants_rows: bool,
    stream: SendStream<Bytes>,
}

impl Follower<'_> {
    async fn run(&mut self) -> Result<(), LinkError> {
        let mut news: watch::Receiver<u64> = self.gateway.watch_replica();
        let mut period = interval(HEARTBEAT_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut told_lost = false;
        loop {
            let is_heartbeat = tokio::select! {
                biased;
                _ = period.tick() => true,
                changed = news.changed() => {
                    changed?;
                    false
                }
            };
            if self.gateway.is_leaving() {
                return Ok(());
            }
            let state = self.state();
            // A change of status goes first: it says how missing rows are to be taken.
            let mut frames = vec![Frame::StoreState(state)];
            if self.wants_rows {
                self.add_rows(Table::Routing, is_heartbeat, &mut frames);
                self.add_rows(Table::Targets, is_heartbeat, &mut frames);
            }
            let is_news = frames.len() > 1 || state.is_store_lost != told_lost;
            if is_heartbeat || is_news {
                told_lost = state.is_store_lost;
                self.send(&frames).await?;
            }
        }
    }

    fn state(&self) -> StoreState {
        let status = self.gateway.replica().status;
        let age = status.confirmed_at.map(|at| self.gateway.now().since(at));
        StoreState {
            confirmed_age_ms: age.map(|age| u32::try_from(age.as_millis()).unwrap_or(u32::MAX)),
            is_store_lost: status.is_store_lost,
            distance: status.distance,
            instances: self.gateway.estimate_instance_count(),
        }
    }

    /// Adds what the other end does not know of a table; a newer version alone goes with the next heartbeat.
    fn add_rows(&mut self, table: Table, is_heartbeat: bool, frames: &mut Vec<Frame>) {
        let known = match table {
            Table::Routing => &mut self.routing,
            Table::Targets => &mut self.targets,
        };
        let Some(update) = self.gateway.replica().update_since(table, *known) else { return };
        let is_all = matches!(update, TableUpdate::Snapshot(_));
        let (TableUpdate::Snapshot(rows) | TableUpdate::Delta(rows)) = update;
        if rows.rows.is_empty() && !is_all && !is_heartbeat {
            return;
        }
        *known = Some(rows.version);
        let bytes = rows.rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum::<usize>();
        let must_read = bytes > MAX_PASSED_BYTES;
        let rows = if must_read { TableRows { rows: Vec::new(), version: rows.version } } else { rows };
        let row = |r: super::platform_adapter::TableRow| StoreRow {
            key: r.key,
            version: r.version,
            value: r.value,
        };
        frames.push(Frame::StoreRows(StoreRows {
            of_targets: table == Table::Targets,
            is_all,
            must_read,
            version: rows.version,
            rows: rows.rows.into_iter().map(row).collect(),
        }));
    }

    async fn send(&mut self, frames: &[Frame]) -> Result<(), LinkError> {
        let mut bytes = BytesMut::new();
        for frame in frames {
            bytes.extend_from_slice(&encode(frame));
        }
        timeout(SEND_TIMEOUT, send_all(&mut self.stream, bytes.freeze())).await?
    }
}
