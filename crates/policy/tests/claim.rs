//! Guards against an order that runs twice, and against the outcome `not-run` for one that has run.

use std::time::Duration;

use corneltrestle_policy::Moment;
use corneltrestle_policy::claim::{
    Call, Decision, Ended, Held, Holder, Record, Response, State, decide, holder,
};
use corneltrestle_policy::membership::{DEAD_AFTER, Liveness};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

fn answer(size: usize) -> Response {
    Response { status: 201, headers: Vec::new(), body: vec![b'x'; size] }
}

fn record(claim: &str, state: State) -> Record {
    Record { claim: claim.to_owned(), node: "n".into(), boot: 1, request: "r".to_owned(), state }
}

/// Guards against a live holder that counts as dead because this node does not know its process
/// yet; its order would be reported as unknown while it is in progress.
#[test_case(Some((1, Liveness::Alive)), 0, Holder::Live; "alive")]
#[test_case(Some((1, Liveness::Suspect)), 0, Holder::Live; "suspect")]
#[test_case(Some((1, Liveness::Dead)), 0, Holder::Dead; "dead")]
#[test_case(Some((2, Liveness::Alive)), 0, Holder::Live; "update about its start may be on the way")]
#[test_case(Some((2, Liveness::Alive)), 5_999, Holder::Live; "shortly before the end of the wait")]
#[test_case(Some((2, Liveness::Alive)), 6_000, Holder::Dead; "replaced by another process")]
#[test_case(Some((2, Liveness::Dead)), 0, Holder::Live; "its predecessor is dead")]
#[test_case(None, 0, Holder::Live; "node not known yet")]
#[test_case(None, 6_000, Holder::Dead; "node not known")]
fn a_process_that_may_have_just_started_is_not_dead(
    present: Option<(u64, Liveness)>,
    waited: u64,
    expected: Holder,
) {
    assert_eq!(DEAD_AFTER, Duration::from_secs(6));
    assert_eq!(holder(1, present, Duration::from_millis(waited)), expected);
}

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A new call at a node; true gives it another body.
    Call(usize, bool),
    /// The next step of a call, with the loss of the store's answer and the way the call ends.
    Step(usize, Loss, usize),
    /// A late write takes effect.
    LateWrite(usize),
    /// A node restarts and loses its calls.
    Crash(usize),
    /// This many milliseconds pass.
    Advance(u64),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Loss {
    None,
    /// The write takes effect, but its answer is lost.
    Answer,
    /// The answer is lost, and the write takes effect later, if at all.
    Late,
}

fn op() -> impl Strategy<Value = Op> {
    let loss = prop_oneof![5 => Just(Loss::None), 1 => Just(Loss::Answer), 1 => Just(Loss::Late)];
    prop_oneof![
        3 => (0..3usize, prop::bool::weighted(0.1)).prop_map(|(node, other)| Op::Call(node, other)),
        20 => (any::<usize>(), loss, 0..8usize).prop_map(|(k, loss, end)| Op::Step(k, loss, end)),
        2 => any::<usize>().prop_map(Op::LateWrite),
        1 => (0..3usize).prop_map(Op::Crash),
        1 => (0..12_000u64).prop_map(Op::Advance),
    ]
}

#[derive(Debug)]
enum Step {
    Read,
    Claim(u64),
    Hold(Held),
    Sent(Held),
    Write(u64, Record),
    /// Ended; true if the caller was told `not-run`.
    Finished(bool),
}

struct Attempt {
    node: usize,
    boot: u64,
    claim: String,
    request: &'static str,
    started: Moment,
    step: Step,
    runs: u32,
}

/// A simulated store with one key, and the calls of three nodes with that key.
#[derive(Default)]
struct Simulation {
    now: Moment,
    value: Option<(Record, u64)>,
    revision: u64,
    late: Vec<(u64, Record)>,
    attempts: Vec<Attempt>,
    boots: [u64; 3],
}

impl Simulation {
    fn swap(&mut self, expected: u64, record: Record) -> bool {
        let done = self.value.as_ref().map_or(0, |(_, version)| *version) == expected;
        if done {
            self.revision += 1;
            self.value = Some((record, self.revision));
        }
        done
    }

