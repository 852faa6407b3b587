//! Global metrics recorder of the process, and its Prometheus page.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// Handle of the recorder. It is a global because the `metrics` crate has one recorder per
/// process; it is the only global here.
static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Returns the handle that renders the page. The first call installs the recorder.
pub fn page() -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // An embedding process may have installed a recorder already. It then receives the
        // metrics, and this page stays empty.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}
