//! Lines of the log on their way to standard output, which may take them slowly or not at all.
//!
//! Whoever logs never waits: a line that finds the queue full is dropped and counted.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// Lines that wait to be written; at about 250 bytes each, half a megabyte.
const QUEUE_LINES: usize = 2_048;

/// Bytes that are written at once.
const BATCH_BYTES: usize = 32 * 1024;

/// Pause between two writes, which gathers lines into one.
pub const BATCH_PAUSE: Duration = Duration::from_millis(100);

/// Takes whole lines and queues them.
#[derive(Debug)]
pub struct LineQueue {
    lines: mpsc::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    part: Vec<u8>,
}

/// Writes queued lines to standard output.
#[derive(Debug)]
pub struct LineWriter {
    lines: mpsc::Receiver<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

/// Number of lines that were dropped.
#[derive(Debug, Clone, Default)]
pub struct DroppedLines(Arc<AtomicU64>);

impl DroppedLines {
    /// Returns the number so far.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Creates a queue and its writer.
#[must_use]
pub fn line_queue() -> (LineQueue, LineWriter) {
    let (sender, receiver) = mpsc::channel(QUEUE_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let queue = LineQueue {
        lines: sender,
        dropped: Arc::clone(&dropped),
        part: Vec::new(),
    };
    let writer = LineWriter {
        lines: receiver,
        dropped,
    };
    (queue, writer)
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.part.extend_from_slice(buf);
        while let Some(end) = self.part.iter().position(|byte| *byte == b'\n') {
            let rest = self.part.split_off(end + 1);
            let line = std::mem::replace(&mut self.part, rest);
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
    /// Returns the count of dropped lines.
    #[must_use]
    pub fn dropped(&self) -> DroppedLines {
        DroppedLines(Arc::clone(&self.dropped))
    }

    /// Writes lines until the queue is closed or standard output is.
    pub async fn run(mut self) {
        let mut output = tokio::io::stdout();
        while let Some(mut batch) = self.lines.recv().await {
            self.gather(&mut batch);
            if output.write_all(&batch).await.is_err() || output.flush().await.is_err() {
                return;
            }
            sleep(BATCH_PAUSE).await;
        }
    }

    fn gather(&mut self, batch: &mut Vec<u8>) {
        while batch.len() < BATCH_BYTES {
            match self.lines.try_recv() {
                Ok(line) => batch.extend_from_slice(&line),
                Err(_empty) => return,
            }
        }
    }
}
