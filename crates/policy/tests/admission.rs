//! Guards against exceeded limits, unfair shares and lost requests in admission control.

use std::collections::BTreeMap;
use std::time::Duration;

use corneltrestle_policy::Moment;
use corneltrestle_policy::admission::{
    Admission, Class, Decision, Limits, MIN_SHARE, Reason, View, share,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
const LIMITS: Limits = Limits { running: 6, waiting: 12, queue: 5 };

fn view(organisation: usize) -> View<'static> {
    let concurrency = [0.5, 2.0, 3.9, 10.0][organisation];
    let rate = [20.0, 5.0, 0.7, 1_000.0][organisation];
    View { name: NAMES[organisation], weight: organisation as u32, rate, concurrency }
}

fn unlimited(name: &str, weight: u32) -> View<'_> {
    View { name, weight, rate: 1e9, concurrency: 1e6 }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Offer(usize, bool, u64),
    Finish(usize),
    Cancel(u64),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        4 => (0..4usize, any::<bool>(), 0..5_000u64).prop_map(|(o, c, l)| Op::Offer(o, c, l)),
        2 => any::<usize>().prop_map(Op::Finish),
        1 => (0..80u64).prop_map(Op::Cancel),
        2 => (0..600u64).prop_map(Op::Advance),
    ]
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Waiting,
    Running,
    Finished,
    Shed,
    Expired,
    Cancelled,
}

/// Admission control with its caller, and the organisation, deadline and state of each request.
struct Model {
    admission: Admission,
    now: Moment,
    requests: BTreeMap<u64, (usize, Moment, State)>,
    starts: [Vec<Moment>; 4],
}

