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

/// Changes during the paging are read from the log.
#[tokio::test]
async fn a_listing_ends_where_its_first_page_did() {
    let growing: fn(usize) -> String = |number| {
        let item = json!({"key": format!("k{number}"), "value": "", "offset": number});
        json!({"items": [item], "more": number < 2, "end": 10 + number}).to_string()
    };
    let mut client = StoreClient::new(serve_pages(growing).await);
    let newest = client.newest("keyed.servers").await.expect("records");
    assert_eq!(newest.end.offset.0, 10);
}

/// Starts a store whose responses arrive in parts of the given size, one in each `pause`.
async fn serve_slowly(part_bytes: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let body = page("k", &"A".repeat(VALUE_BYTES), false);
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                for part in (head + &body).as_bytes().chunks(part_bytes) {
                    if stream.write_all(part).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    address
}

/// Guards against a large response that is begun anew for ever, because it takes longer than the
/// time for a small one.
#[tokio::test]
async fn a_large_response_that_makes_progress_is_read_to_its_end() {
    let store = serve_slowly(16 * 1024, Duration::from_millis(30)).await;
    let mut client = StoreClient::new(store);
    let newest = client.newest("topic").await.expect("all records");
    assert_eq!(newest.records.len(), 1);
}

#[tokio::test]
async fn a_response_that_comes_in_drips_is_a_failure() {
    let store = serve_slowly(100, Duration::from_millis(50)).await;
    let mut client = StoreClient::new(store);
    let outcome = timeout(LIMIT, client.newest("topic")).await;
    outcome.expect("an end in time").unwrap_err();
}
