//! Parts that entries and sidecars have in common, in the order in which they start.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::kernel::TokioKernel;
use crate::platform::instance_topics::{WireInstance, WireInstanceState};
use crate::services::common::dialer::dialer_task;
use crate::services::common::mail::Mail;
use crate::services::common::metrics;
use crate::services::common::operator::{self, OperatorIdentity};
use crate::services::common::registration::{deregistration_task, registration_task};
use crate::services::configuration::config::{ConfigSettings, config_service};
use crate::services::configuration::log_reader::log_reader;
use crate::services::configuration::peer_reader::peer_reader;
use crate::services::configuration::snapshot_writer::snapshot_writer;
use crate::settings::CommonSettings;

/// One process as its parts see it.
#[derive(Debug, Clone, Copy)]
pub struct ProcessIdentity<'a> {
    /// Role: `entry` or `sidecar`.
    pub role: &'static str,
    /// Settings shared by both roles.
    pub common: &'a CommonSettings,
    /// Declared name of the upstream of a sidecar.
    pub upstream: Option<&'a str>,
}

impl ProcessIdentity<'_> {
    /// Adds what starts first and stops last: deregistration, metrics and configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when no socket for metrics can be opened.
    pub fn add_first_parts(&self, kernel: &mut TokioKernel<Mail>) -> io::Result<()> {
        let common = self.common;
        kernel.add_task(deregistration_task(common.platform, common.name.clone()));
        if let Some(address) = common.metrics {
            let tags = [("role", self.role), ("instance", common.name.as_str())];
            kernel.add(metrics::service(address, &tags)?);
        }
        kernel.add(config_service(ConfigSettings {
            name: common.name.clone(),
            upstream: self.upstream.map(str::to_owned),
            peers: common.config_peers.clone(),
            retention_ms: common.log_retention_ms,
            seed: rand::random(),
        }));
        kernel.add_task(dialer_task());
        kernel.add_task(log_reader(common.platform));
        kernel.add_task(peer_reader());
        kernel.add_task(snapshot_writer(common.platform));
        Ok(())
    }

    /// Adds the operator port.
    pub fn add_operator(&self, kernel: &mut TokioKernel<Mail>, listener: TcpListener) {
        let identity = OperatorIdentity {
            role: self.role,
            name: self.common.name.clone(),
            data_centre: self.common.data_centre.clone(),
            token: self.common.operator_token.clone(),
        };
        kernel.add_task(operator::task(listener, identity));
    }

    /// Adds the registration, which stops first, so that others hear of the stop at once.
    pub fn add_registration(
        &self,
        kernel: &mut TokioKernel<Mail>,
        address: SocketAddr,
        operator: SocketAddr,
    ) {
        let instance = WireInstance {
            name: self.common.name.clone(),
            role: self.role.to_owned(),
            address,
            operator: Some(operator),
            data_centre: self.common.data_centre.clone(),
            state: WireInstanceState::Live,
            renewed_ms: 0,
        };
        kernel.add_task(registration_task(self.common.platform, instance));
    }
}
