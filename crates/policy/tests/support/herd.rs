//! Requests of many nodes to groups of engines, in virtual time.

use std::{collections::VecDeque, time::Duration};

use corneltrestle_policy::{cost, deployment};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Length of a run, without the time until it is steady.
const LENGTH_S: f64 = 30.0;
const WARM_UP_S: f64 = 3.0;

/// Limits on the first event, and on the pause between two events, of a request in time.
const FIRST_S: f64 = 0.4;
const PAUSE_S: f64 = 0.3;

/// Time between two pictures of the load.
const PICTURE_S: f64 = 0.02;

/// A load on all groups of a model.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Requests per second.
    pub(crate) rate: f64,
    pub(crate) groups: usize,
    /// Age of the picture of the load by which nodes choose.
    pub(crate) age: Duration,
}

struct Request {
    arrived: f64,
    prompt: u64,
    /// Events left.
    events: u32,
    /// Time of the latest event.
    latest: Option<f64>,
    is_late: bool,
}

/// A group: requests in the queue, and those that the present pass serves.
#[derive(Default)]
struct Group {
    queue: VecDeque<Request>,
    running: Vec<Request>,
    pass_end: f64,
}

impl Group {
    fn work(&self) -> cost::Work {
        let unread = |request: &&Request| request.latest.is_none();
        let all = || self.queue.iter().chain(&self.running);
        cost::Work {
            requests: u32::try_from(all().count()).expect("few"),
            unread: all().filter(unread).map(|request| request.prompt).sum(),
            ..cost::Work::default()
        }
    }

    /// Starts a pass, if there is work: it reads the prompts that fit and writes one event each.
    fn start(&mut self, engine: &deployment::Engine, now: f64) {
        let room = engine.slots as usize - self.running.len();
        let taken: Vec<_> = self.queue.drain(..room.min(self.queue.len())).collect();
        let tokens = taken.iter().map(|request| request.prompt).sum();
        self.running.extend(taken);
        let number = u32::try_from(self.running.len()).expect("few");
        let pass = cost::decode_pass(engine, 1.0, number) + cost::prefill(engine, 1.0, tokens);
        self.pass_end = now + pass.as_secs_f64();
    }

    /// Ends the pass; returns the requests that are complete.
    fn end(&mut self, now: f64) -> Vec<Request> {
        for request in &mut self.running {
            request.is_late |= match request.latest {
                None => now - request.arrived > FIRST_S,
                Some(latest) => now - latest > PAUSE_S,
            };
            request.latest = Some(now);
            request.events -= 1;
        }
        self.running.extract_if(.., |request| request.events == 0).collect()
    }
}

/// The engine of a large deployment.
pub(crate) fn engine() -> deployment::Engine {
    deployment::Engine {
        slots: 22,
        kv_capacity: 1_590_000,
        pass_steps: 11,
        step_time: Duration::from_micros(5_950),
        sequence_time: Duration::from_nanos(44_500),
        context_time: Duration::from_nanos(8_130),
        prefill_rate: 50_700.0,
        attention_time: Duration::from_micros(368),
        prefill_chunk: 2_048,
        models: Vec::new(),
        load_limits: deployment::LoadLimits::default(),
        staged_models: 1,
        cross_domain: 4.0,
        open_time: Duration::from_millis(300),
        mean_prompt: 1_650,
        mean_answer: 110,
    }
}

/// Plays a load in which each request goes to the group that `pick` takes by the predicted times.
/// Returns the fraction of requests in time.
pub(crate) fn play(
    load: &Load,
    mut rng: ChaCha8Rng,
    pick: &dyn Fn(&[Duration], &mut ChaCha8Rng) -> usize,
) -> f64 {
    let engine = engine();
    let mut groups: Vec<Group> = (0..load.groups).map(|_| Group::default()).collect();
    let mut pictures: VecDeque<(f64, Vec<cost::Work>)> = VecDeque::new();
    let (mut arrival, mut picture, mut total, mut in_time) = (0.0, 0.0, 0_u32, 0_u32);
    loop {
        let busy = groups.iter().enumerate().filter(|(_, group)| !group.running.is_empty());
        let pass = busy.min_by(|(_, a), (_, b)| a.pass_end.total_cmp(&b.pass_end));
        let pass = pass.map(|(at, group)| (at, group.pass_end));
        let now = pass.map_or(f64::INFINITY, |(_, end)| end).min(arrival).min(picture);
        if now > LENGTH_S {
            return f64::from(in_time) / f64::from(total);
        }
        if now == picture {
            pictures.push_back((now, groups.iter().map(Group::work).collect()));
            pictures.retain(|(at, _)| now - at < 1.0);
            picture += PICTURE_S;
        } else if now == arrival {
            let known = pictures.iter().rev().find(|(at, _)| now - at >= load.age.as_secs_f64());
            let prompt = rng.random_range(200..3_100);
            let time = |group: usize| {
                let work = known.map_or(cost::Work::default(), |(_, works)| works[group]);
                cost::first_event(&engine, 1.0, &work, prompt, false)
            };
            let times: Vec<_> = (0..load.groups).map(time).collect();
            let chosen = &mut groups[pick(&times, &mut rng)];
            let events = if rng.random_bool(0.57) { rng.random_range(2..30) } else { 2 };
            let request = Request { arrived: now, prompt, events, latest: None, is_late: false };
            chosen.queue.push_back(request);
            if chosen.running.is_empty() {
                chosen.start(&engine, now);
            }
            let chance: f64 = rng.random();
            arrival -= (1.0 - chance).ln() / load.rate;
        } else if let Some((at, _)) = pass {
            for request in groups[at].end(now) {
                if request.arrived > WARM_UP_S {
                    total += 1;
                    in_time += u32::from(!request.is_late);
                }
            }
            groups[at].start(&engine, now);
        }
    }
}
