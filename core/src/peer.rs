//! Membership records, which processes exchange about each other, and their merge.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    id::Incarnation,
    name::{ProcessName, TargetName, ZoneName},
};

/// The function of a process in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Accepts requests from callers and routes them to targets.
    Router,
    /// Runs beside the named target; `None` if the target has the process's name.
    Agent(Option<TargetName>),
}

/// Whether a process is believed to be running.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub enum Liveness {
    /// The process runs.
    #[display("alive")]
    Alive,
    /// The process did not answer probes.
    #[display("suspect")]
    Suspect,
    /// The process did not refute the suspicion in time.
    #[display("gone")]
    Gone,
}

/// The state of a process, from its liveness and whether it leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
pub enum MemberState {
    /// The process runs and takes work.
    #[display("alive")]
    Alive,
    /// The process may be unreachable, or flaps.
    #[display("suspect")]
    Suspect,
    /// The process shuts down soon and takes no new work.
    #[display("leaving")]
    Leaving,
    /// The process does not run.
    #[display("gone")]
    Gone,
}

/// What is known of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Name of the process, unique in the fleet.
    pub name: ProcessName,
    /// Router, or agent of a target.
    pub role: Role,
    /// Availability zone in which the process runs.
    pub zone: ZoneName,
    /// Address at which the process receives datagrams and connections of peers.
    pub address: SocketAddr,
    /// Identifies the process's start; zero for a process known from the document alone.
    pub incarnation: Incarnation,
    /// Oldest and newest wire version that the process supports.
    #[serde(rename = "wire")]
    pub wire_versions: (u16, u16),
    /// Whether the process is leaving; never withdrawn within an incarnation.
    pub leaving: bool,
    /// Raised by the process itself to refute a suspicion.
    pub sequence: u32,
    /// Whether the process is believed to be running.
    pub liveness: Liveness,
}

impl MemberRecord {
    /// The state that follows from liveness and leaving.
    pub fn state(&self) -> MemberState {
        match (self.liveness, self.leaving) {
            (Liveness::Gone, _) => MemberState::Gone,
            (_, true) => MemberState::Leaving,
            (Liveness::Suspect, false) => MemberState::Suspect,
            (Liveness::Alive, false) => MemberState::Alive,
        }
    }

    /// The target that the process runs beside; `None` for a router.
    pub fn target(&self) -> Option<&str> {
        match &self.role {
            Role::Router => None,
            Role::Agent(Some(target)) => Some(target.as_str()),
            Role::Agent(None) => Some(self.name.as_str()),
        }
    }

    /// Merges `other`, a record of the same process; returns whether this record changed.
    ///
    /// A later incarnation replaces the record. Within one incarnation, leaving is kept, and the
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
        // Two processes with the same name and incarnation would otherwise leave a record that
        // depends on the order of merges.
        if other.attributes() > self.attributes() {
            self.role.clone_from(&other.role);
            self.zone.clone_from(&other.zone);
            self.address = other.address;
            self.wire_versions = other.wire_versions;
            changed = true;
        }
        changed
    }

    fn attributes(&self) -> (&Role, &ZoneName, SocketAddr, (u16, u16)) {
        (&self.role, &self.zone, self.address, self.wire_versions)
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
        // Bytes: incarnation 10, versions 6, leaving 1, sequence 5, liveness 1.
        role + address + names + 23
    }
}
