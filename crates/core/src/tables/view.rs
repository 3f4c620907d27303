//! The view: the members of the fleet and what each of them owns.

use smallvec::SmallVec;

use crate::ids::{AccountName, DomainName, Epoch, Incarnation, PoolKey, ProgramKey, VmName};

/// The members of the fleet at one epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct View {
    /// The number of the view.
    pub epoch: Epoch,
    /// The members, ordered by name.
    pub members: Vec<Member>,
    /// The members that may write the next view.
    pub writers: SmallVec<[VmName; 2]>,
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
#[cfg_attr(feature = "serde", derive(serde::Serialize, serde::Deserialize))]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// The start of its process.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its address as `ip:port`.
    pub address: String,
}

/// What a VM can own; keeps the hashes of different kinds apart.
#[derive(Debug, Clone, Copy)]
enum OwnedKind {
    Account = 1,
    Program = 2,
    Pool = 3,
}

/// # Owners
impl View {
    /// Returns the owner of a client account.
    pub fn account_owner(&self, account: &AccountName) -> Option<&VmName> {
        self.owner(OwnedKind::Account, [account.as_str(), ""])
    }

    /// Returns the home of a program, which is that of its root.
    pub fn program_home(&self, program: &ProgramKey) -> Option<&VmName> {
        let key = [program.account.as_str(), program.name.root()];
        self.owner(OwnedKind::Program, key)
    }

    /// Returns the owner of a pool.
    pub fn pool_owner(&self, pool: &PoolKey) -> Option<&VmName> {
        let model = pool.model.as_ref().map_or("", |model| model.as_str());
        self.owner(OwnedKind::Pool, [pool.service.as_str(), model])
    }

    /// Chooses the member with the highest hash of itself and the key.
    fn owner(&self, kind: OwnedKind, key: [&str; 2]) -> Option<&VmName> {
        let score = |member: &&Member| {
            let hash = [member.vm.as_str(), key[0], key[1]]
                .iter()
                .fold(kind as u64, |hash, text| fnv1a(hash, text));
            (mix(hash), member.vm.clone())
        };
        self.members
            .iter()
            .max_by_key(score)
            .map(|member| &member.vm)
    }
}

/// # Members
impl View {
    /// Returns a member.
    pub fn member(&self, vm: &VmName) -> Option<&Member> {
        self.members.iter().find(|member| member.vm == *vm)
    }

    /// Returns whether a VM may write the next view.
    pub fn is_writer(&self, vm: &VmName) -> bool {
        self.writers.contains(vm)
    }
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

/// Spreads the bits of a hash; FNV-1a alone leaves the high bits of short texts alike.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