impl Model {
    fn new() -> Self {
        let (now, requests) = (Moment::from_millis(1), BTreeMap::new());
        Self { admission: Admission::new(LIMITS), now, requests, starts: Default::default() }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Offer(organisation, background, left) => {
                let id = self.requests.len() as u64;
                let deadline = self.now + Duration::from_millis(left);
                let class = if background { Class::Background } else { Class::Interactive };
                let view = view(organisation);
                let state = match self.admission.offer(&view, id, class, deadline, self.now) {
                    Decision::Admit => State::Running,
                    Decision::Queue => State::Waiting,
                    Decision::Shed { .. } => State::Shed,
                };
                if state == State::Running {
                    self.starts[organisation].push(self.now);
                }
                self.requests.insert(id, (organisation, deadline, state));
            }
            Op::Finish(nth) => {
                let mut running = self.ids(State::Running);
                if !running.is_empty() {
                    let id = running.swap_remove(nth % running.len());
                    self.change_state(id, State::Running, State::Finished);
                    self.admission.finish(NAMES[self.requests[&id].0], self.now);
                }
            }
            Op::Cancel(id) => {
                let waits = self.requests.get(&id).is_some_and(|state| state.2 == State::Waiting);
                assert_eq!(self.admission.cancel(id), waits);
                if waits {
                    self.change_state(id, State::Waiting, State::Cancelled);
                }
            }
            Op::Advance(millis) => self.now = self.now + Duration::from_millis(millis),
        }
        // A caller may ask for the next request before it asks for the expired ones.
        self.start_waiting();
        for id in self.admission.expire(self.now) {
            self.change_state(id, State::Waiting, State::Expired);
            assert!(self.requests[&id].1 <= self.now, "expired before its deadline");
        }
        self.start_waiting();
    }

    fn start_waiting(&mut self) {
        while let Some(id) = self.admission.next(self.now) {
            self.change_state(id, State::Waiting, State::Running);
            let (organisation, deadline, _) = self.requests[&id];
            assert!(deadline > self.now, "started after its deadline");
            self.starts[organisation].push(self.now);
        }
    }

    fn change_state(&mut self, id: u64, from: State, to: State) {
        let state = &mut self.requests.get_mut(&id).expect("only offered ids come back").2;
        assert_eq!(*state, from, "request {id} to {to:?}");
        *state = to;
    }

    fn ids(&self, wanted: State) -> Vec<u64> {
        self.requests.iter().filter(|(_, state)| state.2 == wanted).map(|(id, _)| *id).collect()
    }

    fn check(&self) {
        let (running, waiting) = (self.ids(State::Running), self.ids(State::Waiting));
        assert_eq!(self.admission.running(), running.len());
        assert_eq!(self.admission.waiting(), waiting.len());
        let first = waiting.iter().map(|id| self.requests[id].1).min();
        assert!(first.is_none() || self.admission.due(self.now) <= first, "due after a deadline");
        assert!(running.len() <= LIMITS.running && waiting.len() <= LIMITS.waiting);
        for organisation in 0..4 {
            let own =
                |ids: &[u64]| ids.iter().filter(|id| self.requests[id].0 == organisation).count();
            let view = view(organisation);
            assert!(own(&running) <= view.concurrency.max(1.0) as usize);
            assert!(own(&waiting) <= LIMITS.queue);
            let starts = &self.starts[organisation];
            for (n, since) in starts.iter().enumerate() {
                let span = self.now.since(*since).as_secs_f64();
                let most = view.rate.max(1.0) + view.rate * span + 1e-6;
                assert!((starts.len() - n) as f64 <= most, "rate of {}", view.name);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Default::default()
    })]

    /// Guards against exceeded limits, lost or doubled requests, and requests that wait forever
    /// although `due` is followed.
    #[test]
    fn limits_hold_and_each_request_ends_once(ops in prop::collection::vec(op(), 1..80)) {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
            model.check();
        }
        for _ in 0..200 {
            model.apply(Op::Finish(0));
            model.check();
            if let Some(due) = model.admission.due(model.now) {
                model.now = model.now.max(due);
            }
        }
        prop_assert_eq!(model.admission.running() + model.admission.waiting(), 0);
        prop_assert!(model.ids(State::Waiting).is_empty() && model.ids(State::Running).is_empty());
    }

    /// Guards against unfair shares: while two organisations always have waiting requests, the
    /// starts divided by weight differ by at most one request of each.
    #[test]
    fn starts_are_proportional_to_the_weights(
        weights in prop::collection::vec(1..9u32, 2..5),
        joins in prop::collection::vec(0..40usize, 4),
        rounds in 40..120usize,
    ) {
        let limits = Limits { running: 1, waiting: 100, queue: 3 };
        let mut admission = Admission::new(limits);
        let now = Moment::from_millis(1);
        let (far, mut owners) = (now + Duration::from_secs(3_600), Vec::new());
        prop_assert_eq!(
            admission.offer(&unlimited("first", 1), 0, Class::Interactive, far, now),
            Decision::Admit
        );
        owners.push("first");
        let mut running = "first";
        let mut starts: Vec<Vec<usize>> = vec![Vec::new(); weights.len()];
        for round in 0..rounds {
            for (i, &weight) in weights.iter().enumerate().filter(|(i, _)| joins[*i] <= round) {
                let view = unlimited(NAMES[i], weight);
                let id = owners.len() as u64;
                if admission.offer(&view, id, Class::Interactive, far, now) == Decision::Queue {
                    owners.push(NAMES[i]);
                }
            }
            admission.finish(running, now);
            let Some(id) = admission.next(now) else { continue };
            running = owners[id as usize];
            if let Some(i) = NAMES.iter().position(|name| *name == running) {
                starts[i].push(round);
            }
            for (i, j) in (0..weights.len()).flat_map(|i| (0..i).map(move |j| (i, j))) {
                let both = joins[i].max(joins[j]);
                let part = |k: usize| {
                    starts[k].iter().filter(|at| **at >= both).count() as f64 / f64::from(weights[k])
                };
                let most = 1.0 / f64::from(weights[i]) + 1.0 / f64::from(weights[j]);
                prop_assert!((part(i) - part(j)).abs() <= most + 1e-9, "{i} and {j}: {starts:?}");
            }
        }
    }

    /// Guards against nodes that together exceed a limit by more than the minimum shares.
    #[test]
    fn shares_exceed_the_limit_by_at_most_the_minimum(
        demands in prop::collection::vec(0.0..100.0f64, 1..50), limit in 0.1..1e4f64,
    ) {
        let (nodes, total) = (demands.len(), demands.iter().sum::<f64>());
        let shares: Vec<f64> = demands.iter().map(|own| share(limit, *own, total, nodes)).collect();
        prop_assert!(shares.iter().sum::<f64>() <= limit * (1.0 + MIN_SHARE) + 1e-6);
        prop_assert!(shares.iter().all(|share| *share >= limit / nodes as f64 * MIN_SHARE - 1e-9));
    }
}

