//! Runs one gateway process from start to graceful shutdown.

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket},
    signal::unix::{Signal, SignalKind, signal},
    time::{sleep, sleep_until, timeout_at},
};

use super::{
    Gateway,
    config::Config,
    follow,
    listen::{self, Audience},
    ready, reload, replication_server,
};
use crate::{
    error::{Error, ErrorKind, Result},
    logging,
};

/// Time between two reports of dropped log lines.
const REPORT_PERIOD: Duration = Duration::from_secs(5);

/// Length of the queue of connections that wait to be accepted. Once it is full, the kernel drops SYN
/// packets, and clients send them again only seconds later.
const BACKLOG: u32 = 1_024;

/// Runs a gateway with the settings file at `path` until its graceful shutdown is complete.
///
/// # Errors
///
/// [`ErrorKind::AddressUnavailable`] if a listener can't be bound, [`ErrorKind::Settings`] if the settings
/// are invalid, and [`ErrorKind::File`] if the settings file can't be read or the signal handlers can't be
/// installed.
pub async fn serve(path: &Path) -> Result<()> {
    // Before anything that takes time: a signal without a handler ends the process.
    let signals = Signals::listen()?;
    let loaded = Config::load(path)?;
    let mut config = loaded.clone();
    logging::start(config.log_lines_per_s, config.log_level, &BTreeMap::new())?;
    let callers = bind("callers_address", &mut config.callers_address)?;
    let ready_listener = bind("ready_address", &mut config.ready_address)?;
    let metrics_listener = bind("metrics_address", &mut config.metrics_address)?;
    let peers = bind("peers_address", &mut config.peers_address)?;
    let mut forward_address = config.forward_address;
    let forwards = forward_address.as_mut().map(|address| bind("forward_address", address)).transpose()?;
    config.forward_address = forward_address;
    let gateway = Gateway::open(config)?;
    log_start(&gateway);
    tokio::spawn(ready::listen(Arc::clone(&gateway), ready_listener));
    tokio::spawn(ready::listen(Arc::clone(&gateway), metrics_listener));
    tokio::spawn(report_log_gaps(Arc::clone(&gateway)));
    tokio::spawn(replication_server::listen(Arc::clone(&gateway), peers));
    tokio::spawn(follow::run(Arc::clone(&gateway)));
    if let Some(listener) = forwards {
        tokio::spawn(listen::listen(Arc::clone(&gateway), listener, Audience::Instances));
    }
    tokio::spawn(listen::listen(Arc::clone(&gateway), callers, Audience::Callers));
    wait_for_shutdown_signal(&gateway, path, loaded, signals).await;
    shut_down(&gateway).await;
    logging::flush();
    Ok(())
}

/// Binds a listener and writes the bound address back, which differs for port 0.
fn bind(field: &str, address: &mut SocketAddr) -> Result<TcpListener> {
    let requested = *address;
    let unavailable =
        |e: std::io::Error| Error::new(ErrorKind::AddressUnavailable, format!("{field} {requested}: {e}"));
    let socket = TcpSocket::new_v4().map_err(unavailable)?;
    socket.set_reuseaddr(true).map_err(unavailable)?;
    socket.bind(requested).map_err(unavailable)?;
    let listener = socket.listen(BACKLOG).map_err(unavailable)?;
    *address = listener.local_addr().map_err(unavailable)?;
    Ok(listener)
}

fn log_start(gateway: &Gateway) {
    let config = gateway.config();
    log::info!(
        "event=started instance={} run={} data_centre={} callers={} ready={} metrics={} peers={} forwards={} store={} place={}",
        config.instance,
        gateway.run_id,
        config.data_centre,
        config.callers_address,
        config.ready_address,
        config.metrics_address,
        config.peers_address,
        config.forward_address.map_or_else(|| "none".to_owned(), |address| address.to_string()),
        config.store_address,
        config.place
    );
}

/// Reports dropped log lines and requests that were not logged, periodically.
async fn report_log_gaps(gateway: Arc<Gateway>) {
    loop {
        sleep(REPORT_PERIOD).await;
        logging::report_dropped();
        gateway.metrics.record_dropped_log_lines();
        let requests = gateway.request_log_limiter.take_skipped_count();
        if requests > 0 {
            log::warn!("event=requests-not-logged requests={requests}");
        }
    }
}

/// Signals that the process handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    fn listen() -> Result<Self> {
        let listen = |kind| signal(kind).map_err(|e| Error::new(ErrorKind::File, format!("signals: {e}")));
        Ok(Self {
            terminate: listen(SignalKind::terminate())?,
            interrupt: listen(SignalKind::interrupt())?,
            hangup: listen(SignalKind::hangup())?,
        })
    }
}

/// Waits for SIGTERM or SIGINT; reloads changed settings meanwhile.
async fn wait_for_shutdown_signal(gateway: &Gateway, path: &Path, loaded: Config, signals: Signals) {
    let Signals { mut terminate, mut interrupt, hangup } = signals;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = reload::run(gateway, path, loaded, hangup) => {}
    }
}

/// Shuts down gracefully: waits until the ingress notices, closes idle caller connections, and waits for
/// requests in progress. Requests that still come meanwhile are refused.
async fn shut_down(gateway: &Gateway) {
    let times = gateway.start_leaving();
    let in_progress = gateway.in_progress();
    log::info!("event=leaving in_progress={}", in_progress.request_count());
    sleep_until(gateway.clock.instant(times.refuse_at)).await;
    gateway.start_refusing();
    let calls_end_at = gateway.clock.instant(times.calls_end_at);
    let calls_ended = timeout_at(calls_end_at, in_progress.wait_requests_ended()).await.is_ok();
    log::info!("event=ending calls_ended={calls_ended} in_progress={}", in_progress.request_count());
    gateway.start_ending();
    sleep(listen::BACKLOG_WAIT).await;
    let process_ends_at = gateway.clock.instant(times.process_ends_at);
    let idle = timeout_at(process_ends_at, in_progress.wait_idle()).await.is_ok();
    log::info!("event=left idle={idle} in_progress={}", in_progress.request_count());
}
