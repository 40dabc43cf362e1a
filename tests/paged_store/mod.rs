//! Store that lists a few keys a page, reads its queries as form data, and takes any bytes as a key.

#![allow(dead_code, reason = "each test file uses a part of these helpers")]

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::timeout;

/// Length of the frame header before each record, in bytes.
const FRAME_HEADER_BYTES: usize = 4;

/// Size of the records in the response to a read, in bytes, beyond which it has no further record.
const MAX_READ_BYTES: usize = 1024 * 1024;

/// Topics of the store.
#[derive(Debug, Default)]
struct StoredTopics {
    /// Records of each topic from offset 0 on.
    records: HashMap<String, Vec<Bytes>>,
    /// Offset of the oldest record of each topic that has not been deleted, if it is not 0.
    first: HashMap<String, usize>,
    /// Offsets from which each topic was read.
    reads: HashMap<String, Vec<usize>>,
    /// Number of pages of each topic that were listed.
    pages: HashMap<String, usize>,
    /// Items of listings that are shown instead of those of their topics and keys.
    shown: HashMap<(String, Vec<u8>), Bytes>,
}

/// Running store.
#[derive(Debug, Clone)]
pub struct PagedStore {
    /// Address of the store.
    pub address: SocketAddr,
    topics: watch::Sender<StoredTopics>,
}

impl PagedStore {
    /// Starts a store that lists `page_keys` keys a page.
    pub async fn start(page_keys: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let (topics, _) = watch::channel(StoredTopics::default());
        let store = Self { address, topics };
        let served = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = served.clone();
                let respond = service_fn(move |request| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.respond(request, page_keys).await) }
                });
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), respond);
                tokio::spawn(async move { drop(connection.await) });
            }
        });
        store
    }

    /// Writes a record to a keyed topic; an empty value deletes the key.
    pub fn put(&self, topic: &str, key: &[u8], value: &[u8]) {
        let length = u8::try_from(key.len()).expect("a short key");
        self.append(topic, [&[length][..], key, value].concat().into());
    }

    /// Shows an item in listings instead of that of a key.
    pub fn show_as(&self, topic: &str, key: &[u8], item: &[u8]) {
        let item = Bytes::copy_from_slice(item);
        self.topics.send_modify(|topics| {
            topics
                .shown
                .insert((topic.to_owned(), key.to_owned()), item);
        });
    }

    /// Deletes all records of a topic so far; listings keep the newest of each key.
    pub fn forget_records(&self, topic: &str) {
        self.topics.send_modify(|topics| {
            let end = topics.records.get(topic).map_or(0, Vec::len);
            topics.first.insert(topic.to_owned(), end);
        });
    }

    /// Returns the offsets from which a topic was read.
    pub fn reads(&self, topic: &str) -> Vec<usize> {
        let topics = self.topics.borrow();
        topics.reads.get(topic).cloned().unwrap_or_default()
    }

    /// Returns the number of pages of a topic that were listed.
    pub fn pages(&self, topic: &str) -> usize {
        let topics = self.topics.borrow();
        topics.pages.get(topic).copied().unwrap_or(0)
    }

    /// Appends a record to a topic and returns its offset.
    pub fn append(&self, topic: &str, record: Bytes) -> usize {
        let mut offset = 0;
        self.topics.send_modify(|topics| {
            let records = topics.records.entry(topic.to_owned()).or_default();
            offset = records.len();
            records.push(record);
        });
        offset
    }

    async fn respond(&self, request: Request<Incoming>, page_keys: usize) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let query = head.uri.query().unwrap_or_default();
        let parameters: HashMap<String, String> = form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        let text = |name: &str| parameters.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse().unwrap_or(0);
        let topic = text("topic");
        match head.uri.path() {
            "/log-append" => {
                let record = body.collect().await.expect("a record").to_bytes();
                let offset = self.append(&topic, record.slice(FRAME_HEADER_BYTES..));
                json_response(&json!({"offset": offset, "end": offset + 1}))
            }
            "/log-read" => {
                let from = number("from");
                let wait = Duration::from_millis(number("wait-ms") as u64);
                self.read(&topic, from, wait).await
            }
            "/log-newest" => {
                self.topics.send_modify(|topics| {
                    *topics.pages.entry(topic.clone()).or_default() += 1;
                });
                let page = self
                    .topics
                    .borrow()
                    .newest(&topic, parameters.get("after"), page_keys);
                Response::new(Full::new(page))
            }
            _ => failure(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    async fn read(&self, topic: &str, from: usize, wait: Duration) -> Response<Full<Bytes>> {
        let has_record = |topics: &StoredTopics| {
            let records = topics.records.get(topic);
            records.is_some_and(|records| records.len() > from)
        };
        self.topics.send_modify(|topics| {
            let reads = topics.reads.entry(topic.to_owned()).or_default();
            reads.push(from);
        });
        let mut changes = self.topics.subscribe();
        // The response is empty if there is still no record.
        drop(timeout(wait, changes.wait_for(has_record)).await);
        let topics = self.topics.borrow();
        let records = topics.records.get(topic).map_or(&[][..], Vec::as_slice);
        let first = topics.first.get(topic).copied().unwrap_or(0);
        if from < first {
            let deleted = json!({"first": first}).to_string();
            return failure(StatusCode::GONE, deleted.into());
        }
        let mut page = Vec::new();
        page.extend_from_slice(&(records.len() as u64).to_be_bytes());
        page.extend_from_slice(&(first as u64).to_be_bytes());
        for record in records.iter().skip(from) {
            if page.len() > MAX_READ_BYTES {
                break;
            }
            let length = u32::try_from(record.len()).expect("a short record");
            page.extend_from_slice(&length.to_be_bytes());
            page.extend_from_slice(record);
        }
        Response::new(Full::new(page.into()))
    }
}

impl StoredTopics {
    /// Returns a page of the newest record of each key, in the order of the keys; a key that is not
    /// UTF-8 is listed as text.
    fn newest(&self, topic: &str, after: Option<&String>, page_keys: usize) -> Bytes {
        let records = self.records.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, record) in records.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            if value.is_empty() {
                newest.remove(key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let listed: Vec<Bytes> = newest
            .into_iter()
            .filter(|(key, _)| after.is_none_or(|after| *key > after.as_bytes()))
            .map(|(key, (offset, value))| {
                let name = String::from_utf8_lossy(key);
                let item = json!({"key": name, "value": STANDARD.encode(value), "offset": offset});
                let shown = self.shown.get(&(topic.to_owned(), key.to_owned()));
                shown.cloned().unwrap_or_else(|| item.to_string().into())
            })
            .collect();
        let more = listed.len() > page_keys;
        let items: Vec<&[u8]> = listed.iter().take(page_keys).map(AsRef::as_ref).collect();
        let end = records.len();
        [
            b"{\"items\":[".to_vec(),
            items.join(&b","[..]),
            format!("],\"more\":{more},\"end\":{end}}}").into_bytes(),
        ]
        .concat()
        .into()
    }
}

fn json_response(body: &serde_json::Value) -> Response<Full<Bytes>> {
    Response::new(Full::new(body.to_string().into()))
}

fn failure(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
