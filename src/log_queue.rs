//! Bounded queue of log lines for standard output, which can be slow or blocked.
//!
//! Logging never blocks: a line is dropped and counted when the queue is full.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Maximum number of queued lines; at about 250 bytes each, half a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Size from which a batch takes no further lines, in bytes.
const BATCH_BYTES: usize = 32 * 1024;

/// Pause between two writes, in which lines accumulate for the next batch.
pub const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Queue end of the logger: splits the written bytes into lines and queues them.
#[derive(Debug)]
pub struct LineQueue {
    lines: mpsc::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    /// Bytes of a line that is not complete yet.
    partial_line: Vec<u8>,
}

/// Output end of the queue: writes the queued lines to standard output in batches.
#[derive(Debug)]
pub struct LineWriter {
    lines: mpsc::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Shared counter of the lines that were dropped because the queue was full.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number of lines dropped so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Creates a queue of log lines and the writer that empties it.
#[must_use]
pub fn line_queue() -> (LineQueue, LineWriter) {
    let (sender, receiver) = mpsc::channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LineQueue {
        lines: sender,
        dropped: Arc::clone(&dropped),
        partial_line: Vec::new(),
    };
    let writer = LineWriter {
        lines: receiver,
        dropped,
    };
    (queue, writer)
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.partial_line.extend_from_slice(buf);
        while let Some(end) = self.partial_line.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial_line.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial_line, rest);
            if self.lines.try_send(line).is_err() {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LineWriter {
    /// Returns the counter of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> DroppedLines {
        DroppedLines(Arc::clone(&self.dropped))
    }

    /// Writes queued lines until the queue or standard output is closed.
    pub async fn run(mut self) {
        let mut output = tokio::io::stdout();
        while let Some(mut batch) = self.lines.recv().await {
            self.fill(&mut batch);
            if output.write_all(&batch).await.is_err() || output.flush().await.is_err() {
                return;
            }
            sleep(BATCH_PAUSE).await;
        }
    }

    /// Adds queued lines to a batch until the queue is empty or the batch is full.
    fn fill(&mut self, batch: &mut Vec<u8>) {
        while batch.len() < BATCH_BYTES {
            match self.lines.try_recv() {
                Ok(line) => batch.extend_from_slice(&line),
                Err(_empty) => return,
            }
        }
    }
}
