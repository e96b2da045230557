//! A voter that has just taken another's place knows of no lease that was granted before it.

use lease::{Effect, Event, Lease, LeaseTiming};
use protocol::{LeaseRequest, Payload, VoterSet};
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;
const SPAN: Duration = Duration::from_millis(1500);
/// Steps come many times within the margin.
const STEP_MS: u64 = 50;

fn named(voters: &[&str]) -> Vec<String> {
    voters.iter().map(|voter| (*voter).to_owned()).collect()
}

fn before() -> VoterSet {
    VoterSet::new(named(&["a", "b", "c"]))
}

fn joint() -> VoterSet {
    before()
        .begin_change(named(&["a", "b", "d"]))
        .expect("a change")
}

fn after() -> VoterSet {
    joint().complete_change().expect("a change")
}

struct Voter {
    lease: Lease,
    now: Duration,
}

impl Voter {
    /// It has followed for long, so that its own start makes it wait for nothing.
    fn that_followed(name: &str) -> Voter {
        let mut voter = Voter {
            lease: Lease::new(name.into(), LeaseTiming::new(SPAN, MS(500)), 1),
            now: MS(0),
        };
        voter.learns(before());
        // Its own candidacy would take its grant: a closed candidate asks for nothing.
        voter.lease.step(voter.now, Event::Close);
        voter.waits(4 * SPAN);
        voter
    }

    fn learns(&mut self, voter_set: VoterSet) {
        self.lease.step(
            self.now,
            Event::VotersChanged {
                voter_set,
                epoch: 0,
            },
        );
    }

    fn waits(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = until.min(self.now + MS(STEP_MS));
            self.lease.step(self.now, Event::Tick);
        }
    }

    /// Whether it goes on to grant what a candidate that knows these voters asks for.
    fn grants(&mut self, epoch: u64, voter_set: &VoterSet) -> bool {
        let body = Payload::LeaseRequest(LeaseRequest {
            epoch,
            nonce: epoch,
            renewal: false,
            voter_epoch: voter_set.epoch,
        });
        let effects = self.lease.step(
            self.now,
            Event::Received {
                from: "a".into(),
                body,
            },
        );
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::PersistLeaseEpoch { .. }))
    }
}

#[test]
fn a_voter_that_took_a_place_grants_nothing_for_a_span() {
    let mut new = Voter::that_followed("d");
    new.learns(joint());
    new.learns(after());
    assert!(
        !new.grants(1, &after()),
        "a majority of the voters before may have granted a lease"
    );
    new.waits(SPAN - MS(STEP_MS));
    assert!(!new.grants(2, &after()));
    new.waits(MS(2 * STEP_MS));
    assert!(new.grants(3, &after()), "every such lease has run out");
}

#[test]
fn a_voter_that_has_not_heard_of_its_place_grants_nothing_among_the_voters_after() {
    let mut behind = Voter::that_followed("d");
    behind.learns(joint());
    assert!(!behind.grants(1, &after()));
    assert!(
        behind.grants(2, &joint()),
        "a majority of the voters before has to grant it too"
    );
}

#[test]
fn a_voter_that_stays_goes_on_to_grant() {
    let mut stays = Voter::that_followed("b");
    stays.learns(joint());
    stays.learns(after());
    assert!(stays.grants(1, &after()));
}

/// It was replaced and came back, and slept over both changes.
#[test]
fn a_voter_that_missed_a_whole_change_grants_nothing_for_a_span() {
    let mut back = Voter::that_followed("c");
    let again = after()
        .begin_change(named(&["a", "b", "c"]))
        .expect("a change")
        .complete_change()
        .expect("a change");
    back.learns(again.clone());
    assert!(!back.grants(1, &again));
    back.waits(SPAN + MS(STEP_MS));
    assert!(back.grants(2, &again));
}