    /// A compare-and-swap with this loss; `None` if its answer is lost.
    fn write(&mut self, expected: u64, record: Record, loss: Loss) -> Option<bool> {
        if loss == Loss::Late {
            self.late.push((expected, record));
            return None;
        }
        let done = self.swap(expected, record);
        (loss == Loss::None).then_some(done)
    }

    fn call(&mut self, node: usize, other_body: bool) {
        self.attempts.push(Attempt {
            node,
            boot: self.boots[node],
            claim: format!("claim-{}", self.attempts.len()),
            request: if other_body { "other" } else { "r" },
            started: self.now,
            step: Step::Read,
            runs: 0,
        });
    }

    /// What the node `asking` knows about a holder. With `suspected`, it takes a live process of
    /// another node for dead, as after a pause.
    fn holder(&self, found: &Record, asking: usize, suspected: bool) -> Holder {
        let node = ["a", "b", "c"].iter().position(|n| *n == found.node.as_str()).unwrap();
        let by = self.attempts.iter().find(|attempt| attempt.claim == found.claim).unwrap();
        match (node == asking, self.boots[node] == found.boot, &by.step) {
            (true, true, Step::Finished(true)) => Holder::Abandoned,
            (true, true, Step::Finished(false)) => Holder::Dead,
            (true, true, _) => Holder::Local,
            (_, true, _) if !suspected => Holder::Live,
            _ => Holder::Dead,
        }
    }

    fn step(&mut self, k: usize, loss: Loss, end: usize) {
        let (node, boot) = (self.attempts[k].node, self.attempts[k].boot);
        let (claim, request) = (self.attempts[k].claim.clone(), self.attempts[k].request);
        let call = Call { claim: &claim, node: ["a", "b", "c"][node], boot, request };
        let step = std::mem::replace(&mut self.attempts[k].step, Step::Finished(false));
        self.attempts[k].step = match step {
            Step::Read if loss != Loss::None => Step::Finished(true),
            Step::Read => {
                let found = self.value.clone();
                let found = found.as_ref().map(|(record, version)| (record, *version));
                match decide(&call, found, |record| self.holder(record, node, end == 0)) {
                    Decision::Claim(version) => Step::Claim(version),
                    Decision::Hold(version) => {
                        Step::Hold(Held::new(version, self.attempts[k].started))
                    }
                    Decision::Replay(_) => {
                        assert_eq!(self.runs(), 1, "an answer without a run");
                        Step::Finished(false)
                    }
                    _ => Step::Finished(false),
                }
            }
            Step::Claim(version) => match self.write(version, call.record(), loss) {
                Some(true) => Step::Hold(Held::new(self.revision, self.attempts[k].started)),
                _ => Step::Read,
            },
            Step::Hold(mut held) => match held.send(self.now) {
                true => Step::Sent(held),
                false => Step::Write(held.version(), held.record(&call.record(), Ended::NotSent)),
            },
            Step::Sent(held) => {
                let (runs, ended) = match end {
                    0 => (0, Ended::NotSent),
                    1 => (0, Ended::Refused),
                    2 => (0, Ended::Broken),
                    3 => (1, Ended::Broken),
                    _ => (1, Ended::Answered(answer(10))),
                };
                self.attempts[k].runs += runs;
                Step::Write(held.version(), held.record(&call.record(), ended))
            }
            Step::Write(version, record) => {
                let not_run = record.state == State::NotRun;
                match self.write(version, record.clone(), loss) {
                    // The claim stays in the node's table until its record is written.
                    None if end != 0 => Step::Write(version, record),
                    _ => Step::Finished(not_run),
                }
            }
            finished @ Step::Finished(_) => finished,
        };
    }

