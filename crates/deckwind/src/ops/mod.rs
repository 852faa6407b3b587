//! Operations behind the commands, usable without the command line.

mod api;
mod burn;
mod burn_page;
mod keys;
mod objects;

pub use api::ControlApi;
pub use burn::{CollectedBurn, collect_burn};
pub use burn_page::burn_page;
pub use keys::{NewKeys, new_keys, new_token};
pub use objects::{
    ApplyOptions, ObjectKind, ObjectRow, apply, list, new_request_id, read_change, show,
};
