//! The process's one metrics recorder, and its Prometheus page.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

/// The recorder is the process's, as `metrics` has it: the one global here.
static PAGE: OnceLock<PrometheusHandle> = OnceLock::new();

/// The page; the first call installs the recorder.
pub fn page() -> &'static PrometheusHandle {
    PAGE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder may be there in an embedding process: then ours
        // stays empty, and that one counts.
        let _ = metrics::set_global_recorder(recorder);
        handle
    })
}
