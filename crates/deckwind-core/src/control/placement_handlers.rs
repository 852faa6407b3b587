//! The leader's steps towards the wanted placement of layers.

use super::control_core::ControlCore;
use super::event::ControlAction;
use super::pending::Requester;
use crate::state::{CommandBody, Incarnation, InstanceChange, LayerRange};
use crate::time::Instant;

impl ControlCore {
    /// Orders the next steps of the placement, if there are any.
    pub(super) fn place_layers(&mut self, now: Instant, out: &mut Vec<ControlAction>) {
        let cfg = self.state_machine.configuration();
        let (Some(leader_state), Some(release)) = (&mut self.leader_state, cfg.release()) else {
            return;
        };
        let work = leader_state
            .placement
            .next_step(now, release, cfg.instances());
        if !work.changes.is_empty() {
            let body = CommandBody::Instances(work.changes);
            self.propose(now, body, Requester::Internal, out);
        }
        out.extend(work.orders.into_iter().map(ControlAction::Place));
    }

    /// Handles the end of a layer placement order. `held` is the range of layers the
    /// engine held afterwards, if known. It is ignored if a new incarnation has started
    /// in the meantime.
    pub(super) fn handle_placement_result(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        held: Option<LayerRange>,
        out: &mut Vec<ControlAction>,
    ) {
        let Some(leader_state) = &mut self.leader_state else {
            return;
        };
        leader_state
            .placement
            .order_ended(now, incarnation, held.is_some());
        let Some(held) = held else {
            return;
        };
        let change = InstanceChange::Holds {
            life: incarnation.clone(),
            layers: held,
            in_memory: held.len(),
        };
        let body = CommandBody::Instances(vec![change]);
        self.propose(now, body, Requester::Internal, out);
    }
}
