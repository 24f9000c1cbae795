//! What processes tell each other about one process, and how two such records merge.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::Incarnation,
    name::{ProcessName, TargetName, ZoneName},
};

/// What a process does.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Serves callers.
    Router,
    /// Stands beside a target; the target is absent where it has the process's name.
    Agent(Option<TargetName>),
}

/// Whether a process is taken to be running.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Liveness {
    /// It runs.
    #[display("alive")]
    Alive,
    /// It did not answer probes.
    #[display("suspect")]
    Suspect,
    /// It stayed silent after it was suspected.
    #[display("gone")]
    Gone,
}

/// The state of a process as others act on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
pub enum MemberState {
    /// It runs and takes work.
    #[display("alive")]
    Alive,
    /// It may be unreachable.
    #[display("suspect")]
    Suspect,
    /// It ends soon and takes no new work.
    #[display("leaving")]
    Leaving,
    /// It does not run.
    #[display("gone")]
    Gone,
}

/// One process at one point of its life.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The process's name.
    pub name: ProcessName,
    /// What it does.
    pub role: Role,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it takes datagrams and peers' connections.
    pub address: SocketAddr,
    /// Its start; zero for a process that is known from the document alone.
    pub incarnation: Incarnation,
    /// Oldest and newest wire version that it speaks.
    pub wire: (u16, u16),
    /// Whether it was said to leave; never withdrawn within an incarnation.
    pub leaving: bool,
    /// Raised by the process itself to refute a suspicion.
    pub sequence: u32,
    /// Whether it is taken to be running.
    pub liveness: Liveness,
}

impl MemberRecord {
    /// The state that others act on.
    pub fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Gone, _) => MemberState::Gone,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// The target that the process stands beside.
    pub fn target(&self) -> Option<&str> {
        match &self.role {
            Role::Router => None,
            Role::Agent(Some(target)) => Some(target.as_str()),
            Role::Agent(None) => Some(self.name.as_str()),
        }
    }

    /// Takes over what `other`, a record of the same process, knows better; true when that
    /// changed anything.
    ///
    /// A later incarnation replaces the record. Within one incarnation, leaving stays, and the
    /// higher sequence wins, then the worse liveness. This is the least upper bound of a lattice,
    /// so that the order and number of merges do not matter.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.incarnation < self.incarnation {
            return false;
        }
        if other.incarnation > self.incarnation {
            let name = self.name.clone();
            self.clone_from(other);
            self.name = name;
            return true;
        }
        let mut changed = false;
        if other.leaving && !self.leaving {
            self.leaving = true;
            changed = true;
        }
        if (other.sequence, other.liveness) > (self.sequence, self.liveness) {
            (self.sequence, self.liveness) = (other.sequence, other.liveness);
            changed = true;
        }
        // Two processes with one name and start time would otherwise depend on the merge order.
        if other.attributes() > self.attributes() {
            self.role.clone_from(&other.role);
            self.zone.clone_from(&other.zone);
            self.address = other.address;
            self.wire = other.wire;
            changed = true;
        }
        changed
    }

    fn attributes(&self) -> (&Role, &ZoneName, SocketAddr, (u16, u16)) {
        (&self.role, &self.zone, self.address, self.wire)
    }

    /// An upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let role = match &self.role {
            Role::Router => 1,
            Role::Agent(None) => 2,
            Role::Agent(Some(target)) => 3 + target.as_str().len(),
        };
        let address = if self.address.is_ipv4() { 8 } else { 20 };
        let names = 2 + self.name.as_str().len() + self.zone.as_str().len();
        // Incarnation 10, versions 6, leaving 1, sequence 5, liveness 1.
        role + address + names + 23
    }
}
