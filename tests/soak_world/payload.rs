//! Bodies of the soak's requests and answers; the first letter of a request's id says which is large.

use bytes::Bytes;

/// First letter of the ids of requests with usual bodies and answers.
pub const USUAL: char = 'c';

/// First letter of the ids of requests with a large body.
pub const LARGE_BODY: char = 'b';

/// First letter of the ids of requests with a large answer, unless it is a stream.
pub const LARGE_ANSWER: char = 'r';

/// Size from which a body is large enough, in bytes.
const LARGE_BYTES: usize = 250_000;

/// Largest body that the configuration allows, in bytes.
pub const MAX_BODY_BYTES: usize = 300_000;

/// Returns the body of a request.
pub fn request_body(id: &str) -> Bytes {
    Bytes::from(enlarge(id, id, LARGE_BODY))
}

/// Returns the whole answer to a request that is not a stream.
pub fn answer_text(id: &str) -> String {
    enlarge(&format!("answer to {id}"), id, LARGE_ANSWER)
}

/// Repeats a text if the id begins with a letter.
fn enlarge(text: &str, id: &str, letter: char) -> String {
    if id.starts_with(letter) {
        text.repeat(LARGE_BYTES.div_ceil(text.len()))
    } else {
        text.to_owned()
    }
}
