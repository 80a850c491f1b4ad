//! Case 2: a gateway that has got SIGTERM goes on taking requests until the process ends, and breaks them off.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::Duration,
};

use kit::{
    Gateway, Ids, Record, Route, Seen, Store, finish, put_entry, put_manifest, read_request, serve, set_up,
    sleep_ms,
};

const WORKERS: usize = 10;
const SLOTS: u32 = 6;
/// Gateways of the zone, of which two are stopped, one after the other.
const GATEWAYS: usize = 3;
/// Time between the two signals.
const GAP_S: f64 = 1.0;
const GRACE_S: f64 = 6.0;
/// `lossSlackS`.
const LOSS_SLACK_S: f64 = 0.2;
/// Requests that are sent later than this after the signal are not excused by the end of the grace period.
const EXCUSED_UNTIL_S: f64 = 3.0;
/// Rounds of planned restarts, and the time from one to the next.
const ROUNDS: usize = 6;
const ROUND_S: f64 = 11.0;
/// Consumers; each has one request after the other.
const CONSUMERS: usize = 36;
const PAUSE_MS: u64 = 60;
/// Time budget of `lesson-bookings` in the grown deployment of Magnolia Ridge, and the time that its requests take:
/// 460 ms on average, about seven times as long for three in a hundred.
const BUDGET_MS: u64 = 6_000;
const WORK_MS: [u64; 3] = [340, 400, 460];
const LONG_WORK_MS: u64 = 2_700;
const LONG_ONE_IN: u32 = 33;
const RUN_S: f64 = 3.0 + ROUNDS as f64 * ROUND_S;

#[derive(Clone, Copy, Debug)]
struct Run {
    /// When the run ended; `None` while the worker is at work.
    ended: Option<f64>,
}

type Runs = Arc<Mutex<BTreeMap<String, Run>>>;

struct Worker {
    id: String,
    running: AtomicU32,
    count: Arc<AtomicU32>,
    runs: Runs,
    record: Record,
}

impl Worker {
    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let load = format!("X-Worker-Load: {},0,{SLOTS},100\r\n", self.running.load(Ordering::Relaxed));
            if request.target == "/healthz" {
                let id = &self.id;
                let answer =
                    format!("HTTP/1.1 200 OK\r\nX-Worker-Id: {id}\r\n{load}Content-Length: 0\r\n\r\n");
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let id = request.header("x-attempt-id").unwrap_or("").to_owned();
            let is_meant = request.header("x-expect-worker") == Some(&self.id);
            if !is_meant || self.running.load(Ordering::Relaxed) >= SLOTS {
                let status = if is_meant { "503 Service Unavailable" } else { "421 Misdirected Request" };
                let answer = format!(
                    "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\n{load}Content-Length: 0\r\n\r\n"
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            let number = self.count.fetch_add(1, Ordering::Relaxed);
            let usual_ms = WORK_MS[number as usize % WORK_MS.len()];
            let work_ms = if number % LONG_ONE_IN == 0 { LONG_WORK_MS } else { usual_ms };
            self.runs.lock().unwrap().insert(id.clone(), Run { ended: None });
            self.record.line(&format!("worker {} runs {id}", self.id));
            sleep_ms(work_ms);
            self.running.fetch_sub(1, Ordering::Relaxed);
            if let Some(run) = self.runs.lock().unwrap().get_mut(&id) {
                run.ended = Some(self.record.now());
            }
            let body = format!("done {id}\n");
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: 3e1b.07\r\n{load}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(answer.as_bytes())?;
        }
        Ok(())
    }
}

/// The platform's entry: asks each node for readiness once a second, takes it out after two misses, and uses all of the
/// zone's nodes if fewer than half are in rotation.
struct Entry {
    in_rotation: Vec<AtomicBool>,
}

impl Entry {
    fn watch(self: &Arc<Self>, index: usize, gateway: Gateway, record: Record) {
        let entry = Arc::clone(self);
        thread::spawn(move || {
            let mut misses = 0;
            loop {
                let is_ready = gateway.is_ready();
                misses = if is_ready { 0 } else { misses + 1 };
                let was = entry.in_rotation[index].load(Ordering::Relaxed);
                let is = is_ready || (was && misses < 2);
                if was != is {
                    let change = if is { "in rotation again" } else { "out of rotation" };
                    record.line(&format!("entry: {} is {change}", gateway.name));
                    entry.in_rotation[index].store(is, Ordering::Relaxed);
                }
                sleep_ms(1_000);
            }
        });
    }

