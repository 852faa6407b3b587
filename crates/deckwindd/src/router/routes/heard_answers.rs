//! What targets say of themselves in their answers, heard at one place for all kinds
//! of answers.

use super::Routes;
use deckwind_core::control::LimitKey;
use deckwind_core::rate::Rate;
use deckwind_core::routes::{Choice, Permit, TargetNotice};
use deckwind_core::state::{Instance, Life};
use deckwind_core::time::Instant;
use deckwind_net::edge::TargetCall;
use deckwind_net::targets::{TargetError, TargetReply, call_target};
use http::{HeaderMap, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// An answer of a target, whatever it was asked for.
pub struct Answerer<'a> {
    /// Where it is.
    pub address: SocketAddr,
    /// Which life of it was meant.
    pub life: &'a Life,
    /// What it answered: a request's id, or what was asked of it.
    pub to: &'a str,
    /// With which the request was sent.
    pub permit: Option<Permit>,
}

impl Routes {
    /// One call to a target's own interface. What it says of itself is heard.
    ///
    /// # Errors
    /// As of [`call_target`].
    pub async fn call_target(
        &self,
        address: SocketAddr,
        call: &TargetCall,
        within: Duration,
    ) -> Result<TargetReply, TargetError> {
        let there = self.life_at(address);
        let reply = call_target(&self.connections, address, call, within).await?;
        if let Some(life) = &there {
            let to = &call.path;
            let by = Answerer {
                address,
                life,
                to,
                permit: None,
            };
            self.answered_by(&by, reply.status, &reply.headers);
        }
        Ok(reply)
    }

    fn life_at(&self, address: SocketAddr) -> Option<Life> {
        let instances = self.instances();
        let there = instances.iter().find(|i| i.address == address);
        there.map(Instance::life)
    }

    /// A target has answered: what it says of itself is heard, whatever the answer
    /// comes to.
    pub fn answered_by(&self, by: &Answerer, status: StatusCode, headers: &HeaderMap) {
        let notice = self.dialect.read_notice(status, headers);
        self.noticed(self.clock.now(), by, &notice);
    }

    /// A target has said something of itself: it is left alone for as long as it asks,
    /// and sent nothing new once it says that it leaves.
    fn noticed(&self, now: Instant, by: &Answerer, notice: &TargetNotice) {
        let Answerer {
            address, life, to, ..
        } = by;
        if let Some(text) = &notice.unreadable_rest {
            metrics::counter!("deckwind_route_rests_unreadable_total").increment(1);
            log::warn!("event=rest_unreadable target={address} life={life} to={to} text={text:?}");
        }
        if let Some(text) = &notice.unreadable_limit {
            metrics::counter!("deckwind_route_limits_unreadable_total").increment(1);
            log::warn!("event=limit_unreadable target={address} life={life} to={to} text={text:?}");
        } else {
            self.heard_limit(now, by, notice.limit);
        }
        if let Some(rest) = notice.rest {
            metrics::counter!("deckwind_route_rests_asked_total").increment(1);
            metrics::histogram!("deckwind_route_rest_seconds").record(rest.as_secs_f64());
        }
        let heard = self.book().notices.hear(now, *address, life, notice);
        if let Some(until) = heard.rests_until {
            log::info!(
                "event=target_asks_rest target={address} life={life} to={to} rest_ms={}",
                until.since(now).as_millis()
            );
        }
        if heard.leaves {
            metrics::counter!("deckwind_route_leaving_heard_total").increment(1);
            log::info!("event=target_says_it_leaves target={address} life={life} to={to}");
        }
    }

    /// A target has named a limit, or answered without one.
    fn heard_limit(&self, now: Instant, by: &Answerer, rate: Option<Rate>) {
        let mut book = self.book();
        if rate.is_none() && book.limits.limited() == 0 {
            return;
        }
        let target = LimitKey {
            address: by.address,
            life: by.life.clone(),
        };
        let permitted = by.permit.map(|p| p.issued);
        let begins = book.limits.hear(now, &target, rate, permitted);
        drop(book);
        if let Some(rate) = rate {
            metrics::counter!("deckwind_route_limits_named_total").increment(1);
            if begins {
                log::info!(
                    "event=target_names_limit {target} to={} per_s={rate}",
                    by.to
                );
            }
        }
    }

    /// Whether a target wants nothing new by now, or takes only what is permitted and
    /// the request's permit is none or too old. Asked just before each send: it may
    /// have said so since it was chosen.
    pub fn turns_away(&self, now: Instant, choice: &Choice, permit: Option<&Permit>) -> bool {
        let target = choice.limit_key();
        let book = self.book();
        let lacks_permit =
            book.limits.is_limited(&target) && !permit.is_some_and(|p| p.is_good(now));
        let turns_away = lacks_permit || book.notices.turns_away(now, target.address, &target.life);
        drop(book);
        if turns_away {
            metrics::counter!("deckwind_route_sends_held_back_total").increment(1);
        }
        turns_away
    }
}
