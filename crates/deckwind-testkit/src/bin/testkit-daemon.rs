//! Builds `deckwindd` in this package, so that tests find the program. On SIGUSR1 the
//! program's clock advances as if its VM had been suspended.

use deckwind_testkit::VmTime;
use deckwind_testkit::soak::SUSPENSION_TIME;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

fn main() -> ExitCode {
    let time = VmTime::new();
    std::thread::spawn(move || {
        if let Err(e) = suspend_on_signals(time) {
            eprintln!("error: can't receive SIGUSR1: {e}");
        }
    });
    deckwindd::commands::main_with_clock(time.clock())
}

/// Advances the clock on each SIGUSR1; returns only on errors.
fn suspend_on_signals(time: &'static VmTime) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let mut signals = signal(SignalKind::user_defined1())?;
        while signals.recv().await.is_some() {
            time.add_suspension(SUSPENSION_TIME);
        }
        Ok(())
    })
}
