//! Socket options by which the kernel detects a peer that disappeared without closing its
//! connection.
//!
//! `TCP_USER_TIMEOUT` bounds the time for which sent bytes may stay unacknowledged. On Linux
//! it also decides when keep-alive probes are given up, whatever their number. The probes
//! are therefore derived from it, so that both agree: an idle connection is closed by the
//! first probe that is due once the timeout has passed, and one lost probe closes none.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time without an acknowledgement after which the kernel closes a connection. A sound
/// target may be silent for more than a second.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of unanswered keep-alive probes after which a connection is closed.
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
    let interval = probe_interval(timeout);
    let probes = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(PROBES);
    let set = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(timeout)))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(e) = set {
        log::debug!("event=socket_option_refused error={e:?}");
    }
}

/// Returns the time before the first probe and between two probes, in whole seconds as the
/// kernel counts them.
fn probe_interval(timeout: Duration) -> Duration {
    let interval = timeout / (PROBES + 1);
    Duration::from_secs(interval.as_secs_f64().ceil() as u64)
}
