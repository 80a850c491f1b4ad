//! Replicates the store's tables from another instance over an HTTP/2 stream.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::poll_fn;
use h2::{RecvStream, SendStream, client};
use hyper::Request;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout, timeout_at},
};

use super::{
    Gateway,
    apply::{apply_update, record_store_heard},
    follow::{MAX_CURRENT_AGE, SEED_MAX_CURRENT_AGE},
    peer_paths::{self, SentPaths},
    platform_adapter::{Table, TableRow, TableRows},
    rate_limits::{self, SentRateLimits},
    replica::{ReplicaStatus, TableUpdate, UpdateResult},
    routing_patches::{self, RoutingBase},
    seed_links::SeedLinks,
    suspects::{self, SentSuspects},
    table_reads::TableReads,
};
use crate::{
    peer::{
        frame::{
            Decoder, Frame, PROTOCOL_VERSION, RoutingRowPatch, StoreRow, StoreRows, StoreState,
            StoreSubscription, encode,
        },
        link::{AbortOnDrop, LinkError, send_all},
    },
    store_position::{StoreEra, StorePosition},
    units::{InstanceId, MonoTime},
};

/// Log target of this module: log lines show it as `module=`, so it stays when the module is renamed.
const LOG_TARGET: &str = "arbutusshelf::gateway::upstream";

/// Most instances that may stand between the followed instance and the store.
const MAX_DISTANCE: u8 = 1;

/// Timeout for opening a link: far more than a round trip within a region, and short enough to skip two
/// unresponsive seeds in 0.4 s.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without data after which the followed instance counts as lost: a little more than two heartbeats.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Time between two checks whether new instance names have to be sent to the followed instance.
const NAMES_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after which all instance names are sent again: a fraction of the time for which the followed instance
/// keeps them.
const NAMES_RESEND_PERIOD: Duration = Duration::from_mins(1);

/// What an instance that may be followed must be able to read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreAccess {
    /// Both tables.
    BothTables,
    /// The directory of targets.
    Targets,
    /// Nothing, as long as its replica is current.
    Any,
}

/// Why following an instance ended.
#[derive(Debug)]
pub struct FollowError {
    /// Whether the instance was current at any time while it was followed.
    pub was_current: bool,
    /// The error, for the log.
    pub reason: String,
}

/// Replicates the tables of the instance at `address` until that instance is no longer current or the link
/// ends.
///
/// # Errors
///
/// [`FollowError`] unless the link ended cleanly.
pub async fn follow(gateway: &Gateway, address: SocketAddr) -> Result<(), FollowError> {
    let mut session = FollowSession {
        gateway,
        address,
        was_current: false,
        era: StoreEra::default(),
        answered_since: None,
        routing_unread_since: None,
        current_until: None,
        routing_base: None,
        reads: Arc::default(),
    };
    let ended = session.run().await;
    ended.map_err(|e| FollowError { was_current: session.was_current, reason: e.to_string() })
}

/// Checks once whether the instance at `address` is current enough to be followed.
///
/// # Errors
///
/// The link's error, or the reason why the instance can't be followed.
pub async fn check(gateway: &Gateway, address: SocketAddr, access: StoreAccess) -> Result<(), LinkError> {
    let mut states = StateReceiver::open(gateway, address).await?;
    let state = states.next().await?;
    check_usable(gateway, states.era, &state, states.is_routing_unread, access).map(|_age| ())
}

/// Waits until the instance at `address`, which was not current, is current enough to be followed and reads what this
/// instance reads from the store.
/// The link stays open meanwhile and counts among `links`, so that this takes no longer than a message from the other
/// instance.
///
/// # Errors
///
/// The link's error, or that the instance is current already.
pub async fn wait_until_current(
    gateway: &Gateway,
    address: SocketAddr,
    links: &SeedLinks,
) -> Result<(), LinkError> {
    let mut states = StateReceiver::open(gateway, address).await?;
    let mut state = states.next().await?;
    let _link = links.track();
    let mut was_current = true;
    loop {
        let access = needed_access(gateway);
        let is_current = check_usable(gateway, states.era, &state, states.is_routing_unread, access).is_ok();
        match (was_current, is_current) {
            (true, true) => return Err("the instance is current already".into()),
            (false, true) => return Ok(()),
            (_, false) => was_current = false,
        }
        state = states.next().await?;
    }
}

