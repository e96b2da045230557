//! A fault that strikes between a proxy's choice of an upstream and its connection to it.

use crate::submissions::OperatorCommand;
use crate::world::{LOAD_STARTS_AT, World};

impl World {
    /// A proxy has chosen this upstream and begins to connect: where an ambush is set, the proxy's machine freezes,
    /// and meanwhile the upstream drains or its zone is evacuated.
    pub(crate) fn trigger_ambush(&mut self, proxy: usize, instance: &str) {
        let chosen = self
            .upstreams
            .iter()
            .position(|upstream| upstream.instance == instance && upstream.up);
        let Some(upstream) = chosen else {
            return;
        };
        if self.now < LOAD_STARTS_AT {
            return;
        }
        let Some(evacuate) = self.ambush.take() else {
            return;
        };
        self.freeze_machine(self.nodes[proxy].machine);
        if evacuate {
            let locality = self.upstreams[upstream].place.locality.clone();
            self.submit(OperatorCommand::Evacuate {
                locality,
                back: false,
            });
        } else {
            self.drain_upstream(upstream);
        }
    }
}
