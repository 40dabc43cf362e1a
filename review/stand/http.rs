//! Smallest HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Request or response: first line, headers in lower case, body.
#[derive(Debug, Default, Clone)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let mut words = self.line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns path and query of a request, and the value of a query field.
    pub fn query(&self, name: &str) -> Option<&str> {
        let target = self.line.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    pub fn path(&self) -> &str {
        let target = self.line.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }
}

/// Reads a message; `None` at the end of the connection before its first byte.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    if reader.read_line(&mut message.line)? == 0 {
        return Ok(None);
    }
    message.line = message.line.trim_end().to_owned();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size =
                usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection of a port on a thread of its own; `handle` returns false to close it.
pub fn serve(
    listener: TcpListener,
    handle: impl Fn(&Message, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(Some(request)) = read(&mut reader) {
                    if !handle(&request, &mut writer) {
                        let _ = writer.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            });
        }
    });
}

/// Sends one request on a new connection and reads the response.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = head.as_bytes().to_vec();
    if !body.is_empty() {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"Connection: close\r\n\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    read(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
