//! Reads what targets report about themselves in their answers: rest periods, limits
//! and that they are leaving. One place handles all kinds of answers.

use super::Routes;
use deckwind_core::control::LimitKey;
use deckwind_core::rate::Rate;
use deckwind_core::routes::{Permit, TargetChoice, TargetNotice};
use deckwind_core::state::{Incarnation, Instance};
use deckwind_core::time::Instant;
use deckwind_net::edge::TargetCall;
use deckwind_net::targets::{TargetError, TargetResponse, call_target};
use http::{HeaderMap, StatusCode};
use std::net::SocketAddr;
use std::time::Duration;

/// The target and the incarnation that an answer came from, and what it answers.
pub struct AnswerSource<'a> {
    /// The target's address.
    pub address: SocketAddr,
    /// The incarnation that the request was meant for.
    pub incarnation: &'a Incarnation,
    /// The request that was answered: its id, or the path of a call to the target's own
    /// interface.
    pub in_reply_to: &'a str,
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
    ) -> Result<TargetResponse, TargetError> {
        let incarnation = self.incarnation_at(address);
        let called = call_target(&self.connections, address, call, within).await;
        if let Err(TargetError::Late(_)) = called {
            self.check_path_in_background(address);
        }
        let reply = called?;
        if let Some(incarnation) = &incarnation {
            let in_reply_to = &call.path;
            let source = AnswerSource {
                address,
                incarnation,
                in_reply_to,
                permit: None,
            };
            self.apply_answer(&source, reply.status, &reply.headers);
        }
        Ok(reply)
    }

    /// Checks the path to a target that answers late. Kept connections may have fallen
    /// silent, which only a new one shows.
    pub fn check_path_in_background(&self, address: SocketAddr) {
        let connections = self.connections.clone();
        tokio::spawn(async move { connections.check_path(address).await });
    }

    fn incarnation_at(&self, address: SocketAddr) -> Option<Incarnation> {
        let instances = self.instances();
        let instance = instances.iter().find(|i| i.address == address);
        instance.map(Instance::incarnation)
    }

    /// Applies what a target's answer reports about the target, whatever the status of
    /// the answer.
    pub fn apply_answer(&self, source: &AnswerSource, status: StatusCode, headers: &HeaderMap) {
        let notice = self.dialect.read_notice(status, headers);
        self.apply_notice(self.clock.now(), source, &notice);
    }

    /// Applies a target's notice: it gets no requests during the rest period that it
    /// asks for, and no new ones once it says that it is leaving.
    fn apply_notice(&self, now: Instant, source: &AnswerSource, notice: &TargetNotice) {
        let AnswerSource {
            address,
            incarnation,
            in_reply_to,
            ..
        } = source;
        if let Some(text) = &notice.unreadable_rest {
            metrics::counter!("deckwind_route_rests_unreadable_total").increment(1);
            log::warn!(
                "event=rest_unreadable target={address} life={incarnation} to={in_reply_to} text={text:?}"
            );
        }
        if let Some(text) = &notice.unreadable_limit {
            metrics::counter!("deckwind_route_limits_unreadable_total").increment(1);
            log::warn!(
                "event=limit_unreadable target={address} life={incarnation} to={in_reply_to} text={text:?}"
            );
        } else {
            self.record_limit(now, source, notice.limit);
        }
        if let Some(rest) = notice.rest {
            metrics::counter!("deckwind_route_rests_asked_total").increment(1);
            metrics::histogram!("deckwind_route_rest_seconds").record(rest.as_secs_f64());
        }
        let change = self
            .target_records()
            .notices
            .record(now, *address, incarnation, notice);
        if let Some(until) = change.rest_ends_at {
            log::info!(
                "event=target_asks_rest target={address} life={incarnation} to={in_reply_to} rest_ms={}",
                until.since(now).as_millis()
            );
        }
        if change.leaves {
            metrics::counter!("deckwind_route_leaving_heard_total").increment(1);
            log::info!(
                "event=target_says_it_leaves target={address} life={incarnation} to={in_reply_to}"
            );
        }
    }

    /// Records that a target has named a limit, or has answered without one.
    fn record_limit(&self, now: Instant, source: &AnswerSource, rate: Option<Rate>) {
        let mut records = self.target_records();
        if rate.is_none() && records.limits.limited_count() == 0 {
            return;
        }
        let target = LimitKey {
            address: source.address,
            life: source.incarnation.clone(),
        };
        let permitted = source.permit.map(|p| p.issued);
        let begins = records.limits.record_limit(now, &target, rate, permitted);
        drop(records);
        if let Some(rate) = rate {
            metrics::counter!("deckwind_route_limits_named_total").increment(1);
            if begins {
                log::info!(
                    "event=target_names_limit {target} to={} per_s={rate}",
                    source.in_reply_to
                );
            }
        }
    }

    /// Whether a target accepts nothing new by now, or takes only permitted requests
    /// and this one has no permit or an expired one. Checked just before each send,
    /// because the target may have reported it since it was chosen.
    pub fn is_blocked(&self, now: Instant, choice: &TargetChoice, permit: Option<&Permit>) -> bool {
        let target = choice.limit_key();
        let records = self.target_records();
        let lacks_permit =
            records.limits.is_limited(&target) && !permit.is_some_and(|p| p.is_valid(now));
        let is_blocked = lacks_permit
            || records
                .notices
                .is_blocked(now, target.address, &target.life);
        drop(records);
        if is_blocked {
            metrics::counter!("deckwind_route_sends_held_back_total").increment(1);
        }
        is_blocked
    }
}
