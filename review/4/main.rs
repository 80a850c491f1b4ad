//! Case 4: a worker whose entry was removed while the store turned the seeds away is used for two seconds more, by
//! gateways that the store has served all the time.

#[path = "../standins/kit.rs"]
#[allow(dead_code)]
mod kit;

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use kit::{
    Gateway, Ids, Record, Route, Store, finish, put_entry, put_manifest, read_request, serve, set_up,
    sleep_ms,
};

/// Gateways; the store turns away the seeds among them (0.33 of them; at most 0.35 may be).
const GATEWAYS: usize = 9;
const SEEDS: usize = 3;
/// `drainS`.
const DRAIN_S: f64 = 2.0;
const WORKERS: usize = 10;
const SLOTS: u32 = 3;
const WORK: Duration = Duration::from_millis(60);
/// Rounds: the store turns machines away for 5 s while two workers are replaced, one second apart.
const ROUNDS: usize = 5;
const TROUBLE_S: f64 = 5.0;
const ROUND_S: f64 = 12.0;
const REPLACED_AT_S: [f64; 2] = [0.2, 1.2];
/// Time for which a worker that has left the store goes on serving.
const LAST_S: f64 = 6.0;
const CONSUMERS: usize = 18;
const PAUSE_MS: u64 = 60;
const RUN_S: f64 = 2.0 + ROUNDS as f64 * ROUND_S;

struct Worker {
    id: String,
    address: SocketAddr,
    running: AtomicU32,
    has_ended: AtomicBool,
    /// Requests that have reached it, with the time.
    arrivals: Mutex<Vec<(String, f64)>>,
    record: Record,
}

impl Worker {
    fn start(number: usize, record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
        let worker = Arc::new(Self {
            id: format!("i-{number:08x}"),
            address: listener.local_addr().unwrap(),
            running: AtomicU32::new(0),
            has_ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            record: record.clone(),
        });
        let shared = Arc::clone(&worker);
        serve(listener, move |stream| {
            let _ended = shared.serve(stream);
        });
        worker
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            if self.has_ended.load(Ordering::Relaxed) {
                return Ok(());
            }
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
            self.arrivals.lock().unwrap().push((id.clone(), self.record.now()));
            self.record.line(&format!("worker {} runs {id}", self.id));
            thread::sleep(WORK);
            self.running.fetch_sub(1, Ordering::Relaxed);
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

fn sleep_until(record: &Record, at: f64) {
    sleep_ms(((at - record.now()).max(0.0) * 1_000.0) as u64);
}

fn main() {
    let store = Store::start();
    let (deployment, is_troubled) = set_up(store.address, 6.0);
    let record = deployment.record.clone();
    let next_worker = AtomicUsize::new(0);
    let start_worker = || {
        let worker = Worker::start(next_worker.fetch_add(1, Ordering::Relaxed), &record);
        put_entry(&store, &worker.id, worker.address, "hallenplan", SLOTS, "ready", 1);
        record.line(&format!("worker {} is ready: acknowledged by the store", worker.id));
        worker
    };
    let mut workers = (0..WORKERS).map(|_| start_worker()).collect::<Vec<_>>();
    put_manifest(
        &store,
        3,
        &[Route {
            prefix: "/plan/",
            kind: "non_idempotent",
            service: "hallenplan",
            timeout_s: 2.5,
            objective_s: 0.3,
            max_attempts: 3,
        }],
    );
    let gateways = (0..GATEWAYS).map(|n| Gateway::new(&format!("front-{n}"))).collect::<Vec<_>>();
    let seeds = gateways.iter().take(SEEDS).map(|g| g.peers).collect::<Vec<_>>();
    let mut refusals = Vec::new();
    for (n, gateway) in gateways.iter().enumerate() {
        let (address, refuses) = store.open_refusable();
        if n < SEEDS {
            refusals.push(refuses);
        }
        gateway.start_with_store(&deployment, address, &seeds, true);
    }
    for gateway in &gateways {
        gateway.wait_ready(&deployment);
    }
    sleep_ms(5_000);

    // Consumers use the gateways that the store never turns away.
    let ids = Arc::new(Ids::default());
    let sent = Arc::new(Mutex::new(BTreeMap::new()));
    let served = Arc::new(AtomicU32::new(0));
    let started = record.now();
    let consumers = (0..CONSUMERS).map(|n| {
        let (ids, sent, served) = (Arc::clone(&ids), Arc::clone(&sent), Arc::clone(&served));
        let (record, gateway) = (record.clone(), gateways[SEEDS + n % (GATEWAYS - SEEDS)].clone());
        thread::spawn(move || {
            while record.now() - started < RUN_S {
                let id = ids.next();
                let request = format!(
                    "POST /plan/{n} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {id}\r\nX-Request-Deadline-Ms: 2500\r\nContent-Length: 0\r\n\r\n",
                    kit::HOST
                );
                record.line(&format!("consumer sends {id} to {}", gateway.name));
                sent.lock().unwrap().insert(id.clone(), (gateway.name.clone(), record.now()));
                let seen = kit::send(gateway.callers, request.as_bytes(), Duration::from_secs(3), || {});
                let text = seen.status().map_or_else(|| format!("{seen:?}"), |status| status.to_string());
                record.line(&format!("consumer gets {text} for {id}"));
                served.fetch_add(u32::from(seen.status() == Some(200)), Ordering::Relaxed);
                sleep_ms(PAUSE_MS);
            }
        })
    });
    let consumers = consumers.collect::<Vec<_>>();
    // Workers that have left, and when the store acknowledged that.
    let mut left = Vec::new();
    for round in 0..ROUNDS {
        let begun = started + 2.0 + round as f64 * ROUND_S;
        sleep_until(&record, begun);
        if is_troubled {
            record.line("the store turns the seeds away");
            refusals.iter().for_each(|r| r.store(true, Ordering::Relaxed));
        }
        for at in REPLACED_AT_S {
            sleep_until(&record, begun + at);
            workers.push(start_worker());
            let worker = workers.remove(0);
            store.remove("servers", &worker.id);
            record.line(&format!("worker {} is gone: acknowledged by the store", worker.id));
            left.push((Arc::clone(&worker), record.now()));
            thread::spawn(move || {
                sleep_ms((LAST_S * 1_000.0) as u64);
                worker.has_ended.store(true, Ordering::Relaxed);
            });
        }
        sleep_until(&record, begun + TROUBLE_S);
        refusals.iter().for_each(|r| r.store(false, Ordering::Relaxed));
        record.line("the store serves all machines");
    }
    for consumer in consumers {
        let _ = consumer.join();
    }
    let sent = sent.lock().unwrap();
    let mut late = 0;
    for (worker, gone_at) in &left {
        for (id, at) in worker.arrivals.lock().unwrap().iter().filter(|(_, at)| *at > gone_at + DRAIN_S) {
            late += 1;
            let (gateway, sent_at) = &sent[id];
            let text = format!(
                "DRAIN: {id} reached worker {} {:.3} s after the store had acknowledged that it is gone, by {gateway}, sent {:.3} s before",
                worker.id,
                at - gone_at,
                at - sent_at
            );
            if late <= 5 { record.say(&text) } else { record.line(&text) }
        }
    }
    let served = served.load(Ordering::Relaxed);
    record.say(&format!("successes: {served}, workers that left: {}, requests too late: {late}", left.len()));
    if served < 1_000 {
        eprintln!("too few requests were served");
        deployment.processes.end_all();
        std::process::exit(2);
    }
    finish(&deployment, late > 0)
}
