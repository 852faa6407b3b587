//! Requests by template under which targets end: their targets announce no lives, so
//! each router finds out by itself that one has ended.

use crate::{any, run};
use deckwind_core::state::{Change, LayerRange};
use deckwind_fakes::serve::{self, Served};
use deckwind_fakes::{EngineFault, FakeEngine, FakeEngineConfig, FakeService, ServiceFault};
use deckwind_testkit::{
    Answer, Caller, Cluster, account, chat_template, engine_target, eventually_async,
    service_target, service_template,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;
use yare::parameterized;

/// Targets, tries of one content, and ends that they may bring about.
const TARGETS: u32 = 8;
const TRIES: usize = 8;
const MAY_END: u32 = 3;

/// How long a target is away that has ended.
const AWAY: Duration = Duration::from_millis(300);

/// A caller's pause: what one router saw is known to all.
const PAUSE: Duration = Duration::from_millis(400);

/// Longer than it takes to see that a run has begun.
const STEP: Duration = Duration::from_millis(150);

/// What the targets do now, and how many have ended.
#[derive(Clone, Default)]
struct Endings {
    /// Each that begins to run something ends.
    on: Arc<AtomicBool>,
    ended: Arc<AtomicU32>,
}

#[derive(Clone)]
enum Target {
    Service(FakeService),
    Engine(FakeEngine),
}

impl Target {
    async fn serve(&self, at: SocketAddr) -> Served {
        let served = match self {
            Target::Service(s) => serve::service(at, Arc::new(s.clone())).await,
            Target::Engine(e) => serve::engine(at, Arc::new(e.clone())).await,
        };
        served.expect("its address is free")
    }

    fn runs(&self) -> usize {
        match self {
            Target::Service(s) => s.runs().values().map(|n| *n as usize).sum(),
            Target::Engine(e) => e.open_stages(),
        }
    }

    /// Whether a run that has begun takes long enough to be cut.
    fn lingers(&self, on: bool) {
        let Target::Service(s) = self else { return };
        s.set_fault(match on {
            true => ServiceFault::RunsThenFreezes,
            false => ServiceFault::None,
        });
    }

    /// Its process is gone, and what it held.
    fn forget(&self) {
        if let Target::Engine(e) = self {
            e.set_fault(EngineFault::Dead);
            e.set_fault(EngineFault::None);
        }
    }
}

/// Serves a target; ends it when it begins to run something, and starts it again.
async fn live(target: Target, before: Arc<AtomicUsize>, first: Served, endings: Endings) {
    let address = first.address;
    let mut served = first;
    loop {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let begun = target.runs() > before.load(Ordering::SeqCst);
        if begun && endings.on.load(Ordering::SeqCst) {
            served.kill().await;
            target.forget();
            before.store(target.runs(), Ordering::SeqCst);
            endings.ended.fetch_add(1, Ordering::SeqCst);
            tokio::time::sleep(AWAY).await;
            served = target.serve(address).await;
        }
    }
}

struct Rig {
    cluster: Cluster,
    targets: Vec<Target>,
    /// Runs of each that do not end it.
    before: Vec<Arc<AtomicUsize>>,
    endings: Endings,
    chat: bool,
}

impl Rig {
    async fn start(chat: bool) -> Self {
        let cluster = Cluster::start(1, 2).await.expect("a cluster");
        let template = match chat {
            true => chat_template("t", 4),
            false => service_template("t", true),
        };
        let changes = [
            Change::Template(template),
            Change::Account(account("a", "key")),
        ];
        for change in changes {
            cluster.apply(change).await.expect("applied");
        }
        let mut rig = Self {
            cluster,
            targets: Vec::new(),
            before: Vec::new(),
            endings: Endings::default(),
            chat,
        };
        for i in 0..TARGETS {
            rig.add(i).await;
        }
        rig
    }

    async fn add(&mut self, i: u32) {
        let mut cfg = FakeEngineConfig::new(LayerRange::new(0, 4), 4);
        cfg.step_time = STEP;
        let target = match self.chat {
            true => Target::Engine(FakeEngine::new(cfg)),
            false => Target::Service(FakeService::new(&format!("s{i}"))),
        };
        let served = target.serve(any()).await;
        let name = format!("target-{i}");
        let change = match self.chat {
            true => engine_target(&name, served.address, 0, 4),
            false => service_target(&name, served.address, "t"),
        };
        let applied = self.cluster.apply(Change::Target(change)).await;
        applied.expect("applied");
        let before = Arc::<AtomicUsize>::default();
        let life = live(target.clone(), before.clone(), served, self.endings.clone());
        tokio::spawn(life);
        self.targets.push(target);
        self.before.push(before);
    }

    async fn ask(&self, router: usize, text: &str) -> Answer {
        let caller = Caller::new(self.cluster.callers(router), "key");
        let answer = match self.chat {
            true => caller.chat("t", text, 1, &[]).await,
            false => caller.post("/s/t/x", text.to_string(), &[]).await,
        };
        answer.expect("an answer")
    }

    /// Waits until a router serves something else.
    async fn until_served(&self, router: usize) {
        eventually_async("another content is served", || async {
            (self.ask(router, "another").await.status == 200).then_some(())
        })
        .await;
    }

    /// Asks for what ends each target that runs it, at both routers in turn.
    async fn ask_again_and_again(&self) -> Answer {
        let mut last = None;
        for i in 0..TRIES {
            tokio::time::sleep(PAUSE).await;
            self.until_served(i % 2).await;
            self.begin_endings().await;
            last = Some(self.ask(i % 2, "ends its targets").await);
            self.stop_endings();
        }
        last.expect("there were tries")
    }

    /// Once nothing else runs.
    async fn begin_endings(&self) {
        eventually_async("no engine has an open stage", || async {
            let engines = self
                .targets
                .iter()
                .filter(|t| matches!(t, Target::Engine(_)));
            engines
                .map(Target::runs)
                .all(|open| open == 0)
                .then_some(())
        })
        .await;
        for (target, before) in self.targets.iter().zip(&self.before) {
            before.store(target.runs(), Ordering::SeqCst);
            target.lingers(true);
        }
        self.endings.on.store(true, Ordering::SeqCst);
    }

    fn stop_endings(&self) {
        self.endings.on.store(false, Ordering::SeqCst);
        self.targets.iter().for_each(|t| t.lingers(false));
    }
}

#[parameterized(
    service = { false },
    chat = { true },
)]
fn a_content_that_ends_its_targets_ends_three_of_them(chat: bool) {
    run(async move {
        let rig = Rig::start(chat).await;
        let last = rig.ask_again_and_again().await;
        assert_eq!(rig.endings.ended.load(Ordering::SeqCst), MAY_END);
        assert_eq!((last.status, last.code().as_str()), (503, "quarantined"));
        assert_eq!(last.header("deckwind-ran"), Some("not-run"));
        let after: u64 = last.header("retry-after").unwrap().parse().unwrap();
        assert!(after > 60, "nobody is asked to come back soon: {after} s");
        rig.until_served(0).await;
        rig.cluster.close().await.expect("closed");
    });
}

/// A connection that breaks is no end: the target is there.
#[test]
fn a_service_that_breaks_off_and_is_there_condemns_nobody() {
    run(async {
        let rig = Rig::start(false).await;
        for target in &rig.targets {
            let Target::Service(s) = target else { continue };
            s.set_fault(ServiceFault::RunsThenBreaks);
        }
        for i in 0..TRIES {
            let broken = rig.ask(i % 2, "breaks").await;
            assert_ne!(broken.code(), "quarantined");
        }
        rig.stop_endings();
        eventually_async("it is served", || async {
            (rig.ask(0, "breaks").await.status == 200).then_some(())
        })
        .await;
        rig.cluster.close().await.expect("closed");
    });
}
