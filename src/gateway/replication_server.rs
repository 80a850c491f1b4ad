//! Replicates the store's tables from this instance to the instances that follow it.

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
    follower_places::FollowerPlace,
    peer_paths::{self, SentPaths},
    platform_adapter::{Table, TableRow, TableRows},
    rate_limits::{self, SentRateLimits},
    replica::{ReplicaStatus, TableUpdate},
    routing_patches::RoutingBase,
    suspects::{self, SentSuspects},
};
use crate::{
    peer::{
        frame::{
            Decoder, Frame, PROTOCOL_VERSION, RoutingRowPatch, StoreRow, StoreRows, StoreState,
            StoreSubscription, encode,
        },
        link::{LinkError, send_all},
        patch::Digest,
    },
    store_position::{StoreEra, StorePosition},
};

/// Log target of this module: log lines show it as `module=`, so it stays when the module is renamed.
const LOG_TARGET: &str = "arbutusshelf::gateway::downstream";

/// Time between two heartbeats to a follower.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(450);

/// Timeout for each step of opening a link, up to the follower's first frame.
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which the link to a follower that accepts no data is closed.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest update of a table, in bytes of its values or of the patch, that is sent to followers. Sending this much to a
/// hundred followers over a network link of 10 Mbit/s takes 20 s. For a larger update, each follower reads
/// the table from the store.
pub const MAX_UPDATE_BYTES: usize = 256 << 10;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(300);

