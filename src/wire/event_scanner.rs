//! Finds the ends of server-sent events in a byte stream, whose lines end with LF, CRLF or CR.

/// What a byte tells about the end of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScanStep {
    /// No event ends here.
    Inside,
    /// The byte is the last one of an event.
    EndsHere,
    /// The byte before this one was the last one of an event.
    EndedBefore,
}

/// Where in its events a stream ends.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StreamPosition {
    /// No byte was received.
    #[default]
    Empty,
    /// After the blank line that ends an event, or after comments that follow it.
    BetweenEvents,
    /// Inside a line, or before the blank line that ends an event.
    InsideEvent,
}

impl StreamPosition {
    /// Returns the name for logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::BetweenEvents => "between_events",
            Self::InsideEvent => "inside_event",
        }
    }
}

/// Kind of the line that is being received.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
enum LineKind {
    /// No byte of the line was received.
    #[default]
    Blank,
    /// The line is a comment, which belongs to no event.
    Comment,
    /// The line is a field of an event.
    Field,
}

/// Scanner of a stream; its result does not depend on how reads divide the bytes.
#[derive(Debug, Default, Clone, Copy)]
pub struct EventScanner {
    /// Position at the end of the last complete line.
    position: StreamPosition,
    line: LineKind,
    /// Whether the last byte was a CR, which ends a line by itself unless an LF follows.
    follows_cr: bool,
    /// Whether a line has ended with a CR alone.
    has_cr_lines: bool,
}

impl EventScanner {
    /// Scans the next byte.
    pub const fn advance(&mut self, byte: u8) -> ScanStep {
        if matches!(self.position, StreamPosition::Empty) {
            self.position = StreamPosition::BetweenEvents;
        }
        if byte == b'\n' {
            self.follows_cr = false;
            return if self.end_line() {
                ScanStep::EndsHere
            } else {
                ScanStep::Inside
            };
        }
        let mut step = ScanStep::Inside;
        if self.follows_cr {
            self.has_cr_lines = true;
            if self.end_line() {
                step = ScanStep::EndedBefore;
            }
        }
        self.follows_cr = byte == b'\r';
        if !self.follows_cr && matches!(self.line, LineKind::Blank) {
            self.line = if byte == b':' {
                LineKind::Comment
            } else {
                LineKind::Field
            };
        }
        step
    }

    /// Returns where the stream ends if no further byte follows.
    #[must_use]
    pub const fn position(&self) -> StreamPosition {
        let mut at_end = *self;
        if at_end.follows_cr {
            // The LF of a CRLF is missing unless the lines of this stream end with a CR alone.
            if !at_end.has_cr_lines {
                return StreamPosition::InsideEvent;
            }
            at_end.end_line();
        }
        match at_end.line {
            LineKind::Blank => at_end.position,
            LineKind::Comment | LineKind::Field => StreamPosition::InsideEvent,
        }
    }

    /// Ends the line; returns whether it is blank.
    const fn end_line(&mut self) -> bool {
        let line = std::mem::replace(&mut self.line, LineKind::Blank);
        match line {
            LineKind::Blank => self.position = StreamPosition::BetweenEvents,
            LineKind::Field => self.position = StreamPosition::InsideEvent,
            LineKind::Comment => {}
        }
        matches!(line, LineKind::Blank)
    }
}
