//! Runs one instance from its start to a graceful shutdown.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    time::{interval, sleep},
};

use crate::{
    admin, claims,
    error::{Error, ErrorKind, Result},
    kernel::Kernel,
    logging, observe, peer, plan, proxy,
    settings::Config,
};

/// Time between two sweeps that close the idle connections to targets that can no longer be reused.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Bound listening sockets of one instance.
#[derive(Debug)]
pub struct Listeners {
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Binds the three addresses in `config`, and replaces port 0 in them by the port that was bound.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::AddressUnavailable`] with the field and the address.
    pub async fn bind(config: &mut Config) -> Result<Self> {
        let callers = bind("callers_address", &mut config.callers_address).await?;
        let admin = bind("admin_address", &mut config.admin_address).await?;
        let peers = bind("peers_address", &mut config.peers_address).await?;
        Ok(Self { callers, admin, peers })
    }
}

async fn bind(field: &str, address: &mut SocketAddr) -> Result<TcpListener> {
    let unavailable =
        |e: std::io::Error| Error::new(ErrorKind::AddressUnavailable, format!("{field} {address}: {e}"));
    let listener = TcpListener::bind(*address).await.map_err(unavailable)?;
    *address = listener.local_addr().map_err(unavailable)?;
    Ok(listener)
}

/// Runs an instance until its shutdown is complete.
///
/// # Errors
///
/// [`ErrorKind::AddressUnavailable`] if an address can't be bound, [`ErrorKind::Settings`] if logging or the
/// platform driver can't be started.
pub async fn serve(mut config: Config) -> Result<()> {
    logging::start(config.log_lines_per_s, config.log_level, &config.log_levels)?;
    let listeners = Listeners::bind(&mut config).await?;
    let kernel = Kernel::open(config)?;
    let signals = tokio::spawn(leave_on_signal(Arc::clone(&kernel)));
    run(kernel, listeners).await;
    signals.abort();
    logging::flush();
    Ok(())
}

/// Runs an instance on bound sockets until its shutdown is complete.
pub async fn run(kernel: Arc<Kernel>, listeners: Listeners) {
    log_start(&kernel);
    let admin = tokio::spawn(admin::listen(Arc::clone(&kernel), listeners.admin));
    let peers = tokio::spawn(peer::receive::listen(Arc::clone(&kernel), listeners.peers));
    let links = tokio::spawn(peer::link::maintain_links(Arc::clone(&kernel)));
    let claim_sweep = tokio::spawn(claims::sweep::run(Arc::clone(&kernel)));
    let polls = tokio::spawn(plan::poll::run(Arc::clone(&kernel)));
    let probe_requests = kernel.pools.take_probe_requests();
    let probes =
        probe_requests.map(|requests| tokio::spawn(proxy::probe::run(Arc::clone(&kernel), requests)));
    let counts = tokio::spawn(observe::run_counting(Arc::clone(&kernel)));
    let uploads = tokio::spawn(observe::run_uploads(Arc::clone(&kernel)));
    let callers = tokio::spawn(proxy::listen(Arc::clone(&kernel), listeners.callers));
    let connection_sweep = tokio::spawn(sweep_connections(Arc::clone(&kernel)));
    kernel.wait_leaving().await;
    // The instance that takes this one's place in the plan takes over its probes of targets.
    if let Some(probes) = probes {
        probes.abort();
    }
    sleep(Duration::from_millis(kernel.config.balancer_lag_ms)).await;
    kernel.refuse_new_requests();
    log::info!("event=refusing-new in_progress={}", kernel.request_count());
    kernel.wait_idle().await;
    callers.abort();
    counts.abort();
    uploads.abort();
    observe::flush_roll_ups(&kernel).await;
    for task in [admin, peers, links, polls, claim_sweep, connection_sweep] {
        task.abort();
    }
    log::info!("event=left run={}", kernel.run_id);
}

fn log_start(kernel: &Kernel) {
    let config = &kernel.config;
    log::info!(
        "event=started instance={} run={} data_centre={} callers={} admin={} peers={} platform={}",
        config.instance,
        kernel.run_id,
        config.data_centre,
        config.callers_address,
        config.admin_address,
        config.peers_address,
        kernel.platform.name
    );
}

/// Starts the shutdown at the first SIGTERM or SIGINT; logs the requests in progress at the second and third,
/// and exits at the third.
async fn leave_on_signal(kernel: Arc<Kernel>) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        log::error!("event=signals-unavailable");
        return;
    };
    next_signal(&mut terminate, &mut interrupt).await;
    kernel.leave();
    next_signal(&mut terminate, &mut interrupt).await;
    log_in_progress(&kernel, "second-signal", 1);
    next_signal(&mut terminate, &mut interrupt).await;
    log_in_progress(&kernel, "cut-off", 0);
    logging::flush();
    std::process::exit(1);
}

/// Logs every request in progress, which the next signal, or this one, aborts.
fn log_in_progress(kernel: &Kernel, event: &str, signals_left: u32) {
    let requests = kernel.requests_in_progress();
    let connections = kernel.caller_connection_count();
    log::warn!(
        "event={event} in_progress={} caller_connections={connections} signals_to_cut_off={signals_left}",
        requests.len()
    );
    let now = kernel.clock.now();
    for request in &requests {
        log::warn!("event={event}-request {request} age_ms={}", request.age(now).as_millis());
    }
}

async fn sweep_connections(kernel: Arc<Kernel>) {
    let mut period = interval(SWEEP_PERIOD);
    loop {
        period.tick().await;
        kernel.connections.close_expired();
    }
}

async fn next_signal(terminate: &mut Signal, interrupt: &mut Signal) {
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
