//! Runs one call to a plain service: chooses a target, sends the call, and retries it where
//! that is safe.

use super::shared::RouterShared;
use super::template_answers::{CallerError, Ran};
use super::template_runs::TemplateRun;
use deckwind_core::admission::RetryPolicy;
use deckwind_core::router::{CheckedRequest, ServiceWork};
use deckwind_core::routes::guarantees_not_run;
use deckwind_core::state::RequestTraits;
use deckwind_net::targets::{ServiceAnswer, ServiceCall, TargetError};
use http::StatusCode;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Calls a service; every attempt sends the same `call`.
///
/// # Errors
///
/// Fails if the request is quarantined, no target is available, or the last attempt
/// fails. The error states whether the call may have run.
pub async fn run(
    shared: &Arc<RouterShared>,
    checked_request: &CheckedRequest,
    work: &ServiceWork,
    traits: &RequestTraits,
    mut call: ServiceCall,
) -> Result<ServiceAnswer, CallerError> {
    let mut failed_targets = BTreeSet::new();
    let mut attempts = 0;
    let mut may_have_run = false;
    loop {
        match shared.check_quarantine(traits) {
            Err(denied) if may_have_run => return Err(outcome_unknown(denied.code.to_string())),
            may_be_sent => may_be_sent?,
        }
        let now = shared.clock.now();
        let planned = shared
            .core()
            .plan_service(now, &checked_request.template, &failed_targets);
        let key = match planned {
            Ok(key) => key,
            Err(denied) if may_have_run => return Err(outcome_unknown(denied.code.to_string())),
            Err(denied) => return Err(denied.into()),
        };
        let Some((name, address)) = target_address(shared, key) else {
            shared.core().service_ended(now, key, None);
            continue;
        };
        attempts += 1;
        let time_left = checked_request.start_by.since(now) + work.timeout;
        call.timeout = work.timeout.min(time_left);
        let run = TemplateRun::begin(shared, traits, address);
        let result = shared.clients.service(address).call(call.clone()).await;
        let took = shared.clock.now().since(now);
        let ok = result.is_ok().then_some(took);
        shared.core().service_ended(shared.clock.now(), key, ok);
        let error = match result {
            // A target that explicitly states that it did not run the call yields
            // `TargetError::Refused`. With only such a status, the call may have run.
            Ok(answer) if guarantees_not_run(answer.status) && !checked_request.repeatable => {
                let message = format!("{name} answered {} without a promise", answer.status);
                return Err(outcome_unknown(message));
            }
            Ok(answer) => {
                run.record_served();
                shared.core().retries().record_success();
                return Ok(answer);
            }
            Err(e) => e,
        };
        match error {
            TargetError::Rests(rest) => shared.start_rest_period(key, rest),
            TargetError::Broken(_) => run.record_broken_off().await,
            _ => {}
        }
        log::info!(
            "event=service_try_failed template={} target={name} try={attempts} error={:?}",
            checked_request.template,
            error.to_string()
        );
        may_have_run |= !error.is_certainly_not_run();
        if !may_retry(shared, checked_request, attempts, &error) {
            return Err(all_attempts_failed(&error, may_have_run));
        }
        failed_targets.insert(name);
    }
}

fn target_address(
    shared: &RouterShared,
    key: deckwind_core::routing::TargetKey,
) -> Option<(deckwind_core::state::TargetName, std::net::SocketAddr)> {
    let core = shared.core();
    let t = core.fleet().get(key)?;
    Some((t.name.clone(), t.address))
}

fn may_retry(
    shared: &RouterShared,
    checked_request: &CheckedRequest,
    attempts: u32,
    error: &TargetError,
) -> bool {
    let now = shared.clock.now();
    let time_left = checked_request.start_by.since(now);
    let not_run = error.is_certainly_not_run();
    let allowed =
        RetryPolicy::default().allows(attempts, checked_request.repeatable, not_run, time_left);
    allowed && shared.core().retries().spend(now)
}

fn all_attempts_failed(error: &TargetError, may_have_run: bool) -> CallerError {
    if may_have_run {
        return outcome_unknown(error.to_string());
    }
    let message = format!("no target took it: {error}");
    CallerError::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "no-targets",
        Ran::NotRun,
        message,
    )
    .retry_after(Duration::from_secs(1))
}

fn outcome_unknown(message: impl std::fmt::Display) -> CallerError {
    let message = format!("the call may have run: {message}");
    CallerError::new(
        StatusCode::BAD_GATEWAY,
        "target-failed",
        Ran::Unknown,
        message,
    )
}
