//! HTTP/2 client for the platform's list of VMs.

use super::http_client::HttpTarget;
use super::traits::{PlatformList, PlatformSnapshot, TargetError};
use crate::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";

/// HTTP/2 client for the platform's list of VMs.
#[derive(Clone)]
pub struct HttpPlatformList(Arc<HttpTarget>);

impl HttpPlatformList {
    /// Creates a client; it connects at the first request.
    pub fn new(address: SocketAddr) -> Self {
        Self(Arc::new(HttpTarget::new(address)))
    }
}

impl PlatformList for HttpPlatformList {
    fn list(&self) -> BoxFuture<'_, Result<PlatformSnapshot, TargetError>> {
        Box::pin(async move { self.0.post_json(VMS_PATH, &()).await })
    }
}
