//! Hands lines to a thread that writes them, so that a reader that stops reading never stops the instance.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait: some seconds of all modules at their limits; further ones are dropped and counted.
pub const MAX_WAITING_LINES: usize = 2_048;

/// Lines written at once.
const MAX_BATCH_LINES: usize = 64;

/// Time between two looks whether all lines are written.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// The writing end's counts, shared with its thread.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

/// Queue of lines with a thread that writes them.
#[derive(Debug)]
pub struct LineWriter {
    lines: SyncSender<String>,
    counts: std::sync::Arc<Counts>,
}

impl LineWriter {
    /// Starts a thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// When the system starts no thread.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let counts = std::sync::Arc::<Counts>::default();
        let of_thread = std::sync::Arc::clone(&counts);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&waiting, output, &of_thread))?;
        Ok(Self { lines, counts })
    }

    /// Queues a line, or drops and counts it when too many wait.
    pub fn write(&self, line: String) {
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Returns the lines dropped since this was last asked.
    pub fn take_dropped(&self) -> u64 {
        self.counts.dropped.swap(0, Ordering::AcqRel)
    }

    /// Waits until the lines queued so far are written, or for `limit`.
    pub fn flush(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_POLL);
        }
    }
}

fn write_all(lines: &Receiver<String>, mut output: impl Write, counts: &Counts) {
    while let Ok(mut batch) = lines.recv() {
        let mut count = 1;
        while count < MAX_BATCH_LINES
            && let Ok(line) = lines.try_recv()
        {
            batch.push_str(&line);
            count += 1;
        }
        // A closed output leaves nowhere to tell of it.
        let _written = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
        counts.waiting.fetch_sub(count, Ordering::AcqRel);
    }
}
