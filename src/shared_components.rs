//! Components that both entries and sidecars run, in the order in which they start.

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

/// Identity and settings of a process, as its components need them.
#[derive(Debug, Clone, Copy)]
pub struct ProcessIdentity<'a> {
    /// Role of the process: `entry` or `sidecar`.
    pub role: &'static str,
    /// Settings that both roles share.
    pub common: &'a CommonSettings,
    /// Declared name of the upstream that a sidecar serves; `None` for an entry.
    pub upstream: Option<&'a str>,
}

impl ProcessIdentity<'_> {
    /// Adds the components that start first and stop last: deregistration, metrics, configuration
    /// and connections to sidecars.
    ///
    /// # Errors
    ///
    /// Returns an error when the UDP socket for metrics cannot be opened.
    pub fn add_base_components(&self, kernel: &mut TokioKernel<Mail>) -> io::Result<()> {
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

    /// Adds the I/O task that serves the operator port on a listener.
    pub fn add_operator(&self, kernel: &mut TokioKernel<Mail>, listener: TcpListener) {
        let identity = OperatorIdentity {
            role: self.role,
            name: self.common.name.clone(),
            data_centre: self.common.data_centre.clone(),
            token: self.common.operator_token.clone(),
        };
        kernel.add_task(operator::task(listener, identity));
    }

    /// Adds the registration of the process under its address and operator address.
    ///
    /// It has to be added last, so that it stops first and other processes see the stop early.
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