/// Returns what another instance must read to be followed instead of the store. As long as this instance can't read the
/// routing table either, it need not make its calls for the targets; but a seed takes over from no seed that lacks a part.
pub fn needed_access(gateway: &Gateway) -> StoreAccess {
    let is_routing_unread = gateway.replica().status.routing_unread_since.is_some();
    if is_routing_unread && !gateway.is_seed() { StoreAccess::Targets } else { StoreAccess::BothTables }
}

/// Returns the routing table of the instance at `address`, current or not, or `None` if it has none. Records the
/// suspects that it sends before that.
///
/// # Errors
///
/// The link's error.
pub async fn fetch_routing(gateway: &Gateway, address: SocketAddr) -> Result<Option<TableUpdate>, LinkError> {
    let mut link = Link::open(gateway, address, true).await?;
    let mut decoder = Decoder::default();
    let mut era = StoreEra::default();
    let mut routing_base = link.routing_base.take();
    loop {
        match next_frame(&mut link.recv_stream, &mut decoder).await? {
            Frame::StoreEra(stated) => era = stated,
            Frame::StoreState(state) if state.confirmed_age_ms.is_none() => return Ok(None),
            Frame::StoreRows(rows) if !rows.of_targets && !rows.must_read => {
                return Ok(Some(to_table_update(era, rows)));
            }
            Frame::RoutingRowPatch(patch) => {
                let rows = receive_patch(address, patch, &mut routing_base)?;
                return Ok(Some(to_table_update(era, rows)));
            }
            Frame::StoreRows(rows) if rows.must_read => return Ok(None),
            Frame::StoreState(_)
            | Frame::StoreRows(_)
            | Frame::StoreAnsweredFor(_)
            | Frame::RoutingUnreadFor(_)
            | Frame::RateLimits(_) => {}
            Frame::Paths(entries) => peer_paths::receive(gateway, entries),
            Frame::IdentityKey(key) => suspects::receive_key(gateway, key.into(), false),
            Frame::Suspects(entries) => suspects::receive(gateway, entries),
            _ => return Err("unexpected frame type".into()),
        }
    }
}

/// Receives the states of another instance without its rows.
struct StateReceiver {
    link: Link,
    decoder: Decoder,
    /// Era of the store that the other instance has read last.
    era: StoreEra,
    /// Whether the other instance, or the one that it follows, can't read the routing table.
    is_routing_unread: bool,
}

impl StateReceiver {
    async fn open(gateway: &Gateway, address: SocketAddr) -> Result<Self, LinkError> {
        let link = Link::open(gateway, address, false).await?;
        Ok(Self { link, decoder: Decoder::default(), era: StoreEra::default(), is_routing_unread: false })
    }

    async fn next(&mut self) -> Result<StoreState, LinkError> {
        loop {
            match next_frame(&mut self.link.recv_stream, &mut self.decoder).await? {
                Frame::StoreEra(era) => self.era = era,
                Frame::StoreAnsweredFor(_) => {}
                Frame::RoutingUnreadFor(unread_for) => self.is_routing_unread = unread_for.is_some(),
                Frame::StoreState(state) => return Ok(state),
                _ => return Err("unexpected frame type".into()),
            }
        }
    }
}

async fn next_frame(recv_stream: &mut RecvStream, decoder: &mut Decoder) -> Result<Frame, LinkError> {
    loop {
        if let Some(frame) = decoder.next_frame()? {
            return Ok(frame);
        }
        receive(recv_stream, decoder).await?;
    }
}

/// Returns the age up to which the replica of another instance counts as current.
fn max_age(gateway: &Gateway) -> Duration {
    if gateway.is_seed() { SEED_MAX_CURRENT_AGE } else { MAX_CURRENT_AGE }
}

