//! Daemon that runs the roles named by its settings.

use crate::context::{Context, seed_slots};
use crate::control::Control;
use crate::metrics_page;
use crate::router::Router;
use crate::suspension;
use anyhow::Result;
use deckwind_config::Settings;
use deckwind_net::clock::Clock;
use deckwind_net::targets::{Connector, TcpConnector};
use std::sync::Arc;
use tokio::runtime::Handle;
use tokio::task::JoinHandle;

/// Running daemon with its roles.
pub struct Daemon {
    control: Option<Control>,
    router: Option<Router>,
    suspension_watcher: JoinHandle<()>,
}

impl Daemon {
    /// Starts the roles named by the settings.
    ///
    /// # Errors
    ///
    /// Fails if a role cannot start, for example if an address cannot be bound.
    pub async fn start(settings: Settings) -> Result<Self> {
        Self::start_with(settings, Clock::start(), Arc::new(TcpConnector)).await
    }

    /// Starts like [`Daemon::start`], with the given clock, and with a connector for
    /// connections from routers to targets of published routes.
    ///
    /// # Errors
    ///
    /// Fails like [`Daemon::start`].
    pub async fn start_with(
        settings: Settings,
        clock: Clock,
        connector: Arc<dyn Connector>,
    ) -> Result<Self> {
        metrics_page::page();
        let cx = Context::new(settings, Handle::current(), clock, connector);
        let control = match &cx.settings.control {
            Some(cfg) => Some(Control::start(&cx, cfg)?),
            None => None,
        };
        let router = match &cx.settings.router {
            Some(cfg) => Some(Router::start(&cx, cfg).await?),
            None => None,
        };
        log::info!(
            "event=started vm={} router={} control={}",
            cx.settings.vm,
            router.is_some(),
            control.is_some()
        );
        let suspension_watcher = tokio::spawn(suspension::watch(cx.clock));
        Ok(Self {
            control,
            router,
            suspension_watcher,
        })
    }

    /// Returns the router, if the daemon has that role.
    pub fn router(&self) -> Option<&Router> {
        self.router.as_ref()
    }

    /// Returns whether all roles are still running. A control replica whose disk failed
    /// has stopped.
    pub fn is_alive(&self) -> bool {
        self.control.as_ref().is_none_or(Control::is_alive)
    }

    /// Applies the settings that can change at runtime, which are only the seeds, and logs
    /// them. All other settings need a restart.
    pub fn reload(&self, settings: Settings) {
        let slots = settings.seeds.as_ref().map(seed_slots).unwrap_or_default();
        log::info!("event=settings_read seeds={slots:?}");
        if slots.is_empty() {
            return;
        }
        if let Some(control) = &self.control {
            control.set_seeds(slots.clone());
        }
        if let Some(router) = &self.router {
            router.set_seeds(slots);
        }
    }

    /// Shuts down gracefully. The router closes first, so that it can still release its
    /// lease through the control replicas.
    ///
    /// # Errors
    ///
    /// Fails if the control replica cannot be closed.
    pub async fn close(self) -> Result<()> {
        if let Some(router) = self.router {
            router.close().await;
        }
        if let Some(control) = self.control {
            control.close().await?;
        }
        self.suspension_watcher.abort();
        log::info!("event=stopped");
        Ok(())
    }
}
