//! The platform's list over HTTP/2.

use super::http_client::HttpTarget;
use super::traits::{PlatformList, PlatformSnapshot, TargetError};
use crate::BoxFuture;
use std::net::SocketAddr;
use std::sync::Arc;

/// Path of the list.
pub const VMS_PATH: &str = "/v1/vms";

/// The list at an address.
#[derive(Clone)]
pub struct HttpPlatformList(Arc<HttpTarget>);

impl HttpPlatformList {
    /// No connection is made before the first use.
    pub fn new(address: SocketAddr) -> Self {
        Self(Arc::new(HttpTarget::new(address)))
    }
}

impl PlatformList for HttpPlatformList {
    fn list(&self) -> BoxFuture<'_, Result<PlatformSnapshot, TargetError>> {
        Box::pin(async move { self.0.json(VMS_PATH, &()).await })
    }
}
