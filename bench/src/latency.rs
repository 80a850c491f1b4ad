//! Measures the latency that an instance adds to a call, compared with calls sent directly to the target in
//! the same run, and its CPU time, memory and allocations.

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
    platform::PlatformStandIn,
    process::{InstanceProcess, InstanceProcessSettings},
    target::TargetStandIn,
    test_instance::{SERVICE, TestInstance, TestInstanceOptions},
};

/// Number of calls before the first that is measured.
const WARM_UP_CALLS: u32 = 200;

/// Number of callers' connections while CPU time is measured.
const CONNECTIONS: u32 = 8;

/// Size in bytes of a download that no caller reads; larger than what the buffers of loopback sockets hold.
const TRANSFER_BYTES: u32 = 12 << 20;

/// Measure the latency that an instance adds to a call, its CPU time, memory and allocations.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
pub struct Args {
    /// calls sent directly, and as many through the instance
    #[argh(option, default = "4000")]
    calls: u32,
    /// pairs of calls per second
    #[argh(option, default = "200")]
    rate: u32,
    /// threads with which the instance serves requests
    #[argh(option, default = "2")]
    workers: usize,
    /// downloads that no caller reads while memory is measured; 0 for none
    #[argh(option, default = "20")]
    transfers: u32,
    /// only count the allocations of an instance in this process
    #[argh(switch)]
    allocations: bool,
}

/// Runs the measurements and prints their results.
///
/// # Errors
///
/// If a process can't be started or a call fails.
pub async fn run(args: &Args) -> Result<()> {
    if args.allocations { count_allocations(args).await } else { measure(args).await }
}

fn failed(e: impl std::fmt::Display) -> Error {
    Error::new(ErrorKind::ConnectionLost, format!("latency measurement: {e}"))
}

/// Persistent HTTP/1.1 connection on which calls are sent one after the other.
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    host: SocketAddr,
}

impl Connection {
    async fn open(host: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(host).await.map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(failed)?;
        tokio::spawn(driver);
        Ok(Self { sender, host })
    }

