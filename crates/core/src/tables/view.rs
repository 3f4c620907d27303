//! Views: the members of the fleet and what each of them owns.

use smallvec::SmallVec;

use crate::ids::{
    AccountName, DomainName, Epoch, Incarnation, PoolKey, ProgramKey, ServiceName, VmName,
};

/// The members of the fleet at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct View {
    /// Number of the view, which rises with each change.
    pub epoch: Epoch,
    /// The members, ordered by name.
    pub members: Vec<Member>,
    /// Members that may write the next view.
    pub writers: SmallVec<[VmName; 2]>,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its address as `ip:port`.
    pub address: String,
    /// Whether it is about to leave and gets no new duties.
    pub leaving: bool,
    /// Epoch of the view that made it a member.
    ///
    /// It distinguishes a VM that was removed and made a member again from one that stayed, even
    /// if the views in between were missed.
    pub joined: Epoch,
}

/// The difference between two successive views of one VM.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct ViewDelta {
    /// Epoch of the earlier view.
    pub from: Epoch,
    /// Epoch of the later view.
    pub to: Epoch,
    /// Members that are no longer in the view.
    pub removed: Vec<VmName>,
    /// Members that are new or have changed.
    pub changed: Vec<Member>,
    /// Members that may write the next view.
    pub writers: SmallVec<[VmName; 2]>,
}

/// A change of the view in force, passed to the other systems in the same tick.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ViewChange {
    /// The view that was in force before.
    pub before: View,
    /// Epoch of the view now in force.
    pub epoch: Epoch,
    /// Members that were removed; a restarted VM is both here and in `added`.
    pub removed: Vec<Member>,
    /// Members that were added.
    pub added: Vec<Member>,
    /// Whether this VM was removed, or was removed and made a member again.
    ///
    /// Others may own by now what it owned before.
    pub lost_membership: bool,
}

/// Kinds of things that a VM can own; the number seeds the hash, so that kinds hash differently.
#[derive(Debug, Clone, Copy)]
enum OwnedKind {
    Account = 1,
    Program = 2,
    Pool = 3,
    Orders = 4,
}

/// # Owners
impl View {
    /// Returns the owner of a client account.
    pub fn account_owner(&self, account: &AccountName) -> Option<&VmName> {
        self.choose_owner(OwnedKind::Account, [account.as_str(), ""])
    }

    /// Returns the home of a program, which is the home of its root.
    pub fn program_home(&self, program: &ProgramKey) -> Option<&VmName> {
        let key = [program.account.as_str(), program.name.root()];
        self.choose_owner(OwnedKind::Program, key)
    }

    /// Returns the owner of a pool.
    pub fn pool_owner(&self, pool: &PoolKey) -> Option<&VmName> {
        let model = pool.model.as_ref().map_or("", |model| model.as_str());
        self.choose_owner(OwnedKind::Pool, [pool.service.as_str(), model])
    }

    /// Returns the VM that sends the orders to the engines of a service.
    pub fn orders_owner(&self, service: &ServiceName) -> Option<&VmName> {
        self.choose_owner(OwnedKind::Orders, [service.as_str(), ""])
    }

    /// Chooses the owner by rendezvous hashing: the member with the highest hash of its name and
    /// the key.
    fn choose_owner(&self, kind: OwnedKind, key: [&str; 2]) -> Option<&VmName> {
        let score = |member: &Member| {
            let hash = [member.vm.as_str(), key[0], key[1]]
                .iter()
                .fold(kind as u64, |hash, text| fnv1a(hash, text));
            mix(hash)
        };
        self.members
            .iter()
            .map(|member| (score(member), &member.vm))
            .max()
            .map(|(_, vm)| vm)
    }
}

/// # Members
impl View {
    /// Returns the member with a name.
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        let at = self.members.binary_search_by(|row| row.vm.cmp(vm)).ok()?;
        Some(&self.members[at])
    }

    /// Returns a member if the view contains this incarnation of it.
    pub fn member_with_incarnation(
        &self,
        vm: &VmName,
        incarnation: Incarnation,
    ) -> Option<&Member> {
        self.member(vm)
            .filter(|member| member.incarnation == incarnation)
    }

    /// Returns whether a VM may write the next view.
    pub fn is_writer(&self, vm: &VmName) -> bool {
        self.writers.contains(vm)
    }

    /// Returns whether this incarnation of a VM may write the next view.
    pub fn is_writer_with_incarnation(&self, vm: &VmName, incarnation: Incarnation) -> bool {
        self.is_writer(vm) && self.member_with_incarnation(vm, incarnation).is_some()
    }

    /// Inserts or replaces a member.
    pub fn insert_member(&mut self, member: Member) {
        match self.members.binary_search_by(|row| row.vm.cmp(&member.vm)) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }
}

/// # Changes
impl View {
    /// Returns the difference to a later view.
    pub fn delta_to(&self, after: &Self) -> ViewDelta {
        let is_removed = |member: &&Member| after.member(&member.vm).is_none();
        let is_changed = |member: &&Member| self.member(&member.vm) != Some(member);
        ViewDelta {
            from: self.epoch,
            to: after.epoch,
            removed: self
                .members
                .iter()
                .filter(is_removed)
                .map(|member| member.vm.clone())
                .collect(),
            changed: after.members.iter().filter(is_changed).cloned().collect(),
            writers: after.writers.clone(),
        }
    }

    /// Returns the view after a difference, or `None` if the difference is from another epoch.
    pub fn with_delta(&self, delta: &ViewDelta) -> Option<Self> {
        if delta.from != self.epoch {
            return None;
        }
        let mut after = self.clone();
        after.epoch = delta.to;
        after.writers = delta.writers.clone();
        after
            .members
            .retain(|member| !delta.removed.contains(&member.vm));
        for member in &delta.changed {
            after.insert_member(member.clone());
        }
        Some(after)
    }

    /// Returns the members of this view that are missing or not the same in another one.
    ///
    /// A member is the same if it has the same incarnation and the same `joined` epoch.
    pub fn members_not_in(&self, other: &Self) -> Vec<Member> {
        self.members
            .iter()
            .filter(|member| {
                let same = other.member_with_incarnation(&member.vm, member.incarnation);
                same.is_none_or(|same| same.joined != member.joined)
            })
            .cloned()
            .collect()
    }
}

/// Hashes a name, with a salt that makes different uses hash differently.
pub(crate) fn hash_name(name: &str, salt: u64) -> u64 {
    mix(fnv1a(salt, name))
}

/// Adds a text and a separator to an FNV-1a hash.
fn fnv1a(hash: u64, text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    text.bytes()
        .chain([0xff])
        .fold(hash ^ OFFSET_BASIS, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(PRIME)
        })
}

/// Mixes the bits of a hash, because FNV-1a alone leaves the high bits of short texts similar.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
