//! Fakes of the systems that deckwind talks to: engine, plain service, weight
//! store and platform list.
//!
//! The fakes are meant for tests, the quick start and measurements, not for
//! production or as a cluster simulator. Each fake implements its trait of
//! `deckwind-net`, and [`serve`] exposes it over the HTTP protocol that the
//! real clients use. [`FakeTargetServer`] is different: it serves the published
//! target protocol over HTTP/1.1 itself, with faults.

pub mod command;
mod engine;
mod model;
mod platform;
pub mod serve;
mod service;
mod site;
mod target_server;
mod weights;

pub use engine::{EngineFault, FakeEngine, FakeEngineConfig, Run};
pub use model::{FakeModel, expected_answer};
pub use platform::FakePlatformList;
pub use service::{FakeService, ServiceFault};
pub use site::{
    AcceleratorKind, CALL_BODY, FakeCall, HOST, USUAL_TOKENS, fleet_release_document,
    generation_head, prompt_parts, prompt_parts_after, release_document, request_id,
};
pub use target_server::{
    AnswerDraws, Arrival, CRASH_DOWNTIME, ConnectionEnd, CutAnswer, CutPlace, ENDS_ITS_TARGET,
    EVENTS_PER_STREAM, EndlessAnswer, FakeFleet, FakeTargetFault, FakeTargetServer, FleetArrival,
    FleetConfig, MAX_ENDLESS_BYTES, Outage, POISON_PART_PREFIX, RawAnswer, SeenRequest,
    StreamEnding, StreamFraming, whole_stream,
};
pub use weights::FakeWeightStore;
