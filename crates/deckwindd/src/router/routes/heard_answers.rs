//! Reads what targets report about themselves in their answers: rest periods, limits
//! and that they are leaving. One place handles all kinds of answers.

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

/// The target and the incarnation that an answer came from, and what it answers.
pub struct Answerer<'a> {
    /// The target's address.
    pub address: SocketAddr,
    /// The incarnation that the request was meant for.
    pub life: &'a Life,
    /// What is answered: the id of a request, or the path of a call to the target's own
    /// interface.
    pub to: &'a str,
    /// The permit that the request was sent with.
    pub permit: Option<Permit>,
}

impl Routes {
    /// Calls a target's own interface, and applies what its answer reports about the
    /// target.
    ///
    /// # Errors
    /// The same as [`call_target`].
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

    /// Applies what a target's answer reports about the target, whatever the status of
    /// the answer.
    pub fn answered_by(&self, by: &Answerer, status: StatusCode, headers: &HeaderMap) {
        let notice = self.dialect.read_notice(status, headers);
        self.noticed(self.clock.now(), by, &notice);
    }

    /// Applies a target's notice: it gets no requests during the rest period that it
    /// asks for, and no new ones once it says that it is leaving.
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

    /// Records that a target has named a limit, or has answered without one.
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

    /// Whether a target accepts nothing new by now, or takes only permitted requests
    /// and this one has no permit or an expired one. Checked just before each send,
    /// because the target may have reported it since it was chosen.
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
