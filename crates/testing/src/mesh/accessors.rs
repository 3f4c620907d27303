//! Accessors by which tests inspect a mesh.

use knapweeddale_core::tables::Tables;

use super::{Mesh, Traffic};

/// # Inspection
impl Mesh {
    /// Returns the tables of a VM.
    ///
    /// # Panics
    ///
    /// Panics if the VM is crashed.
    pub fn tables(&self, vm: usize) -> &Tables {
        self.control(vm).expect("VM is not crashed").tables()
    }

    /// Returns whether a VM is running and holds a valid lease.
    pub fn has_lease(&self, vm: usize) -> bool {
        let now_us = self.local_us(vm);
        self.control(vm)
            .is_some_and(|control| control.tables().lease.is_valid(now_us))
    }

    /// Returns the indices of the writers in the view of a VM.
    pub fn writers(&self, vm: usize) -> Vec<usize> {
        let writers = &self.tables(vm).view.writers;
        writers.iter().filter_map(|name| self.index(name)).collect()
    }

    /// Returns the number of VMs, crashed ones included.
    pub fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns whether the mesh has no VMs.
    pub fn is_empty(&self) -> bool {
        self.vms.is_empty()
    }

    /// Returns the traffic counters of a VM.
    pub fn traffic(&self, vm: usize) -> Traffic {
        self.vms[vm].traffic
    }
}