/// Accepts links from other instances; runs until dropped.
pub async fn listen(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let gateway = Arc::clone(&gateway);
                tokio::spawn(async move {
                    if let Err(e) = serve(&gateway, stream).await {
                        log::debug!(
                            target: LOG_TARGET,
                            "event=follower-lost address={address} error={:?}",
                            e.to_string()
                        );
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
        let mut receiver = FollowerReceiver { body: request.into_body(), decoder: Decoder::default() };
        let Opening { era, takes_patches, known_routing, subscription } =
            timeout(OPEN_TIMEOUT, receiver.read_subscription()).await??;
        if subscription.protocol_version != PROTOCOL_VERSION {
            return Err(format!(
                "unsupported protocol version {}, expected {PROTOCOL_VERSION}",
                subscription.protocol_version
            )
            .into());
        }
        if subscription.instance == gateway.config().instance {
            return Err("the follower is this instance itself".into());
        }
        let level = if subscription.wants_rows { log::Level::Info } else { log::Level::Debug };
        log::log!(
            target: LOG_TARGET,
            level,
            "event=follower instance={} known_instances={}",
            subscription.instance,
            subscription.instances.len()
        );
        gateway.known_instances().add(gateway.now(), subscription.instances);
        let stream = respond.send_response(Response::new(()), false)?;
        let position = |version: Option<u64>| version.map(|version| StorePosition { era, version });
        let mut sender = FollowerSender {
            gateway,
            routing: position(subscription.routing),
            targets: position(subscription.targets),
            wants_rows: subscription.wants_rows,
            takes_patches,
            routing_base: gateway.routing_base().filter(|(_, digest)| known_routing == Some(*digest)),
            sent_era: StoreEra::default(),
            place: subscription.wants_rows.then(|| gateway.follower_places.take()),
            sent_limits: SentRateLimits::default(),
            sent_suspects: SentSuspects::default(),
            sent_paths: SentPaths::default(),
            stream,
        };
        tokio::select! {
            result = sender.run() => result,
            result = receiver.read_updates(gateway) => result,
        }
    };
    // The HTTP/2 connection makes progress only while it is polled.
    tokio::select! {
        result = link => result,
        closed = poll_fn(|cx| connection.poll_closed(cx)) => Ok(closed?),
    }
}

/// What a follower states when it opens a link.
struct Opening {
    /// Era of the versions in the subscription.
    era: StoreEra,
    takes_patches: bool,
    /// Digest of the follower's routing table; `None` if it has none or takes no patches.
    known_routing: Option<Digest>,
    subscription: StoreSubscription,
}

/// The receiving side of a link to a follower.
struct FollowerReceiver {
    body: RecvStream,
    decoder: Decoder,
}

impl FollowerReceiver {
    /// Receives the subscription and what the follower states before it.
    async fn read_subscription(&mut self) -> Result<Opening, LinkError> {
        let (mut era, mut takes_patches, mut known_routing) = (StoreEra::default(), false, None);
        loop {
            match self.next_frame().await? {
                Some(Frame::StoreEra(stated)) => era = stated,
                Some(Frame::KnownRouting(digest)) => (takes_patches, known_routing) = (true, digest),
                Some(Frame::StoreSubscription(subscription)) => {
                    return Ok(Opening { era, takes_patches, known_routing, subscription });
                }
                Some(_) => return Err("frame before the store subscription".into()),
                None => return Err("stream ended before the store subscription".into()),
            }
        }
    }

    /// Receives the instance names, rate limits and suspects that the follower knows, until it closes the link.
    async fn read_updates(&mut self, gateway: &Gateway) -> Result<(), LinkError> {
        while let Some(frame) = self.next_frame().await? {
            match frame {
                Frame::KnownInstances(instances) => {
                    gateway.known_instances().add(gateway.now(), instances);
                }
                Frame::RateLimits(entries) => rate_limits::receive(gateway, entries),
                Frame::IdentityKey(key) => suspects::receive_key(gateway, key.into(), false),
                Frame::Suspects(entries) => suspects::receive(gateway, entries),
                Frame::Paths(entries) => peer_paths::receive(gateway, entries),
                _ => return Err("unexpected frame type".into()),
            }
        }
        Ok(())
    }

    /// Returns the next frame, or `None` at the end of the stream.
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

/// Returns a duration in milliseconds, at most what a frame can hold.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// The sending side of a link to a follower.
struct FollowerSender<'a> {
    gateway: &'a Gateway,
    /// Position of the follower's routing table; `None` if it has none.
    routing: Option<StorePosition>,
    /// Position of the follower's target directory; `None` if it has none.
    targets: Option<StorePosition>,
    wants_rows: bool,
    takes_patches: bool,
    /// Base of the next patch.
    routing_base: Option<RoutingBase>,
    /// Era to which the follower takes all versions on the link to belong.
    sent_era: StoreEra,
    /// Place of the follower, if it wants rows.
    place: Option<FollowerPlace>,
    sent_limits: SentRateLimits,
    sent_suspects: SentSuspects,
    sent_paths: SentPaths,
    stream: SendStream<Bytes>,
}

impl FollowerSender<'_> {
    async fn run(&mut self) -> Result<(), LinkError> {
        let mut replica_changes: watch::Receiver<u64> = self.gateway.watch_replica();
        let mut limit_changes = self.gateway.watch_rate_limits();
        let mut suspect_changes = self.gateway.watch_suspects();
        let mut path_changes = self.gateway.watch_paths();
        let mut period = interval(HEARTBEAT_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut sent_store_lost = false;
        let mut sent_answered_since = None;
        let mut sent_routing_unread_since = None;
        loop {
            let is_heartbeat = tokio::select! {
                biased;
                _ = period.tick() => true,
                changed = replica_changes.changed() => {
                    changed?;
                    false
                }
                changed = limit_changes.changed() => {
                    changed?;
                    false
                }
                changed = suspects::wait_for_change(&mut suspect_changes) => {
                    changed?;
                    false
                }
                changed = path_changes.changed() => {
                    changed?;
                    false
                }
            };
            if self.gateway.is_leaving() {
                return Ok(());
            }
            let state = self.state();
            // The state goes before the rows: for a grace period after an outage of the store, the follower
            // keeps targets whose rows are missing, so it must learn of the outage and its end first.
            let mut frames = Vec::new();
            let era = self.gateway.replica().era();
            let has_new_era = std::mem::replace(&mut self.sent_era, era) != era;
            if has_new_era {
                frames.push(Frame::StoreEra(era));
            }
            let ReplicaStatus { answered_since, routing_unread_since, .. } = self.gateway.replica().status;
            if let Some(since) = answered_since.filter(|_| answered_since != sent_answered_since) {
                frames.push(Frame::StoreAnsweredFor(millis(self.gateway.now().since(since))));
                sent_answered_since = answered_since;
            }
            let has_new_routing_state = routing_unread_since != sent_routing_unread_since;
            if has_new_routing_state {
                let unread_for = routing_unread_since.map(|since| millis(self.gateway.now().since(since)));
                frames.push(Frame::RoutingUnreadFor(unread_for));
                sent_routing_unread_since = routing_unread_since;
            }
            frames.push(Frame::StoreState(state));
            let frames_without_rows = frames.len();
            if self.wants_rows {
                // Before the rows, so that the follower knows the suspects when it becomes ready.
                frames.extend(self.sent_suspects.next_frames(self.gateway));
                self.add_update(Table::Routing, is_heartbeat, &mut frames);
                self.add_update(Table::Targets, is_heartbeat, &mut frames);
                let place = self.place.as_ref().map(FollowerPlace::phase);
                // After the rows, so that the follower knows the targets.
                frames.extend(self.sent_limits.next_frames(self.gateway, place));
                frames.extend(self.sent_paths.next_frames(self.gateway));
            }
            let has_changes = has_new_era
                || has_new_routing_state
                || frames.len() > frames_without_rows
                || state.is_store_lost != sent_store_lost;
            if is_heartbeat || has_changes {
                sent_store_lost = state.is_store_lost;
                self.send(&frames).await?;
            }
        }
    }

    fn state(&self) -> StoreState {
        let status = self.gateway.replica().status;
        let age = status.confirmed_at.map(|at| self.gateway.now().since(at));
        StoreState {
            confirmed_age_ms: age.map(millis),
            is_store_lost: status.is_store_lost,
            distance: status.distance,
            instances: self.gateway.estimate_instance_count(),
        }
    }

    /// Adds the frame that brings the follower's replica of a table up to date. A new version without changed
    /// rows waits for the next heartbeat.
    fn add_update(&mut self, table: Table, is_heartbeat: bool, frames: &mut Vec<Frame>) {
        let known = match table {
            Table::Routing => &mut self.routing,
            Table::Targets => &mut self.targets,
        };
        let update = self.gateway.replica().update_since(table, *known);
        // Rows of a later era than the one that was sent go out with the next change.
        let Some(update) = update.filter(|u| u.rows().position.era == self.sent_era) else { return };
        let is_all = matches!(update, TableUpdate::Snapshot(_));
        let (TableUpdate::Snapshot(rows) | TableUpdate::Delta(rows)) = update;
        if rows.rows.is_empty() && !is_all && !is_heartbeat {
            return;
        }
        *known = Some(rows.position);
        if let Some(patch) = self.routing_patch(table, is_all, &rows) {
            frames.push(Frame::RoutingRowPatch(patch));
            return;
        }
        let bytes = rows.rows.iter().filter_map(|r| r.value.as_ref()).map(Bytes::len).sum::<usize>();
        let must_read = bytes > MAX_UPDATE_BYTES;
        let rows = if must_read { TableRows { rows: Vec::new(), position: rows.position } } else { rows };
        let to_store_row = |r: TableRow| StoreRow { key: r.key, version: r.position.version, value: r.value };
        frames.push(Frame::StoreRows(StoreRows {
            of_targets: table == Table::Targets,
            is_all,
            must_read,
            version: rows.position.version,
            rows: rows.rows.into_iter().map(to_store_row).collect(),
        }));
    }

    /// Returns rows as a patch if they are the routing table only, the follower takes patches, and the patch is small
    /// enough.
    fn routing_patch(&mut self, table: Table, is_all: bool, rows: &TableRows) -> Option<RoutingRowPatch> {
        let [row] = rows.rows.as_slice() else { return None };
        let is_routing = table == Table::Routing && row.key == self.gateway.platform.routing_key;
        let value = row.value.as_ref().filter(|_| is_routing && self.takes_patches)?;
        let patch = self.gateway.routing_patches.patch(self.routing_base.as_ref(), value)?;
        if patch.compressed_bytes() > MAX_UPDATE_BYTES {
            return None;
        }
        self.routing_base = Some((value.clone(), patch.digest));
        Some(RoutingRowPatch {
            is_all,
            version: rows.position.version,
            key: row.key.clone(),
            row_version: row.position.version,
            patch,
        })
    }

    async fn send(&mut self, frames: &[Frame]) -> Result<(), LinkError> {
        let mut bytes = BytesMut::new();
        for frame in frames {
            bytes.extend_from_slice(&encode(frame));
        }
        timeout(SEND_TIMEOUT, send_all(&mut self.stream, bytes.freeze())).await?
    }
}
