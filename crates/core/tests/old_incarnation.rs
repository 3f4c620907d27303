//! Guards against messages that a VM sent before it was restarted and that arrive afterwards.

use knapweeddale_core::message::{Heartbeat, MembershipMessage};
use knapweeddale_core::output::MembershipDecision;
use knapweeddale_core::{Decision, Epoch, FleetConfig, Input, Revision};
use knapweeddale_testing::mesh::{Mesh, TraceEvent};
use knapweeddale_testing::seeds;

#[test]
fn late_heartbeat_is_ignored() {
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(4, 2, FleetConfig::default(), seed);
        mesh.run_ms(3_000);
        let member = mesh.tables(0).view.members[1].clone();
        mesh.crash(1);
        mesh.restart(1);
        mesh.run_ms(3_000);
        let late = Heartbeat {
            round: u64::MAX,
            epoch: Epoch(99),
            revision: Revision(99),
            asks: true,
            leaving: true,
        };
        let input = Input::Peer {
            from: member.vm.clone(),
            incarnation: member.incarnation,
            message: MembershipMessage::Heartbeat(late).into(),
        };
        mesh.input(0, input);
        mesh.run_ms(10);
        let tables = mesh.tables(0);
        let row = tables.vms.get(&member.vm).expect("VM has sent a heartbeat");
        assert!(row.incarnation > member.incarnation, "seed {seed}");
        assert!(
            row.epoch < Epoch(99) && !row.leaving,
            "seed {seed}: {row:?}"
        );
        assert!(tables.newest_revision < Revision(99), "seed {seed}");
        let ignored = Decision::from(MembershipDecision::PreviousIncarnation { vm: member.vm });
        let is_logged = mesh.trace.events.iter().any(|(_, event)| {
            matches!(event, TraceEvent::Decided { decision, .. } if *decision == ignored)
        });
        assert!(is_logged, "seed {seed}");
    }
}
