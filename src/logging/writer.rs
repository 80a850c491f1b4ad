//! Writes log lines in a thread of its own, so that an output that nobody reads never blocks the instance.

use std::{
    io::Write,
    sync::{
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Largest number of queued lines: some seconds of all modules at their limits. Further lines are dropped and
/// counted.
pub const MAX_WAITING_LINES: usize = 2_048;

/// Largest number of lines written in one call.
const MAX_BATCH_LINES: usize = 64;

/// Time between two checks in [`LineWriter::flush`].
const FLUSH_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Counters shared between the queue and the writing thread.
#[derive(Debug, Default)]
struct Counts {
    /// Lines queued or being written.
    waiting: AtomicUsize,
    /// Lines dropped since [`LineWriter::take_dropped`] was last called.
    dropped: AtomicU64,
}

/// Queue of log lines with a thread that writes them.
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
    /// If the thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
        let counts = std::sync::Arc::<Counts>::default();
        let thread_counts = std::sync::Arc::clone(&counts);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(&waiting, output, &thread_counts))?;
        Ok(Self { lines, counts })
    }

    /// Queues a line, or drops and counts it if the queue is full.
    pub fn write(&self, line: String) {
        self.counts.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::AcqRel);
            self.counts.dropped.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Returns the number of lines dropped since the last call.
    pub fn take_dropped(&self) -> u64 {
        self.counts.dropped.swap(0, Ordering::AcqRel)
    }

    /// Waits until all queued lines are written, at most for `limit`.
    pub fn flush(&self, limit: Duration) {
        let until = Instant::now() + limit;
        while self.counts.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_POLL_PERIOD);
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
        // If the output is closed, there is nowhere to report the error.
        let _written = output.write_all(batch.as_bytes()).and_then(|()| output.flush());
        counts.waiting.fetch_sub(count, Ordering::AcqRel);
    }
}
