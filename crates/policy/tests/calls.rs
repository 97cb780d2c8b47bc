//! Guards the store against too many calls, and leases and orders against starvation.

use std::time::Duration;

use corneltrestle_policy::Moment;
use corneltrestle_policy::calls::{Calls, Class, Permit, Rate};
use corneltrestle_policy::retry::{BACKOFF_MAX, BACKOFF_MIN};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::StdRng;

const RATES: [Rate; 4] = [
    Rate { rate: 2.0, burst: 2.0 },
    Rate { rate: 10.0, burst: 5.0 },
    Rate { rate: 4.0, burst: 3.0 },
    Rate { rate: 1.0, burst: 1.0 },
];

#[derive(Clone, Copy, Debug)]
enum Op {
    Begin(usize),
    End(bool),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..4usize).prop_map(Op::Begin),
        4 => prop::bool::weighted(0.2).prop_map(Op::End),
        2 => (0..800u64).prop_map(Op::Advance),
    ]
}

fn histories() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(15);
    ProptestConfig { cases: 1_000, rng_seed, failure_persistence: None, ..Default::default() }
}

proptest! {
    #![proptest_config(histories())]

    /// Guards against more than 8 calls in flight, calls above the rates, calls during a backoff,
    /// and less important calls that use the tokens or the last place of more important ones.
    #[test]
    fn the_budget_holds(ops in prop::collection::vec(op(), 1..200), seed in any::<u64>()) {
        let (mut calls, mut rng) = (Calls::open(RATES), StdRng::seed_from_u64(seed));
        let (mut now, mut flight) = (Moment::ZERO, 0);
        let (mut starts, mut lease_waits) = ([0.0f64; 4], None);
        for op in ops {
            match op {
                Op::Begin(slot) => match calls.begin(Class::ALL[slot], now) {
                    Permit::Go => {
                        flight += 1;
                        starts[slot] += 1.0;
                        prop_assert!(lease_waits.is_none_or(|until| until <= now), "in a backoff");
                        prop_assert!(flight <= Class::ALL[slot].places());
                    }
                    Permit::Full => prop_assert!(flight >= Class::ALL[slot].places()),
                    Permit::Wait(until) => prop_assert!(until > now),
                },
                Op::End(failed) if flight > 0 => {
                    flight -= 1;
                    calls.end(failed, now, &mut rng);
                    // A lease call that waits with tokens and a place left waits for the backoff.
                    let mut probe = calls.clone();
                    let fresh = starts[0] < 1.0;
                    lease_waits = match probe.begin(Class::Lease, now) {
                        Permit::Wait(until) if fresh => Some(until),
                        _ => None,
                    };
                    prop_assert!(failed || lease_waits.is_none(), "a success ends the backoff");
                }
                Op::Advance(millis) => now = now + Duration::from_millis(millis),
                Op::End(_) => {}
            }
            prop_assert_eq!(calls.flight(), flight);
            prop_assert!(flight <= Calls::FLIGHT);
            for least in 0..4 {
                let allowed = |r: &Rate| r.burst + r.rate * now.as_millis() as f64 / 1e3;
                let most: f64 = RATES[least..].iter().map(allowed).sum();
                let begun: f64 = starts[least..].iter().sum();
                prop_assert!(begun <= most + 1e-6, "{begun} calls of class {least} and below");
            }
        }
        if flight < Calls::FLIGHT && starts[0] < 1.0 && lease_waits.is_none() {
            prop_assert_eq!(calls.begin(Class::Lease, now), Permit::Go);
        }
    }

    /// Guards against nodes that call the store all at once during and after an outage.
    #[test]
    fn outages_back_off_and_return_is_spread(seed in any::<u64>()) {
        let (mut calls, mut rng) = (Calls::open(RATES), StdRng::seed_from_u64(seed));
        let mut now = Moment::from_millis(1);
        for failures in 0..12u32 {
            now = now + BACKOFF_MAX;
            prop_assert_eq!(calls.begin(Class::Order, now), Permit::Go);
            calls.end(true, now, &mut rng);
            let most = (BACKOFF_MIN * 2u32.pow(failures)).min(BACKOFF_MAX);
            if let Permit::Wait(until) = calls.clone().begin(Class::Lease, now) {
                prop_assert!(until.since(now) <= most);
            }
        }
        now = now + BACKOFF_MAX;
        prop_assert!(calls.is_out() && calls.begin(Class::Config, now) == Permit::Go);
        calls.end(false, now, &mut rng);
        prop_assert_eq!(calls.begin(Class::Lease, now), Permit::Go);
        if let Permit::Wait(until) = calls.begin(Class::Report, now) {
            prop_assert!(until.since(now) <= Calls::PAUSE);
        }
        prop_assert_eq!(calls.begin(Class::Report, now + Calls::PAUSE), Permit::Go);
    }
}