    fn runs(&self) -> u32 {
        self.attempts.iter().map(|attempt| attempt.runs).sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000, rng_seed: RngSeed::Fixed(14), failure_persistence: None, ..Default::default()
    })]

    /// Guards against a second run of an order over calls at several nodes with lost answers, late
    /// writes, crashes, repeats, pauses and false suspicions.
    #[test]
    fn orders_run_at_most_once(ops in prop::collection::vec(op(), 1..150)) {
        let mut simulation = Simulation::default();
        for op in ops {
            match op {
                Op::Call(node, other_body) => simulation.call(node, other_body),
                Op::Step(k, loss, end) if !simulation.attempts.is_empty() => {
                    // Half of the steps go to the latest two calls, so that calls reach their end.
                    let count = simulation.attempts.len();
                    let k = if k % 2 == 0 { k % count } else { count - 1 - k % count.min(2) };
                    simulation.step(k, loss, end);
                }
                Op::LateWrite(k) if !simulation.late.is_empty() => {
                    let (expected, record) = simulation.late.remove(k % simulation.late.len());
                    simulation.swap(expected, record);
                }
                Op::Crash(node) => {
                    simulation.boots[node] += 1;
                    for attempt in simulation.attempts.iter_mut().filter(|a| a.node == node) {
                        attempt.runs += u32::from(matches!(attempt.step, Step::Sent(_)));
                        let told = matches!(attempt.step, Step::Finished(true));
                        attempt.step = Step::Finished(told);
                    }
                }
                Op::Advance(ms) => simulation.now = simulation.now + Duration::from_millis(ms),
                _ => {}
            }
            prop_assert!(simulation.runs() <= 1, "a second run");
            for attempt in &simulation.attempts {
                prop_assert!(!matches!(attempt.step, Step::Finished(true)) || attempt.runs == 0);
            }
        }
    }
}

#[test_case(None, Holder::Live, Decision::Claim(0); "first call")]
#[test_case(Some(record("own", State::Claimed)), Holder::Dead, Decision::Hold(7); "own claim read back")]
#[test_case(Some(record("other", State::Claimed)), Holder::Live, Decision::InProgress; "live holder")]
#[test_case(Some(record("other", State::Claimed)), Holder::Local, Decision::InProgress; "held by this process")]
#[test_case(Some(record("other", State::Claimed)), Holder::Dead, Decision::Unknown; "dead holder")]
#[test_case(Some(record("other", State::Claimed)), Holder::Abandoned, Decision::Claim(7); "abandoned by this process")]
#[test_case(Some(record("other", State::Done(answer(1)))), Holder::Dead, Decision::Replay(&answer(1)); "recorded answer")]
#[test_case(Some(record("other", State::NotRun)), Holder::Dead, Decision::Claim(7); "has not run")]
#[test_case(Some(record("other", State::Unknown)), Holder::Live, Decision::Unknown; "unknown")]
#[test_case(Some(Record { request: "q".to_owned(), ..record("other", State::NotRun) }), Holder::Live, Decision::KeyReused; "other request")]
fn each_record_state_leads_to_its_decision(
    found: Option<Record>,
    holder: Holder,
    expected: Decision<'_>,
) {
    let call = Call { claim: "own", node: "n", boot: 1, request: "r" };
    assert_eq!(decide(&call, found.as_ref().map(|record| (record, 7)), |_| holder), expected);
}

/// Guards against a call that is sent long after its claim, and against a second send under the
/// same claim.
#[test_case(9_999, true)]
#[test_case(10_000, false)]
fn calls_with_old_claims_are_not_sent(age: u64, allowed: bool) {
    let mut held = Held::new(1, Moment::ZERO);
    assert_eq!(held.send(Moment::from_millis(age)), allowed);
    assert!(!held.send(Moment::from_millis(age)), "a second send");
}

#[test_case(false, Ended::Broken, State::NotRun; "never sent")]
#[test_case(true, Ended::NotSent, State::NotRun; "connection refused")]
#[test_case(true, Ended::Refused, State::NotRun; "refused before running")]
#[test_case(true, Ended::Answered(answer(5)), State::Done(answer(5)); "answered")]
#[test_case(true, Ended::Answered(answer(Response::MAX_BYTES + 1)), State::Unknown; "answer too large")]
#[test_case(true, Ended::Broken, State::Unknown; "broken")]
fn outcomes_are_recorded(sent: bool, ended: Ended, expected: State) {
    let mut held = Held::new(1, Moment::ZERO);
    assert!(!sent || held.send(Moment::from_millis(1)));
    assert_eq!(held.outcome(ended), expected);
}
