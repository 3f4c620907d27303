//! Guards against refusals within the rate when the burst of an account is too small to be divided
//! among the VMs.

use knapweeddale_core::AccountName;
use knapweeddale_testing::load::{self, Load};
use knapweeddale_testing::mesh::Mesh;
use knapweeddale_testing::scenario::VMS;
use knapweeddale_testing::{Random, invariants, measures, seeds};
use rstest::rstest;

#[rstest]
#[case::one_call(2, 1)]
#[case::fewer_than_vms(5, 4)]
#[case::as_many_as_vms(10, 8)]
fn calls_are_admitted(#[case] rate: u64, #[case] burst: u64) {
    let fleet = load::fleet(&[("aller", rate, burst)]);
    let loads = [Load {
        account: AccountName::from("aller"),
        offered_mcalls_per_s: rate * 600,
        weights: vec![1; VMS],
    }];
    for seed in seeds() {
        let mut mesh = Mesh::with_domains(VMS, 3, fleet.clone(), seed);
        mesh.run_ms(20_000);
        load::drive(&mut mesh, &loads, &mut Random::new(!seed), 30_000);
        mesh.run_ms(3_000);
        invariants::rate_and_burst(&mesh.trace, &fleet).expect("rate");
        let served = measures::compare_accounts(&mesh.trace, &fleet);
        let served = served[&AccountName::from("aller")];
        assert_eq!(served.wrongly_refused, 0, "seed {seed}: {served:?}");
        assert!(served.share() >= 0.99, "seed {seed}: {served:?}");
    }
}