/// Returns the age of the sender's replica if it still counts as current, and an error otherwise. `era` is the
/// era of the store that the sender has read last, `is_routing_unread` whether it can't read the routing table.
fn check_usable(
    gateway: &Gateway,
    era: StoreEra,
    state: &StoreState,
    is_routing_unread: bool,
    access: StoreAccess,
) -> Result<Duration, LinkError> {
    let known_era = gateway.replica().era();
    if era < known_era {
        return Err(format!("replica not current: store era {era}, later one known: {known_era}").into());
    }
    let age = state.confirmed_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    let age = age.ok_or("the instance has not read the store yet")?;
    // A seed that would follow another one without the store would keep the followers from it, too.
    let access = if gateway.is_seed() { StoreAccess::BothTables } else { access };
    let lacks_table = match access {
        StoreAccess::BothTables => state.is_store_lost || is_routing_unread,
        StoreAccess::Targets => state.is_store_lost,
        StoreAccess::Any => false,
    };
    if age > max_age(gateway) || state.distance > MAX_DISTANCE || lacks_table {
        let StoreState { is_store_lost, distance, .. } = state;
        return Err(format!(
            "replica not current: age {age:?}, distance {distance}, store lost: {is_store_lost}, \
             routing unread: {is_routing_unread}"
        )
        .into());
    }
    Ok(age)
}

/// An open link to an instance that may be followed.
struct Link {
    recv_stream: RecvStream,
    send_stream: SendStream<Bytes>,
    /// Revision of the instance names that the first frame carried.
    sent_revision: u64,
    /// Routing table that the first frames stated.
    routing_base: Option<RoutingBase>,
    _connection: AbortOnDrop,
}

impl Link {
    async fn open(gateway: &Gateway, address: SocketAddr, wants_rows: bool) -> Result<Self, LinkError> {
        let until = tokio::time::Instant::now() + OPEN_TIMEOUT;
        let stream = timeout_at(until, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = timeout_at(until, client::handshake(stream)).await??;
        let connection = AbortOnDrop(tokio::spawn(connection));
        let mut sender = timeout_at(until, sender.ready()).await??;
        let request = Request::post("http://peer/store").body(())?;
        let (response, mut send_stream) = sender.send_request(request, false)?;
        let (sent_revision, instances) = revision_and_names(gateway);
        let (era, subscription) = {
            let replica = gateway.replica();
            let version = |table| replica.position(table).map(|position| position.version);
            let subscription = StoreSubscription {
                protocol_version: PROTOCOL_VERSION,
                instance: gateway.config().instance.clone(),
                routing: version(Table::Routing),
                targets: version(Table::Targets),
                wants_rows,
                instances,
            };
            (replica.era(), subscription)
        };
        let routing_base = gateway.routing_base().filter(|_| wants_rows);
        send_all(&mut send_stream, encode(&Frame::StoreEra(era))).await?;
        if wants_rows {
            let digest = routing_base.as_ref().map(|(_, digest)| *digest);
            send_all(&mut send_stream, encode(&Frame::KnownRouting(digest))).await?;
        }
        send_all(&mut send_stream, encode(&Frame::StoreSubscription(subscription))).await?;
        let recv_stream = timeout_at(until, response).await??.into_body();
        Ok(Self { recv_stream, send_stream, sent_revision, routing_base, _connection: connection })
    }
}

async fn receive(recv_stream: &mut RecvStream, decoder: &mut Decoder) -> Result<(), LinkError> {
    let chunk = timeout(SILENCE_LIMIT, poll_fn(|cx| recv_stream.poll_data(cx))).await?;
    let chunk = chunk.ok_or("the other instance closed the link")??;
    recv_stream.flow_control().release_capacity(chunk.len())?;
    decoder.push(&chunk);
    Ok(())
}

/// State of the replication from one instance.
struct FollowSession<'a> {
    gateway: &'a Gateway,
    address: SocketAddr,
    was_current: bool,
    /// Era of the store to which the versions on the link belong.
    era: StoreEra,
    /// Time since which the store has answered, as the followed instance states; `None` if it doesn't.
    answered_since: Option<MonoTime>,
    /// Time since which the routing table can't be read, as the followed instance states; `None` if it can.
    routing_unread_since: Option<MonoTime>,
    /// Time until which the replica counts as current unless it is confirmed again; `None` before the first state.
    current_until: Option<MonoTime>,
    /// Base of the next patch.
    routing_base: Option<RoutingBase>,
    /// Tables that are too large for the link.
    reads: Arc<TableReads>,
}

