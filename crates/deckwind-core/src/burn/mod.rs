//! Service levels: which share of answers was on time, and how fast the error
//! budget burns.
//!
//! The burn rate is (share missed) / (share that may be missed): at 1 the
//! budget lasts exactly its period; at 14.4 over an hour, 2% of a 30-day budget
//! is gone (Beyer et al., "The Site Reliability Workbook", chapter 5). An alert
//! needs a long and a short window, so that it starts late enough to matter and
//! ends soon.

mod meter;
mod report;

pub use meter::{BurnMeter, Counts, Window};
pub use report::{Alert, BurnReport, BurnRow, WindowBurn};
