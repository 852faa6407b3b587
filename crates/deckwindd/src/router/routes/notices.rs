//! What targets say of themselves in their answers, heard at one place for all kinds
//! of answers.

use super::Routes;
use deckwind_core::routes::TargetNotice;
use deckwind_core::state::Life;
use std::net::SocketAddr;

/// An answer of a target, whatever it was asked for.
pub struct Answerer<'a> {
    /// Where it is.
    pub address: SocketAddr,
    /// Which life of it was meant.
    pub life: &'a Life,
    /// What it answered: a request's id, or what was asked of it.
    pub to: &'a str,
}

impl Routes {
    /// A target has said something of itself.
    pub fn noticed(&self, by: &Answerer, notice: &TargetNotice) {
        let Answerer { address, life, to } = by;
        if let Some(text) = &notice.unreadable_rest {
            metrics::counter!("deckwind_route_rests_unreadable_total").increment(1);
            log::warn!("event=rest_unreadable target={address} life={life} to={to} text={text:?}");
        }
        if let Some(rest) = notice.rest {
            metrics::counter!("deckwind_route_rests_asked_total").increment(1);
            metrics::histogram!("deckwind_route_rest_seconds").record(rest.as_secs_f64());
            log::info!(
                "event=target_asks_rest target={address} life={life} to={to} rest_ms={}",
                rest.as_millis()
            );
        }
        if notice.leaves {
            metrics::counter!("deckwind_route_leaving_heard_total").increment(1);
            log::info!("event=target_says_it_leaves target={address} life={life} to={to}");
        }
    }
}
