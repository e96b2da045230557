//! The voters of the replicated state, and what makes a quorum of them.

use prost::Message;

/// Who votes. It is part of the replicated state, so it changes by agreement, and one change at a time: first to a joint
/// set, whose quorums are majorities of the voters before *and* after, and then to the voters after.
///
/// ```
/// use protocol::VoterSet;
/// let three = VoterSet::new(["a", "b", "c"].map(String::from).to_vec());
/// assert!(three.is_quorum(|voter| voter != "c"));
/// let joint = three.begin_change(["a", "b", "d"].map(String::from).to_vec()).unwrap();
/// assert!(!joint.is_quorum(|voter| ["b", "c"].contains(&voter)), "no majority of the voters after");
/// assert!(joint.is_quorum(|voter| ["a", "b"].contains(&voter)));
/// let after = joint.complete_change().unwrap();
/// assert_eq!((after.epoch, after.contains("c"), after.contains("d")), (2, false, true));
/// ```
#[derive(Clone, PartialEq, Eq, Hash, Message)]
pub struct VoterSet {
    /// Rises by one with each step of a change: even where no change is under way, odd while the set is joint.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// The voters; during a change, those before it.
    #[prost(string, repeated, tag = "2")]
    pub voters: Vec<String>,
    /// The voters after the change that is under way; empty where none is.
    #[prost(string, repeated, tag = "3")]
    pub next: Vec<String>,
}

impl VoterSet {
    /// The first set of a new cluster.
    ///
    /// ```
    /// assert_eq!(protocol::VoterSet::new(vec!["a".into()]).epoch, 0);
    /// ```
    pub fn new(voters: Vec<String>) -> VoterSet {
        VoterSet {
            epoch: 0,
            voters,
            next: Vec::new(),
        }
    }

    /// True while a change is under way.
    ///
    /// ```
    /// assert!(!protocol::VoterSet::new(vec!["a".into()]).is_joint());
    /// ```
    pub fn is_joint(&self) -> bool {
        !self.next.is_empty()
    }

    /// True for a voter before or after the change under way.
    ///
    /// ```
    /// assert!(protocol::VoterSet::new(vec!["a".into()]).contains("a"));
    /// ```
    pub fn contains(&self, node: &str) -> bool {
        self.members().any(|voter| voter == node)
    }

    /// Every voter once, those before and after the change under way.
    ///
    /// ```
    /// assert_eq!(protocol::VoterSet::new(vec!["a".into(), "b".into()]).members().count(), 2);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = &String> {
        let joining = self
            .next
            .iter()
            .filter(|voter| !self.voters.contains(voter));
        self.voters.iter().chain(joining)
    }

    /// True where those who agreed suffice to decide: a majority of the voters, and of the voters after the change under
    /// way too. Any two quorums of one set, and of a set and the one before or after it, share a voter.
    ///
    /// ```
    /// use protocol::VoterSet;
    /// assert!(!VoterSet::default().is_quorum(|_| true), "nobody decides where nobody votes");
    /// let six = VoterSet::new((0..6).map(|at| at.to_string()).collect());
    /// assert!(!six.is_quorum(|voter| voter < "3"));
    /// assert!(six.is_quorum(|voter| voter < "4"));
    /// ```
    pub fn is_quorum(&self, agreed: impl Fn(&str) -> bool) -> bool {
        let has_majority = |voters: &[String]| {
            voters.iter().filter(|voter| agreed(voter)).count() >= majority(voters.len())
        };
        has_majority(&self.voters) && (!self.is_joint() || has_majority(&self.next))
    }

    /// The voter whose half decides where an even number of voters is split into halves; none where their number is odd, or a
    /// change is under way.
    ///
    /// ```
    /// use protocol::VoterSet;
    /// let voters = |names: &[&str]| VoterSet::new(names.iter().map(|name| name.to_string()).collect());
    /// assert_eq!(voters(&["b", "a"]).tie_breaker(), Some("a"));
    /// assert_eq!(voters(&["b", "a", "c"]).tie_breaker(), None);
    /// ```
    pub fn tie_breaker(&self) -> Option<&str> {
        let has_ties = !self.is_joint() && self.voters.len().is_multiple_of(2);
        let first = self.voters.iter().min().map(String::as_str);
        first.filter(|_| has_ties)
    }

    /// True where those who agreed may decide who holds the lease: a quorum, or half of an even number with the tie-breaker
    /// among them. Any two such groups of one set share a voter, as any two quorums do. `may_break_tie` tells of each voter
    /// that agreed whether it may be counted towards a half: it has to have known the set for long enough that no lease of
    /// an earlier set lasts.
    ///
    /// ```
    /// let four = protocol::VoterSet::new(["a", "b", "c", "d"].map(String::from).to_vec());
    /// assert!(four.is_lease_quorum(|voter| voter < "c", |_| true));
    /// assert!(!four.is_lease_quorum(|voter| voter < "c", |voter| voter == "a"));
    /// assert!(!four.is_lease_quorum(|voter| voter >= "c", |_| true), "without the tie-breaker");
    /// assert!(four.is_lease_quorum(|voter| voter >= "b", |_| false));
    /// ```
    pub fn is_lease_quorum(
        &self,
        agreed: impl Fn(&str) -> bool,
        may_break_tie: impl Fn(&str) -> bool,
    ) -> bool {
        if self.is_quorum(&agreed) {
            return true;
        }
        let counts = |voter: &str| agreed(voter) && may_break_tie(voter);
        let counted = self.voters.iter().filter(|voter| counts(voter)).count();
        self.tie_breaker().is_some_and(counts) && counted * 2 >= self.voters.len()
    }

    /// The joint set that a change to these voters begins with; none where one is under way, nothing changes, or nobody
    /// would be left.
    ///
    /// ```
    /// let alone = protocol::VoterSet::new(vec!["a".into()]);
    /// assert_eq!(alone.begin_change(Vec::new()), None);
    /// assert_eq!(alone.begin_change(vec!["a".into()]), None);
    /// ```
    pub fn begin_change(&self, mut next: Vec<String>) -> Option<VoterSet> {
        next.sort();
        next.dedup();
        let changes = !self.is_joint() && !next.is_empty() && next != self.voters;
        changes.then(|| VoterSet {
            epoch: self.epoch + 1,
            voters: self.voters.clone(),
            next,
        })
    }

    /// The set after the change under way; none where there is none.
    ///
    /// ```
    /// assert_eq!(protocol::VoterSet::new(vec!["a".into()]).complete_change(), None);
    /// ```
    pub fn complete_change(&self) -> Option<VoterSet> {
        self.is_joint().then(|| VoterSet {
            epoch: self.epoch + 1,
            voters: self.next.clone(),
            next: Vec::new(),
        })
    }
}

/// How many of `count` voters make a majority.
///
/// ```
/// assert_eq!(protocol::majority(6), 4);
/// assert_eq!(protocol::majority(3), 2);
/// ```
pub fn majority(count: usize) -> usize {
    count / 2 + 1
}
