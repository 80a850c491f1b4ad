//! Sends invalid requests at a high rate to a running instance and watches that its memory stays bounded and
//! its log readable.

use std::{
    fs,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use arbutusshelf::error::{Error, ErrorKind, Result};
use argh::FromArgs;
use futures::future::join_all;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{MissedTickBehavior, interval, timeout},
};

use crate::client::Caller;

/// Number of connections that send concurrently.
const CONNECTIONS: u64 = 16;

/// Time between two bursts of requests on one connection.
const BURST_PERIOD: Duration = Duration::from_millis(10);

/// Time after which a connection whose burst was not answered is replaced.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Invalid requests after which the connection stays open. Some contain text that would forge a log line or
/// event if it were logged unescaped.
const INVALID_REQUESTS: [&str; 4] = [
    "GET /no-such-service/%0aat_ms=1%20event=forged HTTP/1.1\r\nhost: a\r\n\r\n",
    "GET /hallenplan/x HTTP/1.1\r\nhost: a\r\narbutusshelf-deadline-ms: soon event=forged\r\n\r\n",
    "POST /mietkasse/charges HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}",
    "GET /no-such\u{2028}at_ms=1 HTTP/1.1\r\nhost: a\r\narbutusshelf-request-id: x event=forged\r\n\r\n",
];

/// Send invalid requests to an instance at a constant rate and watch its memory and log.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "flood")]
pub struct Args {
    /// address on which the instance accepts callers
    #[argh(option)]
    callers: SocketAddr,
    /// address of the instance's admin interface
    #[argh(option)]
    admin: SocketAddr,
    /// file to which the instance's standard output is redirected
    #[argh(option)]
    log: PathBuf,
    /// requests per second
    #[argh(option, default = "10_000")]
    per_s: u64,
    /// duration in seconds
    #[argh(option, default = "20")]
    for_s: u64,
}

/// Sends the requests and prints memory, log lines and lines that the log limit dropped.
///
/// # Errors
///
/// [`ErrorKind::AdminUnreachable`] if the metrics can't be read, [`ErrorKind::File`] if the log can't.
pub async fn run(args: &Args) -> Result<()> {
    let before = Sample::take(args).await?;
    println!("| second | requests answered | memory, MB | log lines | lines dropped |");
    println!("|---|---|---|---|---|");
    before.print(0, 0);
    let started = Instant::now();
    let bursts_per_s = CONNECTIONS * 1_000 / BURST_PERIOD.as_millis() as u64;
    let per_burst = args.per_s.div_ceil(bursts_per_s);
    let flood = join_all((0..CONNECTIONS).map(|n| send(args, n, per_burst, started)));
    let samples = print_samples(args, started);
    let (answered, ()) = futures::join!(flood, samples);
    let answered = answered.into_iter().sum::<u64>();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = Sample::take(args).await?;
    after.print(started.elapsed().as_secs(), answered);
    let lines = read_log(args)?;
    let malformed = lines.lines().filter(|line| !is_well_formed(line)).count();
    let rate = answered as f64 / args.for_s as f64;
    println!("{rate:.0} responses per second; {malformed} log lines are malformed");
    Ok(())
}

/// Sends bursts on one connection, replacing it when it ends, and returns the number of responses.
async fn send(args: &Args, number: u64, per_burst: u64, started: Instant) -> u64 {
    let mut answered = 0;
    let mut period = interval(BURST_PERIOD);
    period.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut connection = None;
    let mut sent = number;
    while started.elapsed().as_secs() < args.for_s {
        period.tick().await;
        let stream = match connection.take() {
            Some(stream) => Some(stream),
            None => TcpStream::connect(args.callers).await.ok(),
        };
        let Some(mut stream) = stream else { continue };
        let mut burst = Vec::new();
        for _ in 0..per_burst {
            burst.extend_from_slice(INVALID_REQUESTS[sent as usize % INVALID_REQUESTS.len()].as_bytes());
            sent += 1;
        }
        let exchange = exchange(&mut stream, &burst, per_burst);
        let Ok((count, open)) = timeout(RESPONSE_TIMEOUT, exchange).await else { continue };
        answered += count;
        connection = open.then_some(stream);
    }
    answered
}

/// Sends a burst and reads its responses; returns their number and whether the connection stays open.
async fn exchange(stream: &mut TcpStream, burst: &[u8], expected: u64) -> (u64, bool) {
    if stream.write_all(burst).await.is_err() {
        return (0, false);
    }
    let mut received = Vec::new();
    loop {
        let count = received.windows(9).filter(|w| *w == b"HTTP/1.1 ").count() as u64;
        if count >= expected && received.ends_with(b"}\n") {
            return (count, true);
        }
        match stream.read_buf(&mut received).await {
            Ok(0) | Err(_) => return (count, false),
            Ok(_) => {}
        }
    }
}

/// Prints a sample every 5 s.
async fn print_samples(args: &Args, started: Instant) {
    let mut period = interval(Duration::from_secs(5));
    period.tick().await;
    while started.elapsed().as_secs() + 5 < args.for_s {
        period.tick().await;
        if let Ok(sample) = Sample::take(args).await {
            sample.print(started.elapsed().as_secs(), sample.calls);
        }
    }
}

/// Metrics of the instance and size of its log at one time.
struct Sample {
    resident_bytes: u64,
    calls: u64,
    dropped_lines: u64,
    lines: usize,
}

impl Sample {
    async fn take(args: &Args) -> Result<Self> {
        let unreachable = |e: &dyn std::fmt::Display| Error::new(ErrorKind::AdminUnreachable, e.to_string());
        let received = Caller::default().get(args.admin, "/metrics").await.map_err(|e| unreachable(&e))?;
        let page = String::from_utf8_lossy(&received.body).into_owned();
        let sum = |name: &str| {
            let values = page.lines().filter(|line| line.starts_with(name));
            values.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
        };
        Ok(Self {
            resident_bytes: sum("arbutusshelf_process_resident_bytes"),
            calls: sum("arbutusshelf_calls_total"),
            dropped_lines: sum("arbutusshelf_log_lines_dropped_total"),
            lines: read_log(args)?.lines().count(),
        })
    }

    fn print(&self, second: u64, answered: u64) {
        let megabytes = self.resident_bytes as f64 / 1e6;
        println!("| {second} | {answered} | {megabytes:.1} | {} | {} |", self.lines, self.dropped_lines);
    }
}

fn read_log(args: &Args) -> Result<String> {
    let bytes = fs::read(&args.log)
        .map_err(|e| Error::new(ErrorKind::File, format!("{}: {e}", args.log.display())))?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Returns whether a line starts with its time and has exactly one event that is not the forged one.
fn is_well_formed(line: &str) -> bool {
    let events = line.split(' ').filter(|pair| pair.starts_with("event=")).count();
    line.starts_with("at_ms=") && events == 1 && !line.contains(" event=forged")
}
