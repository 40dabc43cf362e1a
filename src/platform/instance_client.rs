//! Client of the platform's instance list.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use serde::{Deserialize, Serialize};

use super::http_client::{call, request};

/// Time allowed for a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether an instance is there to stay, on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WireInstanceState {
    /// It takes work.
    Live,
    /// It is about to go.
    Leaving,
}

/// One instance on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireInstance {
    /// Unique name.
    pub name: String,
    /// Role: `entry` or `sidecar`.
    pub role: String,
    /// Address that other processes of the system reach it under.
    pub address: SocketAddr,
    /// Address of its operator port.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operator: Option<SocketAddr>,
    /// Data centre.
    pub data_centre: String,
    /// Whether it is there to stay.
    pub state: WireInstanceState,
}

#[derive(Debug, Deserialize)]
struct InstancePage {
    instances: Vec<WireInstance>,
}

/// Reaches the instance list.
#[derive(Debug, Clone, Copy)]
pub struct InstanceClient {
    /// Address of the platform.
    pub platform: SocketAddr,
}

impl InstanceClient {
    /// Registers or renews an instance; returns its state as the platform sees it.
    pub async fn renew(&self, instance: &WireInstance) -> Option<WireInstanceState> {
        let path = format!("/instances/{}", instance.name);
        let body = serde_json::to_vec(instance).ok()?;
        let request = request(Method::PUT, self.platform, &path).body(Full::new(body.into()));
        let response = call(self.platform, request.ok()?, CALL_TIMEOUT)
            .await
            .ok()?;
        if !response.status.is_success() {
            return None;
        }
        let stored: WireInstance = serde_json::from_slice(&response.body).ok()?;
        Some(stored.state)
    }

    /// Deregisters an instance; without the platform it drops out by itself.
    pub async fn deregister(&self, name: &str) {
        let path = format!("/instances/{name}");
        let request = request(Method::DELETE, self.platform, &path).body(Full::<Bytes>::default());
        let Ok(request) = request else { return };
        drop(call(self.platform, request, CALL_TIMEOUT).await);
    }

    /// Reads the list, which lags behind; `None` while the platform cannot be reached.
    pub async fn list(&self) -> Option<Vec<WireInstance>> {
        let request = request(Method::GET, self.platform, "/instances");
        let request = request.body(Full::<Bytes>::default()).ok()?;
        let response = call(self.platform, request, CALL_TIMEOUT).await.ok()?;
        let page: InstancePage = serde_json::from_slice(&response.body).ok()?;
        Some(page.instances)
    }
}