    /// Sends one call and returns the time until the last byte of its response.
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

/// Latencies of one call sent directly to the target and one through the instance, sent one right after the
/// other.
#[derive(Debug, Clone, Copy)]
struct LatencyPair {
    direct_us: f64,
    proxied_us: f64,
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
    print_cpu_time(args, &instance).await?;
    print_transfer_memory(args, &instance).await
}

/// Starts downloads without reading their bodies, and prints the memory that each takes in the instance.
async fn print_transfer_memory(args: &Args, instance: &InstanceProcess) -> Result<()> {
    let resident = || instance.usage().map_or(0, |u| u.resident_bytes);
    let before = resident();
    let caller = Caller::default();
    let path = format!("/{SERVICE}/x?work_us=0&bytes={TRANSFER_BYTES}");
    let downloads = (0..args.transfers).map(|_| caller.start_get(instance.callers, &path));
    let started = join_all(downloads).await.into_iter().collect::<std::result::Result<Vec<_>, _>>();
    let started = started.map_err(failed)?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let each_kib = (resident().saturating_sub(before) >> 10) / u64::from(args.transfers.max(1));
    println!("{} downloads of {TRANSFER_BYTES} bytes that nobody reads: {each_kib} KiB each", started.len());
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
    arbutusshelf::admin::client::send_request::<serde_json::Value>(
        Method::POST,
        instance.admin,
        path,
        None,
        body,
    )
    .await?;
    Ok(())
}

/// Sends pairs of calls at a constant rate; which call of a pair is sent first alternates.
async fn call_pairs(args: &Args, target: SocketAddr, instance: SocketAddr) -> Result<Vec<LatencyPair>> {
    let (mut direct, mut proxied) = (Connection::open(target).await?, Connection::open(instance).await?);
    let mut period = tokio::time::interval(Duration::from_secs(1) / args.rate);
    let mut pairs = Vec::new();
    for number in 0..WARM_UP_CALLS + args.calls {
        period.tick().await;
        let us = |d: Duration| d.as_secs_f64() * 1e6;
        let (direct_us, proxied_us) = if number % 2 == 0 {
            let direct_us = us(direct.call().await?);
            (direct_us, us(proxied.call().await?))
        } else {
            let proxied_us = us(proxied.call().await?);
            (us(direct.call().await?), proxied_us)
        };
        if number >= WARM_UP_CALLS {
            pairs.push(LatencyPair { direct_us, proxied_us });
        }
    }
    Ok(pairs)
}

fn quantile(values: impl Iterator<Item = f64>, fraction: f64) -> f64 {
    let mut sorted = values.collect::<Vec<_>>();
    sorted.sort_by(f64::total_cmp);
    let index = (sorted.len() as f64 * fraction) as usize;
    sorted.get(index.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

fn print_pairs(args: &Args, pairs: &[LatencyPair]) {
    println!("{} pairs of calls at {} per second, {} threads", pairs.len(), args.rate, args.workers);
    println!(
        "| quantile | direct us | proxied us | difference of quantiles us | quantile of differences us |"
    );
    println!("|---|---|---|---|---|");
    for (name, fraction) in [("p50", 0.5), ("p90", 0.9), ("p99", 0.99)] {
        let direct_us = quantile(pairs.iter().map(|p| p.direct_us), fraction);
        let proxied_us = quantile(pairs.iter().map(|p| p.proxied_us), fraction);
        let difference_us = quantile(pairs.iter().map(|p| p.proxied_us - p.direct_us), fraction);
        let added_us = proxied_us - direct_us;
        println!("| {name} | {direct_us:.0} | {proxied_us:.0} | {added_us:.0} | {difference_us:.0} |");
    }
}

/// Prints the CPU time per call: that used while busy, less that used while idle for the same time.
async fn print_cpu_time(args: &Args, instance: &InstanceProcess) -> Result<()> {
    let usage = || instance.usage().ok_or_else(|| failed("the CPU time of the instance can't be read"));
    let busy_start = usage()?;
    let calls = args.calls * CONNECTIONS;
    let started = Instant::now();
    call_all(instance.callers, calls).await?;
    let (busy, took) = (usage()?.cpu_time.saturating_sub(busy_start.cpu_time), started.elapsed());
    let idle_start = usage()?;
    tokio::time::sleep(took).await;
    let idle = usage()?.cpu_time.saturating_sub(idle_start.cpu_time);
    let per_call_us = busy.saturating_sub(idle).as_secs_f64() * 1e6 / f64::from(calls);
    println!(
        "{calls} calls on {CONNECTIONS} connections in {:.2} s ({:.0} per second): {per_call_us:.1} us of CPU \
         time per call ({} ms busy, {} ms idle in the same time); {} KiB resident",
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
        let mut connection = Connection::open(address).await?;
        for _ in 0..calls / CONNECTIONS {
            connection.call().await?;
        }
        Ok::<_, Error>(())
    });
    join_all(callers).await.into_iter().collect()
}

/// Counts the allocations of an instance that runs on its own threads in this process; its target and callers
/// run on others.
async fn count_allocations(args: &Args) -> Result<()> {
    let target = TargetStandIn::start(ANY_PORT, 16).await.map_err(failed)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.workers)
        .on_thread_start(allocations::count_this_thread)
        .enable_all()
        .build()
        .map_err(failed)?;
    let options = TestInstanceOptions { targets: 0, slots: 16, ..TestInstanceOptions::default() };
    let address = target.server.address;
    let started =
        runtime.spawn(async move { crate::test_instance::start_instance(&options, &[address]).await });
    let (kernel, task) = started.await.map_err(failed)??;
    let instance = TestInstance { kernel, task, targets: vec![target] };
    let mut connection = Connection::open(instance.callers()).await?;
    for _ in 0..WARM_UP_CALLS {
        connection.call().await?;
    }
    let before = allocations::totals();
    for _ in 0..args.calls {
        connection.call().await?;
    }
    let after = allocations::totals();
    let per_call = |from: u64, to: u64| (to - from) as f64 / f64::from(args.calls);
    println!(
        "{} calls, one at a time: {:.1} allocations and {:.0} bytes per call",
        args.calls,
        per_call(before.allocations, after.allocations),
        per_call(before.bytes, after.bytes)
    );
    runtime.shutdown_background();
    Ok(())
}