impl FollowSession<'_> {
    async fn run(&mut self) -> Result<(), LinkError> {
        let (gateway, reads) = (self.gateway, Arc::clone(&self.reads));
        let Link { mut recv_stream, send_stream, sent_revision, routing_base, _connection } =
            Link::open(gateway, self.address, true).await?;
        self.routing_base = routing_base;
        tokio::select! {
            ended = self.receive_frames(&mut recv_stream) => ended,
            ended = send_updates(gateway, sent_revision, send_stream) => ended,
            never = reads.run(gateway) => match never {},
        }
    }

    async fn receive_frames(&mut self, recv_stream: &mut RecvStream) -> Result<(), LinkError> {
        let mut decoder = Decoder::default();
        loop {
            let frame = match self.current_until {
                None => next_frame(recv_stream, &mut decoder).await?,
                Some(until) => {
                    let until = self.gateway.clock.instant(until);
                    let frame = timeout_at(until, next_frame(recv_stream, &mut decoder)).await;
                    frame.map_err(|_elapsed| "replica not current: age exceeded")??
                }
            };
            match frame {
                Frame::StoreEra(era) => self.era = era,
                Frame::StoreAnsweredFor(ms) => {
                    let answered_for = Duration::from_millis(u64::from(ms));
                    self.answered_since = Some(self.gateway.now_minus(answered_for));
                }
                Frame::RoutingUnreadFor(ms) => {
                    let unread_for = ms.map(|ms| Duration::from_millis(u64::from(ms)));
                    self.routing_unread_since = unread_for.map(|time| self.gateway.now_minus(time));
                }
                Frame::StoreState(state) => self.apply_state(state)?,
                Frame::StoreRows(rows) => self.apply_rows(rows)?,
                Frame::RoutingRowPatch(patch) => {
                    let rows = receive_patch(self.address, patch, &mut self.routing_base)?;
                    self.apply_rows(rows)?;
                }
                Frame::RateLimits(entries) => rate_limits::receive(self.gateway, entries),
                Frame::IdentityKey(key) => suspects::receive_key(self.gateway, key.into(), true),
                Frame::Suspects(entries) => suspects::receive(self.gateway, entries),
                Frame::Paths(entries) => peer_paths::receive(self.gateway, entries),
                _ => return Err("unexpected frame type".into()),
            }
        }
    }

    fn apply_state(&mut self, state: StoreState) -> Result<(), LinkError> {
        let gateway = self.gateway;
        let is_routing_unread = self.routing_unread_since.is_some();
        let age = check_usable(gateway, self.era, &state, is_routing_unread, StoreAccess::Any)?;
        let confirmed_at = gateway.now_minus(age);
        let (previous, status) = {
            let mut replica = gateway.replica();
            let status = ReplicaStatus {
                confirmed_at: Some(confirmed_at),
                is_store_lost: state.is_store_lost,
                routing_unread_since: self.routing_unread_since,
                answered_since: self.answered_since.or(replica.status.answered_since),
                distance: state.distance + 1,
            };
            (std::mem::replace(&mut replica.status, status), status)
        };
        self.current_until = Some(confirmed_at + max_age(gateway));
        if previous.is_store_lost != status.is_store_lost
            || previous.routing_unread_since != status.routing_unread_since
        {
            gateway.notify_followers();
        }
        gateway.known_instances().record_reported_count(gateway.now(), state.instances);
        if !self.was_current {
            self.was_current = true;
            log::info!(
                target: LOG_TARGET,
                "event=source source={} distance={}",
                self.address,
                state.distance + 1
            );
        }
        if state.is_store_lost {
            gateway.service_pools().directory.store_lost(confirmed_at);
        } else if let Some(since) = self.answered_since.or(previous.is_store_lost.then_some(gateway.now())) {
            record_store_heard(gateway, since);
        }
        Ok(())
    }

    fn apply_rows(&self, rows: StoreRows) -> Result<(), LinkError> {
        let table = if rows.of_targets { Table::Targets } else { Table::Routing };
        let lacks_earlier = !rows.is_all && self.reads.is_wanted(self.gateway, table);
        if rows.must_read || lacks_earlier {
            self.reads.request(table, StorePosition { era: self.era, version: rows.version });
            return Ok(());
        }
        match apply_update(self.gateway, table, to_table_update(self.era, rows)) {
            // The next link requests the whole table.
            UpdateResult::SnapshotNeeded => Err("changes of a table that has not been received".into()),
            UpdateResult::Applied | UpdateResult::Outdated => Ok(()),
        }
    }
}

