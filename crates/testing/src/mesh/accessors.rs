//! Accessors by which tests inspect a mesh.

use knapweeddale_core::tables::Tables;
use knapweeddale_core::{Control, Incarnation, ProgramKey, VmName};

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

    /// Returns the control state of a VM; `None` while it is crashed.
    pub fn control(&self, vm: usize) -> Option<&Control> {
        self.vms[vm].control.as_ref()
    }

    /// Returns the current incarnation of a VM.
    pub fn incarnation(&self, vm: usize) -> Incarnation {
        self.vms[vm].incarnation
    }

    /// Returns the index of a program's home in the view of a VM.
    pub fn home_of(&self, vm: usize, program: &ProgramKey) -> Option<usize> {
        let view = &self.control(vm)?.tables().view;
        self.index(view.program_home(program)?)
    }

    /// Returns the index of a VM.
    pub fn index(&self, vm: &VmName) -> Option<usize> {
        self.vm_indices.get(vm).copied()
    }

    /// Returns the current time on the clock of a VM.
    pub fn local_us(&self, vm: usize) -> u64 {
        let row = &self.vms[vm];
        self.now_us * row.clock_rate_ppm / 1_000_000 + row.clock_offset_us
    }
}