/// Guards against a share below one that every node rounds up, so that together they exceed the
/// limit.
#[test]
fn share_below_one_bounds_the_mean_in_progress() {
    let mut admission = Admission::new(LIMITS);
    let view = View { name: "a", weight: 1, rate: 1e6, concurrency: 0.25 };
    let (mut busy, mut end) = (0, 0);
    for millis in 1..100_000 {
        let now = Moment::from_millis(millis);
        if admission.running() == 1 && millis == end {
            admission.finish("a", now);
        }
        let deadline = now + Duration::from_secs(1_000);
        if admission.running() == 0 {
            let next = match admission.offer(&view, millis, Class::Interactive, deadline, now) {
                Decision::Admit => true,
                _ => admission.next(now).is_some(),
            };
            if next {
                end = millis + 40 + millis % 7;
            }
        }
        busy += admission.running();
    }
    assert!((20_000..=25_100).contains(&busy), "{busy} of 100000 ms");
}

/// Guards against background work that starts before waiting interactive work.
#[test]
fn interactive_requests_start_first() {
    let mut admission = Admission::new(Limits { running: 1, waiting: 9, queue: 9 });
    let (now, far) = (Moment::from_millis(1), Moment::from_millis(90_000));
    for (id, class) in [Class::Background, Class::Background, Class::Interactive].iter().enumerate()
    {
        admission.offer(&unlimited(NAMES[id], 1), id as u64, *class, far, now);
    }
    admission.finish("a", now);
    assert_eq!(admission.next(now), Some(2));
}

/// Guards against requests that wait although they cannot start before their deadline, and against
/// queues without a limit.
#[test_case(0, 0, Some(Reason::Expired); "deadline passed")]
#[test_case(0, 900, Some(Reason::PredictedWait); "one second of work is ahead")]
#[test_case(0, 1_500, None; "enough time")]
#[test_case(1, 1_500, Some(Reason::PredictedWait); "two seconds of work are ahead")]
#[test_case(3, 60_000, Some(Reason::QueueFull); "queue of the organisation is full")]
fn requests_that_would_miss_their_deadline_are_shed(
    queued: u64,
    left: u64,
    expected: Option<Reason>,
) {
    let mut admission = Admission::new(Limits { running: 1, waiting: 9, queue: 3 });
    let view = unlimited("a", 1);
    let (start, now) = (Moment::from_millis(1), Moment::from_millis(1_001));
    let far = now + Duration::from_secs(100);
    admission.offer(&view, 0, Class::Interactive, far, start);
    admission.finish("a", now);
    for id in 1..queued + 2 {
        admission.offer(&view, id, Class::Interactive, far, now);
    }
    let deadline = now + Duration::from_millis(left);
    let decision = admission.offer(&view, 99, Class::Interactive, deadline, now);
    let reason = if let Decision::Shed { reason, .. } = decision { Some(reason) } else { None };
    assert_eq!(reason, expected);
}
