//! Time that an instance adds to a call, against calling the target directly in the same run.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;
use bytes::Bytes;
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{
    Method, Request,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::{
    allocations,
    client::Caller,
    deployment::ANY_PORT,
    gateway::{Gateway, GatewayOptions, SERVICE},
    platform::PlatformStandIn,
    process::{InstanceProcess, InstanceProcessSettings},
    target::TargetStandIn,
};

/// Calls before the first that counts.
const WARM_UP_CALLS: u32 = 200;

/// Connections of callers while processor time is measured.
const CONNECTIONS: u32 = 8;

/// Bytes of a download that nobody reads; more than the buffers of loopback sockets take.
const TRANSFER_BYTES: u32 = 12 << 20;

/// Measure the time that an instance adds to a call, and its processor time and allocations.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Args {
    /// calls on each of the two ways
    #[argh(option, default = "4000")]
    calls: u32,
    /// pairs of calls a second
    #[argh(option, default = "200")]
    rate: u32,
    /// threads of the instance
    #[argh(option, default = "2")]
    workers: usize,
    /// downloads that no caller reads, for memory; 0 for none
    #[argh(option, default = "20")]
    transfers: u32,
    /// count the allocations of an instance in this process instead
    #[argh(switch)]
    allocations: bool,
}

/// Runs the measurement and prints it.
///
/// # Errors
///
/// When a process can't be started or a call fails.
pub async fn run(args: &Args) -> Result<()> {
    if args.allocations { count_allocations(args).await } else { measure(args).await }
}

fn failed(e: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::ConnectionLost, format!("latency run: {e}"))
}

/// One kept connection and the path that it asks for.
struct Line {
    sender: SendRequest<Full<Bytes>>,
    host: SocketAddr,
}

impl Line {
    async fn open(host: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(host).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(failed)?;
        tokio::spawn(driver);
        Ok(Self { sender, host })
    }

    /// Calls once and returns the time to the last byte.
    async fn call(&mut self) -> Result<Duration> {
        let path = format!("/{SERVICE}/x?work_us=0");
        let request = Request::get(path).header("host", self.host.to_string());
        let request = request.body(Full::default()).map_err(failed)?;
        let started = Instant::now();
        self.sender.ready().await.map_err(failed)?;
        let response = self.sender.send_request(request).await.map_err(failed)?;
        if !response.status().is_success() {
            return Err(failed(response.status()));
        }
        response.into_body().collect().await.map_err(failed)?;
        Ok(started.elapsed())
    }
}

/// One direct call and one through the instance, one right after the other.
#[derive(Debug, Clone, Copy)]
struct Pair {
    direct_us: f64,
    through_us: f64,
}

async fn measure(args: &Args) -> Result<()> {
    let platform = PlatformStandIn::start(ANY_PORT, 1).await.map_err(failed)?;
    let target = TargetStandIn::start(ANY_PORT, 16).await.map_err(failed)?;
    let settings = InstanceProcessSettings {
        instance: "entry-01".to_owned(),
        data_centre: "near".to_owned(),
        platform_address: platform.server.address,
        worker_threads: args.workers,
    };
    let instance = InstanceProcess::start(&settings)?;
    submit(&instance, target.server.address).await?;
    let pairs = call_pairs(args, target.server.address, instance.callers).await?;
    print_pairs(args, &pairs);
    print_processor_time(args, &instance).await?;
    print_transfer_memory(args, &instance).await
}

/// Starts downloads, reads none of them, and prints the memory that they hold in the instance.
async fn print_transfer_memory(args: &Args, instance: &InstanceProcess) -> Result<()> {
    let resident = || instance.usage().map_or(0, |u| u.resident_bytes);
    let before = resident();
    let caller = Caller::default();
    let path = format!("/{SERVICE}/x?work_us=0&bytes={TRANSFER_BYTES}");
    let downloads = (0..args.transfers).map(|_| caller.start_get(instance.callers, &path));
    let begun = join_all(downloads).await.into_iter().collect::<std::result::Result<Vec<_>, _>>();
    let begun = begun.map_err(failed)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let each_kib = (resident().saturating_sub(before) >> 10) / u64::from(args.transfers.max(1));
    println!("{} downloads of {TRANSFER_BYTES} bytes that nobody reads: {each_kib} KiB each", begun.len());
    Ok(())
}

async fn submit(instance: &InstanceProcess, target: SocketAddr) -> Result<()> {
    let sheet = format!(
        "[budgets]\nname,value\nmax_instances,1\n\n[instances]\nid,data_centre\nentry-01,near\n\n\
         [services]\nname,deadline_ms\n{SERVICE},5000\n\n\
         [targets]\nservice,id,address,data_centre,slots,max_connections\n{SERVICE},svc-01,{target},near,16,200\n\n\
         [routes]\nservice,method,path_prefix,kind,priority\n{SERVICE},GET,/{SERVICE},idempotent,normal\n"
    );
    let path = "/plan/submit?change-id=latency";
    let body = Bytes::from(sheet);
    arbutusshelf::admin::client::call::<serde_json::Value>(Method::POST, instance.admin, path, None, body)
        .await?;
    Ok(())
}

