//! Socket options by which the kernel detects a peer that disappeared without closing its
//! connection.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the kernel closes a connection
/// (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time after which the kernel sends the first keep-alive probe.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Time between two keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered keep-alive probes after which the kernel closes the connection.
const PROBES: u32 = 2;

/// Sets `TCP_NODELAY`, `TCP_USER_TIMEOUT` and keep-alive probes. An option that the kernel
/// refuses is only logged.
pub fn set_tcp_options(stream: &TcpStream) {
    set_tcp_options_with_timeout(stream, USER_TIMEOUT);
}

/// Like [`set_tcp_options`], with another time after which a connection without an
/// acknowledgement, or with a full window, is closed.
pub fn set_tcp_options_with_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(e) = set {
        log::debug!("event=socket_option_refused error={e:?}");
    }
}
