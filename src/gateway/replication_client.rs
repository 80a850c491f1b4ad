//! Replicates the store's tables from another instance over an HTTP/2 stream.

use std::{net::SocketAddr, time::Duration};

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
    follow::{MAX_CURRENT_AGE, SEED_MAX_CURRENT_AGE, apply_update, read_from_store},
    platform_adapter::{Table, TableRow, TableRows},
    replica::{ReplicaStatus, TableUpdate},
};
use crate::{
    peer::{
        frame::{Decoder, Frame, PROTOCOL_VERSION, StoreRows, StoreState, StoreSubscription, encode},
        link::{AbortOnDrop, LinkError, send_all},
    },
    units::InstanceId,
};

/// Log target of this module: log lines show it as `module=`, so it stays when the module is renamed.
const LOG_TARGET: &str = "arbutusshelf::gateway::upstream";

/// Most instances that may stand between the followed instance and the store.
const MAX_DISTANCE: u8 = 1;

/// Timeout for opening a link: far more than a round trip within a region, and short enough to skip two
/// unresponsive seeds in 0.4 s.
const OPEN_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without data after which the followed instance counts as lost: a little more than two heartbeats.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);

/// Longest random delay before a follower reads a large table from the store, so that not all followers read
/// at once.
const MAX_TABLE_READ_DELAY: Duration = Duration::from_millis(300);

/// Time between two checks whether new instance names have to be sent to the followed instance.
const NAMES_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time after which all instance names are sent again: a fraction of the time for which the followed instance
/// keeps them.
const NAMES_RESEND_PERIOD: Duration = Duration::from_mins(1);

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
    let mut session = FollowSession { gateway, address, was_current: false };
    let ended = session.run().await;
    ended.map_err(|e| FollowError { was_current: session.was_current, reason: e.to_string() })
}

/// Checks once whether the instance at `address` is current enough to be followed.
///
/// # Errors
///
/// The link's error, or the reason why the instance can't be followed.
pub async fn check(gateway: &Gateway, address: SocketAddr) -> Result<(), LinkError> {
    let mut link = Link::open(gateway, address, false).await?;
    let mut decoder = Decoder::default();
    loop {
        receive(&mut link.recv_stream, &mut decoder).await?;
        match decoder.next_frame()? {
            Some(Frame::StoreState(state)) => return check_usable(gateway, &state).map(|_age| ()),
            Some(_) => return Err("unexpected frame type".into()),
            None => {}
        }
    }
}

/// Returns the age of the sender's replica if it still counts as current, and an error otherwise.
fn check_usable(gateway: &Gateway, state: &StoreState) -> Result<Duration, LinkError> {
    let age = state.confirmed_age_ms.map(|ms| Duration::from_millis(u64::from(ms)));
    let age = age.ok_or("the instance has not read the store yet")?;
    let (limit, accepts_store_lost) =
        if gateway.is_seed() { (SEED_MAX_CURRENT_AGE, false) } else { (MAX_CURRENT_AGE, true) };
    if age > limit || state.distance > MAX_DISTANCE || (state.is_store_lost && !accepts_store_lost) {
        let StoreState { is_store_lost, distance, .. } = state;
        return Err(format!(
            "replica not current: age {age:?}, distance {distance}, store lost: {is_store_lost}"
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
        let subscription = {
            let replica = gateway.replica();
            StoreSubscription {
                protocol_version: PROTOCOL_VERSION,
                instance: gateway.config().instance.clone(),
                routing: replica.version(Table::Routing),
                targets: replica.version(Table::Targets),
                wants_rows,
                instances,
            }
        };
        send_all(&mut send_stream, encode(&Frame::StoreSubscription(subscription))).await?;
        let recv_stream = timeout_at(until, response).await??.into_body();
        Ok(Self { recv_stream, send_stream, sent_revision, _connection: connection })
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
}

impl FollowSession<'_> {
    async fn run(&mut self) -> Result<(), LinkError> {
        let gateway = self.gateway;
        let Link { mut recv_stream, send_stream, sent_revision, _connection } =
            Link::open(gateway, self.address, true).await?;
        tokio::select! {
            ended = self.receive_frames(&mut recv_stream) => ended,
            ended = send_instance_names(gateway, sent_revision, send_stream) => ended,
        }
    }

    async fn receive_frames(&mut self, recv_stream: &mut RecvStream) -> Result<(), LinkError> {
        let mut decoder = Decoder::default();
        loop {
            receive(recv_stream, &mut decoder).await?;
            while let Some(frame) = decoder.next_frame()? {
                match frame {
                    Frame::StoreState(state) => self.apply_state(state)?,
                    Frame::StoreRows(rows) if rows.must_read => self.read_table(rows.of_targets).await?,
                    Frame::StoreRows(rows) => self.apply_rows(rows),
                    _ => return Err("unexpected frame type".into()),
                }
            }
        }
    }

    fn apply_state(&mut self, state: StoreState) -> Result<(), LinkError> {
        let gateway = self.gateway;
        let age = check_usable(gateway, &state)?;
        let confirmed_at = Some(gateway.now_minus(age));
        let previous = {
            let mut replica = gateway.replica();
            let distance = state.distance + 1;
            let status = ReplicaStatus { confirmed_at, is_store_lost: state.is_store_lost, distance };
            std::mem::replace(&mut replica.status, status)
        };
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
        let directory = &mut gateway.service_pools().directory;
        match (previous.is_store_lost, state.is_store_lost) {
            (_, true) => directory.store_lost(),
            (true, false) => directory.store_answered(gateway.now()),
            (false, false) => {}
        }
        Ok(())
    }

    /// Reads from the store a table that is too large to be replicated over the link. A failure ends the
    /// link; the next link requests the table again.
    async fn read_table(&self, of_targets: bool) -> Result<(), LinkError> {
        sleep(MAX_TABLE_READ_DELAY.mul_f64(rand::random_range(0.0..1.0))).await;
        let table = if of_targets { Table::Targets } else { Table::Routing };
        Ok(read_from_store(self.gateway, table).await?)
    }

    fn apply_rows(&self, rows: StoreRows) {
        let table = if rows.of_targets { Table::Targets } else { Table::Routing };
        let to_table_row =
            |r: crate::peer::frame::StoreRow| TableRow { key: r.key, version: r.version, value: r.value };
        let received =
            TableRows { rows: rows.rows.into_iter().map(to_table_row).collect(), version: rows.version };
        apply_update(
            self.gateway,
            table,
            if rows.is_all { TableUpdate::Snapshot(received) } else { TableUpdate::Delta(received) },
        );
    }
}

fn revision_and_names(gateway: &Gateway) -> (u64, Vec<InstanceId>) {
    let known = gateway.known_instances();
    (known.revision(), known.names())
}

/// Sends the known instance names to the followed instance whenever there are new ones, and at least every
/// [`NAMES_RESEND_PERIOD`].
async fn send_instance_names(
    gateway: &Gateway,
    sent_revision: u64,
    mut send_stream: SendStream<Bytes>,
) -> Result<(), LinkError> {
    let mut last_sent = (sent_revision, gateway.now());
    loop {
        sleep(NAMES_CHECK_PERIOD).await;
        let (revision, instances) = revision_and_names(gateway);
        if revision != last_sent.0 || gateway.now().since(last_sent.1) > NAMES_RESEND_PERIOD {
            timeout(OPEN_TIMEOUT, send_all(&mut send_stream, encode(&Frame::KnownInstances(instances))))
                .await??;
            last_sent = (revision, gateway.now());
        }
    }
}
