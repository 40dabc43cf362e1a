//! Server-sent events: incremental decoder and encoder.

/// Largest event that a decoder takes by default, in bytes.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// One event.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct SseEvent {
    /// Identity, if the event carries one.
    pub id: Option<String>,
    /// Payload; several data lines are joined with line feeds.
    pub data: Vec<u8>,
}

/// What a decoder found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SseStep {
    /// The next event.
    Event(SseEvent),
    /// No whole event is buffered.
    NeedMore,
    /// An event is longer than the decoder takes; the stream cannot be read further.
    TooLarge,
}

/// Turns bytes into events, however they are cut into reads.
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
    /// Start of the bytes not yet turned into lines.
    start: usize,
    /// Bytes from the start that are known to hold no line feed.
    searched: usize,
    event: SseEvent,
    has_data: bool,
}

impl SseDecoder {
    /// Creates a decoder for events of at most `max_event_bytes`.
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

    /// Adds bytes as they were read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.start);
        self.start = 0;
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> SseStep {
        loop {
            let unread = &self.buffer[self.start..];
            let line_feed = unread[self.searched..].iter().position(|b| *b == b'\n');
            let Some(position) = line_feed else {
                self.searched = unread.len();
                return self.wait_for_more();
            };
            let end = self.searched + position;
            let line = unread[..end].strip_suffix(b"\r").unwrap_or(&unread[..end]);
            let line = line.to_vec();
            self.start += end + 1;
            self.searched = 0;
            if let Some(event) = self.take_line(&line) {
                return SseStep::Event(event);
            }
            if self.event.data.len() > self.max_event_bytes {
                return SseStep::TooLarge;
            }
        }
    }

    /// Tells whether part of an event is buffered, which the end of a stream would cut.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        self.has_data || self.start < self.buffer.len()
    }

    fn wait_for_more(&self) -> SseStep {
        if self.searched + self.event.data.len() > self.max_event_bytes {
            return SseStep::TooLarge;
        }
        SseStep::NeedMore
    }

    fn take_line(&mut self, line: &[u8]) -> Option<SseEvent> {
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
            // Comments keep a connection alive; other fields are not used here.
            _ => {}
        }
        None
    }
}

/// Writes one event without an identity.
#[must_use]
pub fn encode_data(data: &[u8]) -> Vec<u8> {
    encode(&SseEvent {
        id: None,
        data: data.to_vec(),
    })
}

/// Writes one event; a payload with line feeds becomes several data lines.
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