/// Turns a patch from the instance at `address` into rows.
fn receive_patch(
    address: SocketAddr,
    patch: RoutingRowPatch,
    base: &mut Option<RoutingBase>,
) -> Result<StoreRows, LinkError> {
    let rows = routing_patches::to_rows(patch, base);
    if let Err(e) = &rows {
        log::warn!("event=patch-refused source={address} error={:?}", e.to_string());
    }
    Ok(rows?)
}

/// Converts received rows; their versions belong to `era`.
fn to_table_update(era: StoreEra, rows: StoreRows) -> TableUpdate {
    let position = |version: u64| StorePosition { era, version };
    let to_table_row = |r: StoreRow| TableRow { key: r.key, position: position(r.version), value: r.value };
    let received = TableRows {
        rows: rows.rows.into_iter().map(to_table_row).collect(),
        position: position(rows.version),
    };
    if rows.is_all { TableUpdate::Snapshot(received) } else { TableUpdate::Delta(received) }
}

fn revision_and_names(gateway: &Gateway) -> (u64, Vec<InstanceId>) {
    let known = gateway.known_instances();
    (known.revision(), known.names())
}

/// Sends to the followed instance the known instance names whenever there are new ones, and at least every
/// [`NAMES_RESEND_PERIOD`], and changes of targets' rate limits, of suspects and of paths at once.
async fn send_updates(
    gateway: &Gateway,
    sent_revision: u64,
    mut send_stream: SendStream<Bytes>,
) -> Result<(), LinkError> {
    let mut last_sent = (sent_revision, gateway.now());
    let mut sent_limits = SentRateLimits::default();
    let mut limit_changes = gateway.watch_rate_limits();
    let mut sent_suspects = SentSuspects::default();
    let mut suspect_changes = gateway.watch_suspects();
    let mut sent_paths = SentPaths::default();
    let mut path_changes = gateway.watch_paths();
    loop {
        let mut frames = sent_limits.next_frames(gateway, None);
        frames.extend(sent_suspects.next_frames(gateway));
        frames.extend(sent_paths.next_frames(gateway));
        let (revision, instances) = revision_and_names(gateway);
        if revision != last_sent.0 || gateway.now().since(last_sent.1) > NAMES_RESEND_PERIOD {
            frames.push(Frame::KnownInstances(instances));
            last_sent = (revision, gateway.now());
        }
        for frame in frames {
            timeout(OPEN_TIMEOUT, send_all(&mut send_stream, encode(&frame))).await??;
        }
        tokio::select! {
            changed = limit_changes.changed() => changed?,
            changed = suspects::wait_for_change(&mut suspect_changes) => changed?,
            changed = path_changes.changed() => changed?,
            () = sleep(NAMES_CHECK_PERIOD) => {}
        }
    }
}
