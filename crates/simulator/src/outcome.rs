//! What a run came to.

use crate::faults::Plan;
use crate::network::TrafficByTopic;
use crate::world::{RECOVERY_TIMEOUT, World};
use invariants::observations::{FinishedOperation, TimedObservation};
use invariants::rules::{Violation, check_all};
use std::collections::BTreeSet;
use std::time::Duration;

/// What a run came to.
pub struct Outcome {
    /// The seed of the run.
    pub seed: u64,
    /// Its faults, with those that came up while it ran.
    pub plan: Plan,
    /// All that was observed, in order.
    pub observations: Vec<TimedObservation>,
    /// The clients' operations, in the order in which they ended.
    pub ended: Vec<FinishedOperation>,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
    /// When the last fault was healed.
    pub healed_at: Duration,
    /// How long after that the last operation failed.
    pub resumed_after: Duration,
    /// How much was served, in thousandths, of the operations started before the first fault, between it and the last
    /// healing, and after that.
    pub served_per_mille: [u64; 3],
    /// Messages between nodes.
    pub messages: u64,
    /// Their bytes.
    pub message_bytes: u64,
    /// The same bytes and those of datagrams, by topic and distance.
    pub traffic: TrafficByTopic,
    /// Virtual time from start to end.
    pub lasted: Duration,
    /// The voters at the end, as the control nodes know them.
    pub voters: BTreeSet<String>,
    /// Those of them that are lost for good.
    pub voters_gone: BTreeSet<String>,
    /// Voters that were lost for good or decommissioned, in this order.
    pub losses: Vec<VoterLoss>,
    /// How often a connection to an upstream was reused.
    pub reused_connections: u64,
    /// How many responses to other requests were skipped.
    pub skipped_responses: u64,
    /// Whether at the end, or once updates in flight had arrived, every node had the same revision, and every data-plane
    /// node the same reservations and tombstones.
    pub agreed: bool,
    /// A digest of all observations.
    pub digest: String,
}

/// A voter that is lost for good, and how long it takes until no control node counts it any more.
#[derive(Clone, Debug)]
pub struct VoterLoss {
    /// The voter.
    pub node: String,
    /// When it was lost.
    pub lost_at: Duration,
    /// When it was replaced; looked at every 100 ms.
    pub replaced_at: Option<Duration>,
}

impl Outcome {
    /// True where no rule was broken and service resumed in time.
    pub fn passed(&self) -> bool {
        // A site that rejects everything breaks no rule; so it must serve all before, and all in time after.
        self.violations.is_empty()
            && self.agreed
            && self.resumed_after <= RECOVERY_TIMEOUT
            && self.served_per_mille[0] == 1000
    }
}

impl World {
    pub(crate) fn finish(self, healed_at: Duration) -> Outcome {
        let violations = check_all(&self.observations, &self.shape.rule_parameters());
        let started_at = |ended: &FinishedOperation| ended.at.saturating_sub(ended.took);
        let failed = self.ended.iter().filter(|ended| ended.code != 1000);
        let last_failed = failed.map(started_at).max().unwrap_or(Duration::ZERO);
        // What was under way when the fault came belongs to the fault.
        let broken_at = self
            .plan
            .steps
            .iter()
            .map(|step| step.at)
            .min()
            .unwrap_or(healed_at);
        let broken_at = broken_at.saturating_sub(Duration::from_secs(3));
        let served = |from: Duration, until: Duration| {
            let part = self
                .ended
                .iter()
                .filter(|ended| (from..until).contains(&started_at(ended)));
            let counts = part.fold((0, 0), |(all, served), ended| {
                (all + 1, served + u64::from(ended.code == 1000))
            });
            (counts.1 * 1000u64).checked_div(counts.0).unwrap_or(1000)
        };
        let served_per_mille = [
            served(Duration::ZERO, broken_at),
            served(broken_at, healed_at),
            served(healed_at, Duration::MAX),
        ];
        let agreed = self.agreed();
        let voters = self.voters();
        let gone = self
            .nodes
            .iter()
            .filter(|node| node.removed)
            .map(|node| node.name.clone())
            .collect();
        let voters_gone = voters.intersection(&gone).cloned().collect();
        let digest = protocol::digest(format!("{:?}", self.observations).as_bytes());
        Outcome {
            seed: self.seed,
            plan: self.plan,
            served_per_mille,
            observations: self.observations,
            ended: self.ended,
            violations,
            healed_at,
            resumed_after: last_failed.saturating_sub(healed_at),
            messages: self.messages,
            message_bytes: self.message_bytes,
            traffic: self.network.traffic,
            lasted: self.now,
            voters,
            voters_gone,
            losses: self.losses,
            reused_connections: self.connections.reused_connections,
            skipped_responses: self.connections.skipped_responses,
            agreed,
            digest,
        }
    }
}