    /// Returns the node for a consumer's next connection: by a hash of the consumer and its try.
    fn choose(&self, hash: usize) -> usize {
        let rotation = self.in_rotation.iter().map(|r| r.load(Ordering::Relaxed)).collect::<Vec<_>>();
        let ready = (0..rotation.len()).filter(|i| rotation[*i]).collect::<Vec<_>>();
        if ready.len() * 2 < rotation.len() { hash % rotation.len() } else { ready[hash % ready.len()] }
    }
}

/// One consumer attempt.
struct Attempt {
    id: String,
    gateway: usize,
    /// When its last byte was sent; `None` if it was not sent.
    sent: Option<f64>,
    ended: f64,
    seen: Seen,
}

fn main() {
    let store = Store::start();
    let (deployment, is_troubled) = set_up(store.address, GRACE_S);
    let record = deployment.record.clone();
    let runs = Runs::default();
    let count = Arc::new(AtomicU32::new(0));
    for i in 0..WORKERS {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let id = format!("i-{i:08x}");
        put_entry(&store, &id, listener.local_addr().unwrap(), "tuition-desk", SLOTS, "ready", 1);
        let worker = Worker {
            id,
            running: AtomicU32::new(0),
            count: Arc::clone(&count),
            runs: Arc::clone(&runs),
            record: record.clone(),
        };
        serve(listener, move |stream| {
            let _ended = worker.serve(stream);
        });
    }
    put_manifest(
        &store,
        3,
        &[Route {
            prefix: "/booking/",
            kind: "non_idempotent",
            service: "tuition-desk",
            timeout_s: 6.0,
            objective_s: 1.2,
            max_attempts: 3,
        }],
    );
    let gateways = (1..=GATEWAYS).map(|n| Gateway::new(&format!("front-ost-c-{n}"))).collect::<Vec<_>>();
    let seeds = gateways.iter().map(|g| g.peers).collect::<Vec<_>>();
    let mut processes = gateways.iter().map(|g| g.start(&deployment, &seeds, true)).collect::<Vec<_>>();
    for gateway in &gateways {
        gateway.wait_ready(&deployment);
    }
    sleep_ms(4_000);
    let in_rotation = (0..GATEWAYS).map(|_| AtomicBool::new(true)).collect();
    let entry = Arc::new(Entry { in_rotation });
    for (i, gateway) in gateways.iter().enumerate() {
        entry.watch(i, gateway.clone(), record.clone());
    }

    let ids = Arc::new(Ids::default());
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let started = record.now();
    let consumers = (0..CONSUMERS).map(|n| {
        let (ids, attempts, entry) = (Arc::clone(&ids), Arc::clone(&attempts), Arc::clone(&entry));
        let (record, gateways) = (record.clone(), gateways.clone());
        thread::spawn(move || {
            let mut connection = n;
            while record.now() - started < RUN_S {
                let id = ids.next();
                let gateway = entry.choose(connection);
                connection += 1;
                let body = format!("lesson {id}");
                let request = format!(
                    "POST /booking/{n} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline-Ms: {BUDGET_MS}\r\nContent-Length: {}\r\n\r\n{body}",
                    kit::HOST,
                    body.len()
                );
                let mut sent = None;
                record.line(&format!("consumer {n} sends {id} to {}", gateways[gateway].name));
                let patience = Duration::from_millis(BUDGET_MS + 500);
                let seen = kit::send(gateways[gateway].callers, request.as_bytes(), patience, || {
                    sent = Some(record.now());
                });
                let text = seen.status().map_or_else(|| format!("{seen:?}"), |status| status.to_string());
                record.line(&format!("consumer {n} gets {text} for {id}"));
                let attempt = Attempt { id, gateway, sent, ended: record.now(), seen };
                attempts.lock().unwrap().push(attempt);
                sleep_ms(PAUSE_MS);
            }
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    sleep_ms(3_000);
    // Signals that each gateway has got.
    let mut signals = vec![Vec::new(); GATEWAYS];
    for round in 0..if is_troubled { ROUNDS } else { 0 } {
        let begun = record.now();
        let stopped = [round % GATEWAYS, (round + 1) % GATEWAYS];
        for (n, i) in stopped.into_iter().enumerate() {
            if n > 0 {
                sleep_ms((GAP_S * 1_000.0) as u64);
            }
            signals[i].push(record.now());
            record.line(&format!("SIGTERM to {}", gateways[i].name));
            kit::signal(processes[i], kit::SIGTERM);
        }
        // The platform starts a node again once its process has ended.
        let mut left = stopped.to_vec();
        while !left.is_empty() {
            left.retain(|i| {
                let has_ended = kit::has_ended(&deployment.processes, processes[*i]);
                if has_ended {
                    let after = record.now() - signals[*i].last().unwrap();
                    record.say(&format!("{} ended {after:.2} s after its SIGTERM", gateways[*i].name));
                    processes[*i] = gateways[*i].start(&deployment, &seeds, false);
                }
                !has_ended
            });
            sleep_ms(5);
        }
        sleep_ms(((begun + ROUND_S - record.now()).max(0.0) * 1_000.0) as u64);
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    sleep_ms(1_500);
    let runs = runs.lock().unwrap();
    let attempts = attempts.lock().unwrap();
    let answered = attempts.iter().filter(|a| a.seen.status() == Some(200)).count();
    record.say(&format!("attempts: {}, answered with success: {answered}", attempts.len()));
    let (mut lost, mut excused) = (0, 0);
    for Attempt { id, gateway, sent, ended, seen } in attempts.iter() {
        let (Some(sent), Seen::Closed { .. }) = (sent, seen) else { continue };
        let before = signals[*gateway].iter().copied().filter(|signal| signal <= ended);
        let Some(signal) = before.reduce(f64::max) else { continue };
        let is_around = *ended <= signal + GRACE_S + 1.0;
        let run = runs.get(id);
        // Read as a whole and passed on to a worker, or the connection ended later than the slack after the last byte.
        let is_read = run.is_some() || ended - sent > LOSS_SLACK_S;
        let has_time = ended - sent < BUDGET_MS as f64 / 1_000.0;
        if !is_around || !is_read || !has_time {
            continue;
        }
        let was_at_work = run.is_some_and(|r| r.ended.is_none_or(|end| end > *ended));
        let in_last_sixth = *ended >= signal + GRACE_S * 5.0 / 6.0;
        if was_at_work && in_last_sixth && sent - signal <= EXCUSED_UNTIL_S {
            excused += 1;
            continue;
        }
        lost += 1;
        record.say(&format!(
            "LOST: {id} was sent {:.2} s after the SIGTERM of {}, run {run:.2?}, and its connection closed {:.2} s after the SIGTERM",
            sent - signal, gateways[*gateway].name, ended - signal
        ));
    }
    record.say(&format!("broken off: {lost}, besides {excused} that are excused"));
    if answered < 200 {
        eprintln!("too few requests were served");
        deployment.processes.end_all();
        std::process::exit(2);
    }
    finish(&deployment, lost > 0)
}
