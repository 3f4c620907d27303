//! Messages between the VMs of knapweeddale.
