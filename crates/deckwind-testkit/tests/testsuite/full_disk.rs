//! A control replica whose disk refuses writes: it acknowledges no change, keeps
//! running, and accepts changes again once writes succeed.

use crate::run_async;
use deckwind_config::load;
use deckwind_core::control::{OperatorReply, OperatorRequest};
use deckwind_core::state::{ApplyRequest, Change};
use deckwind_net::clock::Clock;
use deckwind_net::targets::TcpConnector;
use deckwind_store::MemoryDisk;
use deckwind_testkit::{Layout, chat_template, eventually_async};
use deckwindd::context::Context;
use deckwindd::control::{Control, Input};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;
use tokio::sync::oneshot;

struct ReplicaOnMemoryDisk {
    disk: MemoryDisk,
    control: Control,
    changes: u32,
}

impl ReplicaOnMemoryDisk {
    fn start(layout: &Layout) -> Self {
        let settings = load(
            &layout
                .control_settings(0)
                .expect("the settings are written"),
        );
        let settings = settings.expect("the settings are valid");
        let cfg = settings
            .control
            .clone()
            .expect("the settings have a control section");
        let cx = Context::new(
            settings,
            Handle::current(),
            Clock::start(),
            Arc::new(TcpConnector),
        );
        let disk = MemoryDisk::default();
        let shared_disk = disk.clone();
        let open = Box::new(move |_: &std::path::Path| Ok(Box::new(shared_disk.clone()) as _));
        let control = Control::start_with_disk(&cx, &cfg, open).expect("the replica starts");
        Self {
            disk,
            control,
            changes: 0,
        }
    }

    /// Submits a change and returns the reply; `None` if none arrives within 5 s.
    async fn submit_change(&mut self) -> Option<OperatorReply> {
        self.changes += 1;
        let request = ApplyRequest {
            request_id: format!("r{}", self.changes).as_str().into(),
            expected: None,
            change: Change::Template(chat_template("t", self.changes)),
        };
        let request = OperatorRequest::Apply {
            request: Box::new(request),
            wait: Duration::ZERO,
        };
        let (tx, rx) = oneshot::channel();
        let reply = Box::new(move |r| drop(tx.send(r)));
        self.control.handle().send(Input::Operator(request, reply));
        let reply = tokio::time::timeout(Duration::from_secs(5), rx).await;
        reply.ok()?.ok()
    }

    async fn wait_until_accepted(&mut self) {
        for _ in 0..200 {
            if let Some(OperatorReply::Accepted { .. }) = self.submit_change().await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("no change was accepted");
    }
}

#[test]
fn a_full_disk_acknowledges_nothing_and_recovers_once_there_is_space() {
    run_async(async {
        let layout = Layout::new(1, 0).expect("the layout is created");
        let mut replica = ReplicaOnMemoryDisk::start(&layout);
        replica.wait_until_accepted().await;
        for _ in 0..2 {
            replica.disk.fail_after(0);
            let reply = replica.submit_change().await;
            assert!(
                !matches!(reply, Some(OperatorReply::Accepted { .. })),
                "{reply:?}"
            );
            assert!(replica.control.is_alive());
            replica.disk.clear_failure();
            replica.wait_until_accepted().await;
        }
        let control = replica.control;
        eventually_async("the replica is running", || async {
            control.is_alive().then_some(())
        })
        .await;
        control.close().await.expect("the replica stops");
    });
}
