//! The states of members and upstreams. They travel as numbers; a number that this release doesn't know is kept as it
//! is, and orders after all that it knows.

use crate::{Departure, Member, Upstream};

/// What membership knows of a node's health. In one incarnation a later state overrides an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It answered neither its prober nor the indirect probes.
    Suspect,
    /// It did not refute the suspicion in time.
    Dead,
    /// It shut down gracefully.
    Left,
    /// A state of a later release.
    Unrecognized(u32),
}

impl From<u32> for MemberState {
    /// ```
    /// use protocol::MemberState;
    /// assert_eq!(MemberState::from(2), MemberState::Dead);
    /// assert_eq!(u32::from(MemberState::from(7)), 7);
    /// assert!(MemberState::from(7) > MemberState::Left);
    /// ```
    fn from(number: u32) -> MemberState {
        match number {
            0 => MemberState::Alive,
            1 => MemberState::Suspect,
            2 => MemberState::Dead,
            3 => MemberState::Left,
            other => MemberState::Unrecognized(other),
        }
    }
}

impl From<MemberState> for u32 {
    fn from(state: MemberState) -> u32 {
        match state {
            MemberState::Alive => 0,
            MemberState::Suspect => 1,
            MemberState::Dead => 2,
            MemberState::Left => 3,
            MemberState::Unrecognized(number) => number,
        }
    }
}

/// Whether an upstream takes requests. A state is never followed by an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It finishes what it runs and takes no new requests.
    Draining,
    /// It signed off, was replaced at its address, or sent no heartbeat for too long.
    Deregistered,
    /// A state of a later release.
    Unrecognized(u32),
}

impl From<u32> for UpstreamState {
    /// ```
    /// use protocol::UpstreamState;
    /// assert_eq!(UpstreamState::from(1), UpstreamState::Draining);
    /// assert_eq!(u32::from(UpstreamState::from(7)), 7);
    /// assert!(UpstreamState::from(7) > UpstreamState::Deregistered);
    /// ```
    fn from(number: u32) -> UpstreamState {
        match number {
            0 => UpstreamState::Ready,
            1 => UpstreamState::Draining,
            2 => UpstreamState::Deregistered,
            other => UpstreamState::Unrecognized(other),
        }
    }
}

impl From<UpstreamState> for u32 {
    fn from(state: UpstreamState) -> u32 {
        match state {
            UpstreamState::Ready => 0,
            UpstreamState::Draining => 1,
            UpstreamState::Deregistered => 2,
            UpstreamState::Unrecognized(number) => number,
        }
    }
}

impl Member {
    /// The member's state, from its number on the wire.
    ///
    /// ```
    /// assert_eq!(protocol::Member::default().state(), protocol::MemberState::Alive);
    /// ```
    pub fn state(&self) -> MemberState {
        self.state.into()
    }
}

impl Upstream {
    /// The upstream's state, from its number on the wire.
    ///
    /// ```
    /// assert_eq!(protocol::Upstream::default().state(), protocol::UpstreamState::Ready);
    /// ```
    pub fn state(&self) -> UpstreamState {
        self.state.into()
    }
}

impl Departure {
    /// The state of the upstream that departed, from its number on the wire.
    ///
    /// ```
    /// let departure = protocol::Departure { state: 1, ..Default::default() };
    /// assert_eq!(departure.state(), protocol::UpstreamState::Draining);
    /// ```
    pub fn state(&self) -> UpstreamState {
        self.state.into()
    }
}
