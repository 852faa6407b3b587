//! One call to a plain service: choose, call, retry where that is safe.

use super::shared::RouterShared;
use super::template_answers::{CallerError, Ran};
use super::template_runs::TemplateRun;
use deckwind_core::admission::RetryPolicy;
use deckwind_core::router::{Entered, ServiceWork};
use deckwind_core::routes::is_promise;
use deckwind_core::state::ContentDigest;
use deckwind_net::targets::{ServiceAnswer, ServiceCall, TargetError};
use http::StatusCode;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Calls a service; `call` is the same for every try.
pub async fn run(
    shared: &Arc<RouterShared>,
    entered: &Entered,
    work: &ServiceWork,
    content: ContentDigest,
    mut call: ServiceCall,
) -> Result<ServiceAnswer, CallerError> {
    let mut avoid = BTreeSet::new();
    let mut tries = 0;
    let mut may_have_run = false;
    loop {
        match shared.may_be_sent(&content) {
            Err(denied) if may_have_run => return Err(unknown(denied.code.to_string())),
            may_be_sent => may_be_sent?,
        }
        let now = shared.clock.now();
        let planned = shared.core().plan_service(now, &entered.template, &avoid);
        let key = match planned {
            Ok(key) => key,
            Err(denied) if may_have_run => return Err(unknown(denied.code.to_string())),
            Err(denied) => return Err(denied.into()),
        };
        let Some((name, address)) = target_of(shared, key) else {
            shared.core().service_ended(now, key, None);
            continue;
        };
        tries += 1;
        let left = entered.start_by.since(now) + work.timeout;
        call.timeout = work.timeout.min(left);
        let run = TemplateRun::begin(shared, content, address);
        let result = shared.clients.service(address).call(call.clone()).await;
        let took = shared.clock.now().since(now);
        let ok = result.is_ok().then_some(took);
        shared.core().service_ended(shared.clock.now(), key, ok);
        let error = match result {
            // Its own word that it did not run it is `Refused`; this one may have.
            Ok(answer) if is_promise(answer.status) && !entered.repeatable => {
                let why = format!("{name} answered {} without a promise", answer.status);
                return Err(unknown(why));
            }
            Ok(answer) => {
                run.served();
                shared.core().retries().succeeded();
                return Ok(answer);
            }
            Err(e) => e,
        };
        match error {
            TargetError::Rests(rest) => shared.target_rests(key, rest),
            TargetError::Broken(_) => run.broke().await,
            _ => {}
        }
        log::info!(
            "event=service_try_failed template={} target={name} try={tries} error={:?}",
            entered.template,
            error.to_string()
        );
        may_have_run |= !error.certainly_not_run();
        if !may_retry(shared, entered, tries, &error) {
            return Err(failed(&error, may_have_run));
        }
        avoid.insert(name);
    }
}

fn target_of(
    shared: &RouterShared,
    key: deckwind_core::routing::TargetKey,
) -> Option<(deckwind_core::state::TargetName, std::net::SocketAddr)> {
    let core = shared.core();
    let t = core.fleet().get(key)?;
    Some((t.name.clone(), t.address))
}

fn may_retry(shared: &RouterShared, entered: &Entered, tries: u32, error: &TargetError) -> bool {
    let now = shared.clock.now();
    let left = entered.start_by.since(now);
    let not_run = error.certainly_not_run();
    let allowed = RetryPolicy::default().allows(tries, entered.repeatable, not_run, left);
    allowed && shared.core().retries().spend(now)
}

fn failed(error: &TargetError, may_have_run: bool) -> CallerError {
    if may_have_run {
        return unknown(error.to_string());
    }
    let why = format!("no target took it: {error}");
    CallerError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-targets",
        Ran::NotRun,
        why,
    )
    .retry_after(Duration::from_secs(1))
}

fn unknown(why: impl std::fmt::Display) -> CallerError {
    let why = format!("the call may have run: {why}");
    CallerError::new(StatusCode::BAD_GATEWAY, "target-failed", Ran::Unknown, why)
}
