//! Incremental decoder and encoder of server-sent events.

/// Default maximum size of one event, in bytes.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// Decoded server-sent event.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Value of the `id` field, if the event has one.
    pub id: Option<String>,
    /// Payload; several `data` lines are joined with line feeds.
    pub data: Vec<u8>,
}

/// Result of [`SseDecoder::next_event`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseStep {
    /// The next complete event.
    Event(SseEvent),
    /// The buffer holds no complete event; more bytes are needed.
    NeedMore,
    /// The event exceeds the size limit; decoding of the stream cannot continue.
    TooLarge,
}

/// Decodes a byte stream into events, independently of how reads divide the bytes.
///
/// ```
/// use bulrushslip::wire::sse::{SseDecoder, SseStep};
/// let mut decoder = SseDecoder::new(64);
/// decoder.push(b"id: 3\ndata: {}");
/// assert_eq!(decoder.next_event(), SseStep::NeedMore);
/// decoder.push(b"\n\n");
/// let SseStep::Event(event) = decoder.next_event() else { panic!("no event") };
/// assert_eq!((event.id.as_deref(), event.data.as_slice()), (Some("3"), &b"{}"[..]));
/// ```
#[derive(Debug, Clone)]
pub struct SseDecoder {
    max_event_bytes: usize,
    buffer: Vec<u8>,
    /// Index in `buffer` of the first byte that is not yet parsed into lines.
    start: usize,
    /// Number of bytes from `start` on that contain no line feed.
    searched: usize,
    event: SseEvent,
    has_data: bool,
}

impl SseDecoder {
    /// Creates a decoder that accepts events of at most `max_event_bytes` bytes.
    #[must_use]
    pub fn new(max_event_bytes: usize) -> Self {
        Self {
            max_event_bytes,
            buffer: Vec::new(),
            start: 0,
            searched: 0,
            event: SseEvent::default(),
            has_data: false,
        }
    }

    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> SseStep {
        loop {
            let unread = &self.buffer[self.start..];
            let line_feed = unread[self.searched..].iter().position(|b| *b == b'\n');
            let Some(position) = line_feed else {
                self.searched = unread.len();
                return self.check_size();
            };
            let end = self.searched + position;
            let line = unread[..end].strip_suffix(b"\r").unwrap_or(&unread[..end]);
            let line = line.to_vec();
            self.start += end + 1;
            self.searched = 0;
            if let Some(event) = self.parse_line(&line) {
                return SseStep::Event(event);
            }
            if self.event.data.len() > self.max_event_bytes {
                return SseStep::TooLarge;
            }
        }
    }

    /// Returns whether an incomplete event is buffered; at the end of a stream it is truncated.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        self.has_data || self.start < self.buffer.len()
    }

    fn check_size(&self) -> SseStep {
        if self.searched + self.event.data.len() > self.max_event_bytes {
            return SseStep::TooLarge;
        }
        SseStep::NeedMore
    }

    fn parse_line(&mut self, line: &[u8]) -> Option<SseEvent> {
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return std::mem::take(&mut self.has_data).then_some(event);
        }
        let colon = line.iter().position(|b| *b == b':').unwrap_or(line.len());
        let value = line.get(colon + 1..).unwrap_or_default();
        let value = value.strip_prefix(b" ").unwrap_or(value);
        match &line[..colon] {
            b"data" => {
                if self.has_data {
                    self.event.data.push(b'\n');
                }
                self.has_data = true;
                self.event.data.extend_from_slice(value);
            }
            b"id" => self.event.id = Some(String::from_utf8_lossy(value).into_owned()),
            // Comments only keep the connection alive, and no other field is used.
            _ => {}
        }
        None
    }
}

/// Encodes an event with this payload and no `id` field.
#[must_use]
pub fn encode_data(data: &[u8]) -> Vec<u8> {
    encode(&SseEvent {
        id: None,
        data: data.to_vec(),
    })
}

/// Encodes an event; each line of the payload becomes a `data` line.
#[must_use]
pub fn encode(event: &SseEvent) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(event.data.len() + 32);
    if let Some(id) = &event.id {
        bytes.extend_from_slice(b"id: ");
        bytes.extend_from_slice(id.as_bytes());
        bytes.push(b'\n');
    }
    for line in event.data.split(|b| *b == b'\n') {
        bytes.extend_from_slice(b"data: ");
        bytes.extend_from_slice(line);
        bytes.push(b'\n');
    }
    bytes.push(b'\n');
    bytes
}
