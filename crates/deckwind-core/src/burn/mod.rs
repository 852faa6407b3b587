//! Service level objectives: the share of answers on time, and the rate at which the error
//! budget burns.
//!
//! The burn rate is (share missed) / (share that may be missed): at 1 the budget lasts
//! exactly its period; at 14.4 over an hour, 2% of a 30-day budget is spent (Beyer et al.,
//! "The Site Reliability Workbook", chapter 5). An alert needs a long window, so that it
//! only fires when enough of the budget is spent, and a short one, so that it ends soon.

mod meter;
mod report;

pub use meter::{BurnMeter, Counts, Window};
pub use report::{Alert, BurnReport, BurnRow, WindowBurn};
