//! Reading of requests from a raw socket.

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Reads one request and returns its text in lowercase and its identifier; `None` if the connection
/// ends before.
pub async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut received = Vec::new();
    loop {
        let mut part = [0; 4096];
        let count = stream
            .read(&mut part)
            .await
            .ok()
            .filter(|count| *count > 0)?;
        received.extend_from_slice(&part[..count]);
        let text = String::from_utf8_lossy(&received).to_lowercase();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let field = |name: &str| {
            let lines = head.lines();
            let mut values = lines.filter_map(|line| line.strip_prefix(name));
            values.next().map(|value| value.trim().to_owned())
        };
        let length = field("content-length:").and_then(|value| value.parse::<usize>().ok());
        if body.len() >= length.unwrap_or(0) {
            let id = field("x-request-id:").unwrap_or_default();
            return Some((text, id));
        }
    }
}
