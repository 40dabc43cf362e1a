//! Reading of complete responses into memory that is reserved for them.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::memory_guard::MemoryGuard;

/// Largest response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Bytes by which the reserved memory of a response grows; the first step is part of what each
/// request reserves.
const GROW_BYTES: usize = 8 * 1024;

/// Why a response body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseBodyError {
    /// The connection broke, or the body is framed incorrectly.
    Cut,
    /// The body exceeds [`MAX_RESPONSE_BYTES`].
    TooLong,
}

/// Reads a response body to its end; waits while there is no memory for the next part.
///
/// # Errors
///
/// Returns why the body cannot be read to its end.
pub async fn read_response_body(
    mut body: Incoming,
    memory: &MemoryGuard,
) -> Result<Bytes, ResponseBodyError> {
    let stated = body.size_hint().exact().unwrap_or(0);
    let stated = usize::try_from(stated).unwrap_or(usize::MAX);
    if stated > MAX_RESPONSE_BYTES {
        return Err(ResponseBodyError::TooLong);
    }
    let mut reserved = GROW_BYTES;
    if stated > reserved {
        memory.grow_for_response((stated - reserved) as u64).await;
        reserved = stated;
    }
    let mut read = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_cut| ResponseBodyError::Cut)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let size = read.len() + data.len();
        if size > MAX_RESPONSE_BYTES {
            return Err(ResponseBodyError::TooLong);
        }
        if size > reserved {
            // Without a stated length the buffer doubles, as its allocation does.
            let step = size.max(reserved);
            memory.grow_for_response(step as u64).await;
            reserved += step;
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}
