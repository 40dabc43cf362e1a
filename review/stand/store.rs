//! Stand-in of the platform's store: a log with keyed topics, of which partition 0 is used.

use std::collections::{BTreeMap, HashMap};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// While true, calls get no answer (`platform_down`, `silent`).
    is_down: bool,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let store = Self {
            state: Arc::default(),
        };
        let served = store.clone();
        http::serve(listener, move |request, stream| {
            served.handle(request, stream)
        });
        store
    }

    /// Appends a record of a keyed topic; without a value it deletes the key.
    pub fn put(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.unwrap_or_default().as_bytes());
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("the lock");
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .push(record);
        changed.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        let (state, changed) = &*self.state;
        state.lock().expect("the lock").is_down = is_down;
        changed.notify_all();
    }

    pub fn is_down(&self) -> bool {
        self.state.0.lock().expect("the lock").is_down
    }

    fn handle(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().expect("the lock");
        if state.is_down {
            drop(state);
            return swallow(stream);
        }
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        match request.path() {
            "/log-append" => {
                let records = state.topics.entry(topic).or_default();
                if number("at").is_some_and(|at| at != records.len() as u64) {
                    let body = format!("{{\"end\":{}}}", records.len());
                    drop(state);
                    return json(stream, "412 Precondition Failed", &body);
                }
                let offset = records.len();
                let mut rest = &request.body[..];
                while rest.len() >= 4 {
                    let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    records.push(rest[4..4 + size].to_vec());
                    rest = &rest[4 + size..];
                }
                let body = format!("{{\"offset\":{offset},\"end\":{}}}", records.len());
                changed.notify_all();
                drop(state);
                json(stream, "200 OK", &body)
            }
            "/log-read" => {
                let from = usize::try_from(number("from").unwrap_or(0)).unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0));
                loop {
                    if state.is_down {
                        drop(state);
                        return swallow(stream);
                    }
                    let end = state.topics.get(&topic).map_or(0, Vec::len);
                    let left = until.saturating_duration_since(Instant::now());
                    if end > from || left.is_zero() {
                        break;
                    }
                    state = changed.wait_timeout(state, left).expect("the lock").0;
                }
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    body.extend_from_slice(
                        &u32::try_from(record.len()).expect("short").to_be_bytes(),
                    );
                    body.extend_from_slice(record);
                }
                drop(state);
                http::respond(stream, "200 OK", &[], &body).is_ok()
            }
            "/log-newest" => {
                let records = state.topics.get(&topic).map_or(&[][..], Vec::as_slice);
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let size = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..1 + size]).into_owned();
                    newest.insert(key, (offset, record[1 + size..].to_vec()));
                }
                let after = request.query("after").unwrap_or_default();
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(key, (_, value))| key.as_str() > after && !value.is_empty())
                    .map(|(key, (offset, value))| {
                        let value = base64(value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"more\":false,\"end\":{}}}",
                    items.join(","),
                    records.len()
                );
                drop(state);
                json(stream, "200 OK", &body)
            }
            _ => {
                drop(state);
                json(stream, "404 Not Found", "{}")
            }
        }
    }
}

/// Gives no answer and nothing further on the connection, until the caller closes it.
fn swallow(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 1024];
    while stream.read(&mut bytes).is_ok_and(|count| count > 0) {}
    false
}

fn json(stream: &mut TcpStream, status: &str, body: &str) -> bool {
    let headers = [("content-type", "application/json")];
    http::respond(stream, status, &headers, body.as_bytes()).is_ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