async fn call_pairs(args: &Args, target: SocketAddr, instance: SocketAddr) -> Result<Vec<Pair>> {
    let (mut direct, mut through) = (Line::open(target).await?, Line::open(instance).await?);
    let mut period = tokio::time::interval(Duration::from_secs(1) / args.rate);
    let mut pairs = Vec::new();
    for number in 0..WARM_UP_CALLS + args.calls {
        period.tick().await;
        let us = |d: Duration| d.as_secs_f64() * 1e6;
        let (direct_us, through_us) = if number % 2 == 0 {
            let direct_us = us(direct.call().await?);
            (direct_us, us(through.call().await?))
        } else {
            let through_us = us(through.call().await?);
            (us(direct.call().await?), through_us)
        };
        if number >= WARM_UP_CALLS {
            pairs.push(Pair { direct_us, through_us });
        }
    }
    Ok(pairs)
}

fn quantile(values: impl Iterator<Item = f64>, part: f64) -> f64 {
    let mut sorted = values.collect::<Vec<_>>();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * part) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn print_pairs(args: &Args, pairs: &[Pair]) {
    println!("{} pairs of calls at {} a second, {} threads", pairs.len(), args.rate, args.workers);
    println!(
        "| quantile | direct us | through us | difference of quantiles us | quantile of differences us |"
    );
    println!("|---|---|---|---|---|");
    for (name, part) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
        let direct_us = quantile(pairs.iter().map(|p| p.direct_us), part);
        let through_us = quantile(pairs.iter().map(|p| p.through_us), part);
        let difference_us = quantile(pairs.iter().map(|p| p.through_us - p.direct_us), part);
        let added_us = through_us - direct_us;
        println!("| {name} | {direct_us:.0} | {through_us:.0} | {added_us:.0} | {difference_us:.0} |");
    }
}

async fn print_processor_time(args: &Args, instance: &InstanceProcess) -> Result<()> {
    let usage = || instance.usage().ok_or_else(|| failed("the system does not tell processor time"));
    let idle_before = usage()?;
    let calls = args.calls * CONNECTIONS;
    let started = Instant::now();
    call_all(instance.callers, calls).await?;
    let (busy, took) = (usage()?.cpu_time.saturating_sub(idle_before.cpu_time), started.elapsed());
    let idle_at = usage()?;
    tokio::time::sleep(took).await;
    let idle = usage()?.cpu_time.saturating_sub(idle_at.cpu_time);
    let per_call_us = busy.saturating_sub(idle).as_secs_f64() * 1e6 / f64::from(calls);
    println!(
        "{calls} calls on {CONNECTIONS} connections in {:.2} s ({:.0} a second): {per_call_us:.1} us of processor \
         time a call ({} ms busy, {} ms idle in the same time); {} KiB resident",
        took.as_secs_f64(),
        f64::from(calls) / took.as_secs_f64(),
        busy.as_millis(),
        idle.as_millis(),
        usage()?.resident_bytes >> 10,
    );
    Ok(())
}

async fn call_all(address: SocketAddr, calls: u32) -> Result<()> {
    let callers = (0..CONNECTIONS).map(|_| async move {
        let mut line = Line::open(address).await?;
        for _ in 0..calls / CONNECTIONS {
            line.call().await?;
        }
        Ok::<_, Error>(())
    });
    join_all(callers).await.into_iter().collect()
}

/// Runs the instance on marked threads of this process, its target and callers on others.
async fn count_allocations(args: &Args) -> Result<()> {
    let target = TargetStandIn::start(ANY_PORT, 16).await.map_err(failed)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.workers)
        .on_thread_start(allocations::count_this_thread)
        .enable_all()
        .build()
        .map_err(failed)?;
    let options = GatewayOptions { targets: 0, slots: 16, ..GatewayOptions::default() };
    let address = target.server.address;
    let started = runtime.spawn(async move { crate::gateway::start_instance(&options, &[address]).await });
    let (kernel, task) = started.await.map_err(failed)??;
    let gateway = Gateway { kernel, task, targets: vec![target] };
    let mut line = Line::open(gateway.callers()).await?;
    for _ in 0..WARM_UP_CALLS {
        line.call().await?;
    }
    let before = allocations::totals();
    for _ in 0..args.calls {
        line.call().await?;
    }
    let after = allocations::totals();
    let per_call = |from: u64, to: u64| (to - from) as f64 / f64::from(args.calls);
    println!(
        "{} calls, one at a time: {:.1} allocations and {:.0} bytes a call",
        args.calls,
        per_call(before.allocations, after.allocations),
        per_call(before.bytes, after.bytes)
    );
    runtime.shutdown_background();
    Ok(())
}
