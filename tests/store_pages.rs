//! Pages of the store that do not end.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushslip::platform::store_client::{StoreClient, StoreError};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Time within which a reader must give up.
const LIMIT: Duration = Duration::from_secs(10);

/// Size of the value in each page, in bytes.
const VALUE_BYTES: usize = 1024 * 1024;

/// Starts a store that responds to the n-th request of a connection with a page of the n-th key.
async fn serve_pages(page: fn(usize) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, page));
        }
    });
    address
}

async fn respond(mut stream: TcpStream, page: fn(usize) -> String) {
    let mut received = Vec::new();
    for number in 0.. {
        while !received.ends_with(b"\r\n\r\n") {
            let mut part = [0; 1024];
            match stream.read(&mut part).await {
                Ok(count @ 1..) => received.extend_from_slice(&part[..count]),
                _ => return,
            }
        }
        received.clear();
        let body = page(number);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        if stream.write_all((head + &body).as_bytes()).await.is_err() {
            return;
        }
    }
}

fn page(key: &str, value: &str, more: bool) -> String {
    let item = json!({"key": key, "value": value, "offset": 1});
    json!({"items": [item], "more": more, "end": 2}).to_string()
}

#[tokio::test]
async fn pages_without_end_are_a_failure() {
    let new_keys: fn(usize) -> String =
        |number| page(&format!("k{number}"), &"A".repeat(VALUE_BYTES), true);
    let same_key: fn(usize) -> String = |_| page("k", "", true);
    for pages in [new_keys, same_key] {
        let mut client = StoreClient::new(serve_pages(pages).await);
        let newest = timeout(LIMIT, client.newest("keyed.servers")).await;
        assert!(
            matches!(newest, Ok(Err(StoreError::TooManyPages))),
            "{newest:?}"
        );
    }
}

#[tokio::test]
async fn pages_that_end_are_read() {
    let three: fn(usize) -> String = |number| page(&format!("k{number}"), "", number < 2);
    let mut client = StoreClient::new(serve_pages(three).await);
    let newest = client.newest("keyed.servers").await.expect("records");
    assert_eq!(newest.records.len(), 3);
}
