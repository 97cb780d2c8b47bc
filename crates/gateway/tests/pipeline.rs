//! The request path of a node, with upstreams that fail by script.

#[path = "support/world.rs"]
#[allow(dead_code, reason = "other tests use the rest")]
mod world;

use std::{collections, sync, time::Duration};

use corneltrestle_gateway::{
    pipeline::{Code, Outcome},
    request,
    source::{Change, Changes, Fact, Subject},
    tables::stalls::Stall,
    upstream::Urgency,
};
use corneltrestle_kernel::memory;
use corneltrestle_policy::{
    retry::fleet,
    upstream::{State, Upstream},
};
use test_case::test_case;
use world::{AMPLE, Act, URGENT_KEY, World, whole_stream};

const NO_RETRIES: fleet::Limits =
    fleet::Limits { ratio: 0.0, slack: 0.0, window: Duration::from_secs(10) };

/// Longer than a retry covers a send.
const UNREACHABLE: Act = Act::NotSentAfter(Duration::from_millis(600));

/// Guards against a failure of one upstream that reaches the caller although another upstream could
/// serve the request.
#[test_case(Act::NotSent)]
#[test_case(Act::Full)]
#[test_case(Act::Broken)]
#[test_case(Act::Status(500))]
#[test_case(Act::Silent)]
#[tokio::test]
async fn idempotent_request_is_sent_to_another_upstream(failure: Act) {
    let world = World::open(&[&[failure], &[Act::Whole("done")]], AMPLE);
    let (status, body, refusal) = world.send("/status/7").await;
    assert_eq!((status, body.as_str(), refusal), (200, "done", None));
    assert_eq!(world.seen().len(), 2);
}

/// Guards against a request that is not repeatable and runs twice.
#[test_case(Act::Broken)]
#[test_case(Act::Status(500))]
#[tokio::test]
async fn order_that_may_have_run_is_not_sent_again(failure: Act) {
    let world = World::open(&[&[failure], &[Act::Whole("done")]], AMPLE);
    let (status, _, refusal) = world.send("/order/7").await;
    assert_eq!(world.seen().len(), 1);
    assert!(status == 500 || refusal.is_some_and(|refusal| refusal.outcome == Outcome::Unknown));
}

/// Guards against a request that fails although no upstream has run it and another one could.
#[test_case(Act::NotSent)]
#[test_case(Act::Full)]
#[tokio::test]
async fn order_that_has_not_run_is_sent_again(failure: Act) {
    let world = World::open(&[&[failure], &[Act::Whole("done")]], AMPLE);
    let (status, _, refusal) = world.send("/order/7").await;
    assert_eq!((status, refusal), (200, None));
}

/// Guards against requests that fail for want of a retry although they have reached no upstream: the
/// budget bounds what upstreams get beyond the first arrival.
#[test_case(Act::NotSent, 200; "no connection")]
#[test_case(Act::Full, 0; "rejected")]
#[tokio::test]
async fn request_that_has_not_arrived_needs_no_retry(failure: Act, expected: u16) {
    let world = World::open(&[&[failure], &[Act::Whole("done")]], NO_RETRIES);
    let (status, _, refusal) = world.send("/status/7").await;
    assert_eq!((status, refusal.is_none()), (expected, expected == 200));
}

/// Guards against refusals that say a request has not run although it may have, or the reverse.
#[test_case("/order/7", Act::Broken, Outcome::Unknown)]
#[test_case("/order/7", Act::NotSent, Outcome::NotRun)]
#[test_case("/order/7", Act::Full, Outcome::NotRun)]
#[test_case("/order/7", Act::Status(503), Outcome::Unknown)]
#[test_case("/order/7", Act::Status(429), Outcome::Unknown)]
#[test_case("/draft/7", Act::Status(503), Outcome::Unknown)]
#[test_case("/status/7", Act::Broken, Outcome::Unknown)]
#[test_case("/draft/7", Act::Broken, Outcome::Unknown)]
#[test_case("/draft/7", Act::Full, Outcome::NotRun)]
#[tokio::test]
async fn refusal_tells_whether_the_request_may_have_run(
    path: &'static str,
    failure: Act,
    outcome: Outcome,
) {
    let world =
        World::open(&[std::slice::from_ref(&failure), std::slice::from_ref(&failure)], AMPLE);
    let (_, _, refusal) = world.send(path).await;
    assert_eq!(refusal.expect("nothing answers").outcome, outcome);
}

/// Guards against events that are lost or repeated when a stream is resumed at another upstream.
#[test_case(Act::Breaks(0); "before the first event")]
#[test_case(Act::Breaks(1); "after the first event")]
#[test_case(Act::Breaks(5); "before the last event")]
#[tokio::test]
async fn broken_stream_is_resumed_without_lost_or_repeated_events(failure: Act) {
    let world = World::open(&[&[failure], &[Act::Stream]], AMPLE);
    let (status, body, refusal) = world.send("/draft/7").await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
}

/// Guards against a stream that is passed on as complete although it was broken off: one without a
/// length or chunks ends with its connection.
#[test_case(Act::Ends(0); "before the first event")]
#[test_case(Act::Ends(3); "inside an event")]
#[tokio::test]
async fn stream_that_ends_early_is_resumed(failure: Act) {
    let world = World::open(&[std::slice::from_ref(&failure), &[Act::Stream]], AMPLE);
    let (status, body, refusal) = world.send("/draft/7").await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    let world = World::open(&[&[failure], &[Act::Stream]], AMPLE);
    let (_, _, refusal) = world.send("/note/7").await;
    assert_eq!(refusal.expect("it is cut off").outcome, Outcome::Unknown);
}

/// Guards against a resumed stream that starts again from the first event, or waits behind new
/// requests.
#[tokio::test]
async fn resumed_stream_names_its_last_event_and_is_urgent() {
    let world = World::open(&[&[Act::Breaks(3)], &[Act::Stream]], AMPLE);
    world.send("/draft/7").await;
    let resumed = &world.seen()[1];
    assert_eq!((resumed.resume_after, resumed.urgency), (Some(3), Some(Urgency::Resumed)));
}

/// Guards against requests that are refused because the only group that could serve them is taken to
/// be stalled: a node that is short of processor time reads events late.
#[tokio::test]
async fn only_group_is_tried_although_it_counts_as_stalled() {
    let world = World::open(&[&[Act::Stream]], AMPLE);
    world.declare_stalled("models-a", Duration::ZERO).await.expect("the group is declared stalled");
    let (status, body, refusal) = world.send("/draft/7").await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
}

/// Guards against requests that are sent to a stalled group although there is another one.
#[tokio::test]
async fn stalled_group_is_left_out_where_there_is_another_one() {
    let world = World::open(&[&[Act::Silent], &[Act::Stream]], AMPLE);
    world.declare_stalled("models-a", Duration::ZERO).await.expect("the group is declared stalled");
    for _ in 0..8 {
        let (status, body, refusal) = world.send("/draft/7").await;
        assert_eq!((status, body, refusal), (200, whole_stream(), None));
    }
    assert!(world.seen().iter().all(|seen| seen.upstream.as_str() == "models-b"));
}

/// Guards against requests that are sent to a group which cannot serve them, as a member is lost.
#[tokio::test]
async fn group_with_a_lost_member_is_not_tried() {
    let world = World::open(&[&[Act::Stream]], AMPLE);
    let (progress, detected) = (None, world.host.now());
    let stall = Stall { epoch: 1, detected, progress, is_own: true, has_lost_member: true };
    world.tables.stalls.lock().refresh(&"models-a".into(), stall);
    let (_, _, refusal) = world.send("/draft/7").await;
    assert_eq!(refusal.expect("no group can serve").outcome, Outcome::NotRun);
    assert!(world.seen().is_empty());
}

/// Guards against streams that wait at a stalled group until their deadline.
#[tokio::test]
async fn stream_is_resumed_elsewhere_when_its_upstream_stalls() {
    let world = World::open(&[&[Act::Hangs(2)], &[Act::Stream]], AMPLE);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(world.seen().len(), 2);
}

/// Guards against a stream that goes on waiting at a stalled group until its deadline, as it did not
/// wait for an event when the stall was declared.
#[tokio::test]
async fn stall_is_known_to_a_stream_that_did_not_wait() {
    let world = World::open(&[&[Act::Hangs(2)], &[Act::Stream]], AMPLE);
    let mut answer = world.begin("/draft/7").await;
    let mut body = Vec::new();
    for _ in 0..2 {
        body.extend(answer.relay.next().await.expect("an event").expect("an event"));
    }
    world.declare_stalled("models-a", Duration::ZERO).await.expect("the watchdog task ends");
    let rest = async {
        while let Some(event) = answer.relay.next().await.expect("an event") {
            body.extend(event);
        }
    };
    tokio::time::timeout(Duration::from_secs(2), rest).await.expect("the stream is resumed");
    assert_eq!(String::from_utf8(body).expect("events are text"), whole_stream());
    assert_eq!(world.seen().len(), 2);
}

/// Guards against a stream that moves to another upstream after a stall has ended, as its own one has
/// sent an event since.
#[tokio::test]
async fn stall_ends_with_the_next_event() {
    let world = World::open(&[&[Act::Trickles(4)], &[Act::Stream]], AMPLE);
    world.set_state(1, State::Draining, 2);
    let mut answer = world.begin("/draft/7").await;
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    for _ in 0..5 {
        answer.relay.next().await.expect("an event").expect("an event");
    }
    stall.await.expect("the watchdog task ends");
    world.set_state(1, State::Ready, 3);
    while answer.relay.next().await.expect("an event").is_some() {}
    assert_eq!(world.seen().len(), 1);
}

/// Guards against callers that are told that a stream has not run as no event came after it was sent,
/// and against a second run of one that may run at most once: the events may be lost on the way.
#[test_case("/draft/7", 2; "refused elsewhere")]
#[test_case("/note/7", 1; "not to be repeated")]
#[tokio::test]
async fn stream_without_an_answer_may_have_run(path: &'static str, sends: usize) {
    let world = World::open(&[&[Act::Silent], &[Act::Full]], AMPLE);
    let progress = world.host.now();
    let stall = world.declare_silent("models-a", Duration::from_millis(100), progress);
    let (_, _, refusal) = world.send(path).await;
    stall.await.expect("the watchdog task ends");
    assert_eq!(refusal.expect("no upstream answers").outcome, Outcome::Unknown);
    assert_eq!(world.seen().len(), sends);
}

/// Guards against a slow stream that is cut off although no other upstream can go on with it.
#[test_case("/draft/7", AMPLE, &[Act::Pauses(2)]; "no other upstream")]
#[test_case("/note/7", AMPLE, &[Act::Pauses(2), Act::Stream]; "not to be repeated")]
#[test_case("/draft/7", NO_RETRIES, &[Act::Pauses(2), Act::Stream]; "no retry left")]
#[tokio::test]
async fn slow_stream_goes_on_where_it_cannot_move(
    path: &'static str,
    retries: fleet::Limits,
    acts: &[Act],
) {
    let scripts: Vec<_> = acts.iter().map(std::slice::from_ref).collect();
    let world = World::open(&scripts, retries);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send(path).await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(world.seen().len(), 1);
}

/// Guards against a stream that is cut off because its upstream is silent for a while: it has left that
/// upstream, and no other one takes it.
#[test_case(Act::Full; "full")]
#[test_case(Act::NotSent; "unreachable")]
#[test_case(Act::Broken; "broken")]
#[test_case(Act::Status(500); "server error")]
#[tokio::test]
async fn stream_goes_on_at_a_silent_upstream_if_its_move_fails(failure: Act) {
    let world = World::open(&[&[][..]; 2], AMPLE);
    world.upstreams.act_in_turn(&[Act::Pauses(2), failure.clone(), failure.clone(), failure]);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
}

/// Guards against a stream that waits for another upstream although its own one has sent on.
#[tokio::test]
async fn stream_goes_on_at_the_upstream_that_sends_first() {
    let world = World::open(&[&[][..]; 2], AMPLE);
    world.upstreams.act_in_turn(&[Act::Pauses(2), Act::Late(Duration::from_secs(5))]);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(world.seen().len(), 2);
}

/// Guards against a stream that runs at more upstreams than its route allows, as a move that ends with a
/// failure is not counted.
#[tokio::test]
async fn failed_moves_stay_within_the_limit_on_attempts() {
    let world = World::open(&[&[Act::Status(500)][..]; 6], AMPLE);
    world.upstreams.act_in_turn(&[Act::Pauses(2)]);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    let upstreams: collections::BTreeSet<_> =
        world.seen().into_iter().map(|seen| seen.upstream).collect();
    assert!(upstreams.len() <= 3, "{upstreams:?}");
}

/// Guards against a complete answer that is cut off, as its stream was leaving a silent upstream when the
/// end of the answer came.
#[tokio::test]
async fn answer_that_ends_while_its_stream_is_leaving_is_complete() {
    let world = World::open(&[&[Act::Silent][..]; 2], AMPLE);
    world.upstreams.act_in_turn(&[Act::EndsLate, Act::Silent]);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, body, refusal) = world.send("/draft/7").await;
    stall.await.expect("the watchdog task ends");
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
}

/// Guards against an order that a stopping node takes, as its deadline is before the end of the node, and
/// gives up before that deadline.
#[tokio::test]
async fn order_is_not_given_up_before_its_deadline_in_a_stop() {
    for millis in [2_050, 2_250, 2_450] {
        let world = World::open(&[&[Act::Late(Duration::from_millis(1_850))][..]; 2], AMPLE);
        // The deadline is that of the route, 2 s.
        world.host.lifecycle.drain(world.host.now() + Duration::from_millis(millis));
        let (status, _, refusal) = world.send("/order/7").await;
        let is_refused = refusal.is_some_and(|refusal| refusal.outcome == Outcome::NotRun)
            && world.seen().is_empty();
        assert!(status == 200 || is_refused, "end after {millis} ms");
    }
}

/// Guards against an answer that would come in time, and is cut off although no other upstream can give
/// one.
#[test_case("/status/7", AMPLE, 1; "buffered, no other upstream")]
#[test_case("/draft/7", AMPLE, 1; "stream, no other upstream")]
#[test_case("/status/7", NO_RETRIES, 2; "buffered, no retry left")]
#[test_case("/draft/7", NO_RETRIES, 2; "stream, no retry left")]
#[tokio::test]
async fn late_answer_is_waited_for_where_none_can_come_sooner(
    path: &'static str,
    retries: fleet::Limits,
    upstreams: usize,
) {
    let late: &[Act] = &[Act::Late(Duration::from_millis(1_400))];
    let world = World::open(&vec![late; upstreams], retries);
    let (status, body, refusal) = world.send(path).await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
    assert_eq!(world.seen().len(), 1);
}

/// Guards against a second run of a stream that may run at most once.
#[tokio::test]
async fn stream_that_cannot_be_resumed_is_cut_off() {
    let world = World::open(&[&[Act::Breaks(2)], &[Act::Stream]], AMPLE);
    let (_, _, refusal) = world.send("/note/7").await;
    assert_eq!(refusal.expect("the stream is cut off").outcome, Outcome::Unknown);
    assert_eq!(world.seen().len(), 1);
}

/// Guards against the text of an error in the middle of a stream that had begun elsewhere, and
/// against a stream that then ends as if it were complete.
#[test_case(Act::Status(500); "server error")]
#[test_case(Act::Status(503); "status that would say not run")]
#[test_case(Act::Status(404); "client error")]
#[test_case(Act::Full; "rejected")]
#[test_case(Act::Whole("HTTP/1.1 500 Error\r\n\r\nthe engine has failed\n\n"); "text as an answer")]
#[test_case(Act::Whole("{\"error\":\"no such model\"}"); "document as an answer")]
#[test_case(Act::Ends(0); "nothing")]
#[tokio::test]
async fn error_of_the_next_upstream_is_not_part_of_the_stream(error: Act) {
    let error = std::slice::from_ref(&error);
    let world = World::open(&[&[Act::Breaks(2)], error, error, error], AMPLE);
    let begun: String = whole_stream().split_inclusive("\n\n").take(2).collect();
    let mut is_seen = false;
    for _ in 0..40 {
        let (status, body, refusal) = world.send("/draft/7").await;
        if !body.is_empty() {
            assert_eq!((status, body.as_str()), (200, begun.as_str()));
            assert_eq!(refusal.expect("it is not complete").outcome, Outcome::Unknown);
            is_seen = true;
        }
    }
    assert!(is_seen, "no stream began");
}

/// Guards against retries beyond the budget shared by all nodes.
#[test_case("/status/7", Act::Broken)]
#[test_case("/draft/7", Act::Breaks(2))]
#[test_case("/order/7", Act::Full)]
#[tokio::test]
async fn nothing_is_retried_without_budget(path: &'static str, failure: Act) {
    let world = World::open(&[&[failure], &[Act::Stream]], NO_RETRIES);
    let (_, _, refusal) = world.send(path).await;
    assert!(refusal.is_some());
    assert_eq!(world.seen().len(), 1);
}

/// Guards against rejections by full upstreams that use up the budget, of which half is left to requests
/// whose upstream was lost.
#[test_case("/status/7", Act::Full, 0; "full")]
#[test_case("/status/7", Act::Broken, 200; "lost")]
#[test_case("/draft/7", Act::Full, 0; "stream, full")]
#[test_case("/draft/7", Act::Breaks(2), 200; "stream, lost")]
#[tokio::test]
async fn rejections_leave_half_of_the_budget(path: &'static str, failure: Act, expected: u16) {
    // A request counts in two windows, with half of the ratio in each.
    let one = fleet::Limits { ratio: 2.0, ..NO_RETRIES };
    let world = World::open(&[&[failure], &[Act::Stream]], one);
    let (status, _, refusal) = world.send(path).await;
    assert_eq!((status, refusal.is_none()), (expected, expected == 200));
}

/// Guards against a send to an upstream beyond the first one that is not taken from the budget. Attempts
/// without a connection reach no upstream and are free, unless the next one comes so late that it may
/// arrive in a later window than its retry counts in.
#[test_case("/status/7", &[Act::Full, Act::Whole("done")], 1; "rejected")]
#[test_case("/status/7", &[Act::Broken, Act::Broken, Act::Whole("done")], 2; "broken")]
#[test_case("/status/7", &[Act::Silent, Act::Whole("done")], 1; "silent")]
#[test_case("/status/7", &[Act::Stale(Duration::ZERO), Act::Whole("done")], 1; "stale")]
#[test_case("/status/7", &[Act::NotSent, Act::NotSent, Act::Whole("done")], 0; "no connection")]
#[test_case("/status/7", &[Act::Broken, Act::NotSent, Act::Whole("done")], 1; "none after a loss")]
#[test_case("/status/7", &[Act::Broken, UNREACHABLE, Act::Whole("done")], 2; "none for long")]
#[test_case("/draft/7", &[Act::Breaks(2), Act::Stream], 1; "resumed")]
#[test_case("/draft/7", &[Act::Hangs(2), Act::Stream], 1; "moved from a stalled group")]
#[test_case("/draft/7", &[Act::Breaks(2), Act::Breaks(4), Act::Stream], 2; "resumed twice")]
#[tokio::test]
async fn each_further_send_is_taken_from_the_budget(
    path: &'static str,
    acts: &[Act],
    retries: u32,
) {
    let world = World::open(&vec![&[][..]; acts.len()], AMPLE);
    world.upstreams.act_in_turn(acts);
    let stall = world.declare_stalled("models-a", Duration::from_millis(100));
    let (status, _, refusal) = world.send(path).await;
    stall.abort();
    assert_eq!((status, refusal), (200, None));
    let taken = world.tables.retries.lock().retries(world.host.now());
    assert_eq!(taken.iter().map(|(_, number)| *number).sum::<u32>(), retries);
    assert_eq!(world.seen().len(), acts.len());
}

/// Guards against requests that go from one full upstream to the next until their time is over.
#[test_case("/status/7")]
#[test_case("/order/7")]
#[test_case("/draft/7")]
#[tokio::test]
async fn request_is_refused_after_two_full_upstreams(path: &'static str) {
    let full: &[Act] = &[Act::Full];
    let world = World::open(&[full; 5], AMPLE);
    let (_, _, refusal) = world.send(path).await;
    let refusal = refusal.expect("all are full");
    assert_eq!((refusal.code, refusal.outcome), (Code::Overloaded, Outcome::NotRun));
    assert!(refusal.retry.is_some());
    assert_eq!(world.seen().len(), 2);
}

/// Guards against a request that a full upstream has rejected, and that is sent to another one which is
/// as full by the reports of other nodes, or is refused although there is one with room.
#[test_case("/status/7", "orders")]
#[test_case("/draft/7", "models")]
#[tokio::test]
async fn rejected_request_goes_only_where_there_is_room(path: &'static str, service: &str) {
    let world = World::open(&[&[Act::Full], &[Act::Stream]], AMPLE);
    world.report(&format!("{service}-b"), 8);
    let (_, _, refusal) = world.send(path).await;
    assert_eq!(refusal.expect("the other one is full").outcome, Outcome::NotRun);
    assert_eq!(world.seen().len(), 1);
    let world = World::open(&[&[Act::Full], &[Act::Full], &[Act::Stream]], AMPLE);
    world.report(&format!("{service}-b"), 8);
    let (status, _, refusal) = world.send(path).await;
    assert_eq!((status, refusal), (200, None));
    assert!(world.seen().iter().all(|seen| seen.upstream.as_str() != format!("{service}-b")));
}

/// Guards against requests whose tokens together exceed the KV cache of an upstream, where another one has
/// room, and against a request that is refused, as all seem full, although none has rejected it. The
/// upstreams hold 1,590,000 tokens.
#[tokio::test]
async fn upstreams_get_no_more_tokens_than_they_hold() {
    for _ in 0..10 {
        let world = World::open(&[&[][..]; 3], AMPLE);
        world.upstreams.act_in_turn(&[const { Act::Hangs(2) }; 7]);
        let mut held = Vec::new();
        for number in 0..7 {
            let mut request = world.request("/draft/7");
            request.id = format!("request-{number}");
            request.generation.as_mut().expect("a prompt").prompt_tokens = 700_000;
            let mut answer = world.begin_request(request).await;
            answer.relay.next().await.expect("an event").expect("an event");
            held.push(answer);
        }
        let seen = world.seen();
        for upstream in ["models-a", "models-b", "models-c"] {
            let of = seen[..6].iter().filter(|seen| seen.upstream.as_str() == upstream);
            assert_eq!(of.count(), 2, "{upstream}");
        }
        assert_eq!(seen.len(), 7, "the last one fits nowhere, and is sent");
        let activity = |upstream| world.tables.activity.lock().kv_load(upstream).own;
        assert_eq!(
            ["models-a", "models-b", "models-c"].map(activity).iter().sum::<u64>(),
            4_900_294
        );
        drop(held);
        assert_eq!(["models-a", "models-b", "models-c"].map(activity), [0; 3]);
    }
}

/// Guards against a retry that goes to an upstream without room for its tokens by the reports of other
/// nodes, and against a stream that has begun and is cut off as it cannot go on there.
#[test_case(Act::NotSent, 1; "not run")]
#[test_case(Act::Breaks(2), 2; "has run")]
#[tokio::test]
async fn retry_is_not_sent_where_its_tokens_do_not_fit(failure: Act, sends: usize) {
    let world = World::open(&[&[failure], &[Act::Stream]], AMPLE);
    // Requests of other nodes count with the mean of 142 tokens.
    world.report("models-b", 1_590_000 / 142 + 1);
    let (_, _, refusal) = world.send("/draft/7").await;
    assert_eq!(refusal.map(|refusal| refusal.outcome), (sends == 1).then_some(Outcome::NotRun));
    assert_eq!(world.seen().len(), sends);
}

/// Guards against a prompt that is sent although no upstream can ever hold it.
#[tokio::test]
async fn prompt_beyond_the_capacity_is_refused() {
    let world = World::open(&[&[Act::Stream]], AMPLE);
    let mut request = world.request("/draft/7");
    request.generation.as_mut().expect("a prompt").prompt_tokens = 1_590_001;
    let (_, _, refusal) = world.send_request(request).await;
    let refusal = refusal.expect("it does not fit");
    assert_eq!((refusal.outcome, refusal.code), (Outcome::NotRun, Code::TooLarge));
    assert_eq!(world.seen().len(), 0);
}

/// Guards against callers that come back before a slot is free by the reports.
#[tokio::test]
async fn callers_are_told_when_a_slot_is_free() {
    let world = World::open(&[&[Act::Full]], AMPLE);
    world.report("models-a", 80);
    let (_, _, refusal) = world.send("/draft/7").await;
    let retry = refusal.and_then(|refusal| refusal.retry).expect("a time");
    // 73 requests have to end before, at 8 slots with 6 passes of some 42 ms each.
    assert!((1_800..3_000).contains(&retry.as_millis()), "{retry:?}");
}

/// Guards against a stream that has begun, and is cut off after two full upstreams although another one
/// can go on with it: it cannot be refused as not run.
#[tokio::test]
async fn stream_that_has_begun_goes_on_past_full_upstreams() {
    let world = World::open(&[&[][..]; 5], AMPLE);
    world.upstreams.act_in_turn(&[Act::Breaks(2), Act::Full, Act::Full, Act::Full, Act::Stream]);
    let (status, body, refusal) = world.send("/draft/7").await;
    assert_eq!((status, body, refusal), (200, whole_stream(), None));
}

/// Guards against a request that is lost with a connection that its upstream had closed as idle, and
/// against a second send with the deadline of the first one.
#[test_case("/status/7", Act::Whole("done"); "buffered")]
#[test_case("/draft/7", Act::Stream; "stream")]
#[test_case("/price/7", Act::Whole("done"); "one upstream allowed")]
#[tokio::test]
async fn request_lost_with_a_reused_connection_is_sent_again(path: &'static str, act: Act) {
    let stale = Act::Stale(Duration::from_millis(50));
    let world = World::open(&[&[stale, act]], AMPLE);
    let (status, _, refusal) = world.send(path).await;
    assert_eq!((status, refusal), (200, None));
    let [first, second] = &world.seen()[..] else { panic!("{:?}", world.seen()) };
    assert!(!second.may_reuse, "another idle connection may be as old");
    assert!(second.remaining + Duration::from_millis(50) <= first.remaining, "{second:?}");
}

/// Guards against a second send after the loss of a reused connection that passes the limits of all
/// other attempts by, and against a caller that is told that its request has not run.
#[test_case("/status/7", NO_RETRIES, Act::Whole("done"), 1; "no retry left")]
#[test_case("/status/7", AMPLE, Act::Full, 2; "rejected then")]
#[test_case("/order/7", AMPLE, Act::Whole("done"), 1; "not to be repeated")]
#[tokio::test]
async fn loss_of_a_reused_connection_is_no_free_attempt(
    path: &'static str,
    retries: fleet::Limits,
    next: Act,
    sends: usize,
) {
    let world = World::open(&[&[Act::Stale(Duration::ZERO), next]], retries);
    let (_, _, refusal) = world.send(path).await;
    assert_eq!(refusal.expect("it is not served").outcome, Outcome::Unknown);
    assert_eq!(world.seen().len(), sends);
}

/// Guards against a second send to an upstream that has begun to drain since the first one.
#[tokio::test]
async fn draining_upstream_gets_no_second_send() {
    let lost = Act::Stale(Duration::from_millis(50));
    let world = World::open(&[&[lost, Act::Whole("done")]], AMPLE);
    let drain = async {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let draining = Upstream { state: State::Draining, ..world::registered("orders", 0) };
        let fact = Fact::Upstream(sync::Arc::new(draining.clone()));
        let subject = Subject::Upstream(draining.id);
        let changes = vec![Change { revision: 2, subject, fact: Some(fact) }];
        world
            .tables
            .catalog
            .lock()
            .apply(Changes { revision: world::rev(2), changes }, world.host.now());
    };
    let ((_, _, refusal), ()) = tokio::join!(world.send("/status/7"), drain);
    assert_eq!(refusal.expect("no upstream takes it").outcome, Outcome::Unknown);
    assert_eq!(world.seen().len(), 1);
}

/// Guards against a last attempt on a connection that has gone silent, which takes all the time that is
/// left, and against requests that may not be repeated on connections that their upstream may close.
#[test_case("/status/7", 4, &[true, true, false]; "buffered")]
#[test_case("/draft/7", 4, &[true, true, false]; "stream")]
#[test_case("/status/7", 1, &[false]; "no other upstream")]
#[test_case("/price/7", 4, &[false]; "one upstream allowed")]
#[test_case("/order/7", 4, &[false]; "not to be repeated")]
#[tokio::test]
async fn last_attempt_goes_on_a_new_connection(
    path: &'static str,
    upstreams: usize,
    reuse: &[bool],
) {
    let failing: &[Act] = &[Act::Broken];
    let world = World::open(&vec![failing; upstreams], AMPLE);
    world.send(path).await;
    let seen: Vec<bool> = world.seen().iter().map(|seen| seen.may_reuse).collect();
    assert_eq!(seen, reuse);
}

/// Guards against answers that take more memory than the node has, as their callers have not read them,
/// and against answers that are cut off for that.
#[tokio::test]
async fn answers_beyond_the_memory_for_buffers_are_passed_on_whole() {
    let large: &'static str = "x".repeat(200 * 1024).leak();
    let world = World::open(&[&[Act::Whole(large)]], AMPLE);
    let mut answers = Vec::new();
    for _ in 0..120 {
        answers.push(world.begin("/status/7").await);
    }
    let buffered = answers.iter().filter(|answer| answer.relay.size().is_some()).count();
    assert!((40..=82).contains(&buffered), "{buffered} answers of 200 KB are buffered");
    let held = world.host.memory.bytes(memory::Kind::Answer);
    assert!((buffered * large.len()..=world::MEMORY).contains(&held), "{held} bytes are held");
    for mut answer in answers {
        let mut size = 0;
        while let Some(part) = answer.relay.next().await.expect("the answer goes on") {
            size += part.len();
        }
        assert_eq!(size, large.len());
    }
    let again = world.begin("/status/7").await;
    assert!(again.relay.size().is_some(), "the memory is free again");
    drop(again);
    assert_eq!(world.host.memory.total(), 0);
}

/// Guards against parts of an answer that no longer count in the budget although they have not been
/// written to the client.
#[tokio::test]
async fn part_of_a_buffered_answer_is_accounted_for_until_it_is_dropped() {
    let large: &'static str = "x".repeat(200 * 1024).leak();
    let world = World::open(&[&[Act::Whole(large)]], AMPLE);
    let mut relay = world.begin("/status/7").await.relay;
    let part = relay.next().await.expect("the answer goes on").expect("a part");
    assert!(part.len() <= 64 * 1024, "a write queue takes {} bytes at once", part.len());
    drop(relay);
    assert!(world.host.memory.bytes(memory::Kind::Answer) >= large.len());
    drop(part);
    assert_eq!(world.host.memory.total(), 0);
}

/// Guards against small answers, and answers in small parts, each of which keeps a read buffer alive.
#[test_case(Act::Whole("done"), 64; "small answer")]
#[test_case(Act::Pieces(PIECES), 2 * PIECES.len(); "single bytes")]
#[tokio::test]
async fn small_parts_are_copied(act: Act, most: usize) {
    let world = World::open(&[&[act]], AMPLE);
    let relay = world.begin("/status/7").await.relay;
    let size = relay.size().expect("it is buffered") as usize;
    let held = world.host.memory.bytes(memory::Kind::Answer);
    assert!((size..=most).contains(&held), "{held} bytes are held");
}

/// An answer of 2,048 bytes.
const PIECES: &str = {
    const BYTES: &[u8] = &[b'x'; 2_048];
    match str::from_utf8(BYTES) {
        Ok(text) => text,
        Err(_) => unreachable!(),
    }
};

/// Bytes that tell when they are dropped.
struct Tracked(#[allow(dead_code, reason = "it is dropped")] sync::Arc<()>);

impl AsRef<[u8]> for Tracked {
    fn as_ref(&self) -> &[u8] {
        b"{}"
    }
}

/// Guards against the body of a request that is kept for as long as its stream lasts, although no other
/// upstream can get it, and against one that is released although another upstream needs it.
#[test_case("/note/7", Act::Hangs(2), true; "runs at most once")]
#[test_case("/draft/7", Act::Hangs(2), false; "can be resumed")]
#[tokio::test]
async fn body_of_a_stream_is_kept_while_it_can_be_resumed(
    path: &'static str,
    act: Act,
    is_released: bool,
) {
    let world = World::open(&[&[act], &[Act::Stream]], AMPLE);
    let kept = sync::Arc::new(());
    let mut request = world.request(path);
    request.body = bytes::Bytes::from_owner(Tracked(sync::Arc::clone(&kept)));
    let answer = world.begin_request(request).await;
    assert_eq!(sync::Arc::strong_count(&kept) == 1, is_released);
    drop(answer);
    assert_eq!(sync::Arc::strong_count(&kept), 1);
}

/// Guards against a request that runs at more upstreams than its route allows.
#[tokio::test]
async fn request_runs_at_no_more_upstreams_than_its_route_allows() {
    let failing: &[Act] = &[Act::Broken];
    let world = World::open(&[failing; 6], AMPLE);
    let (_, _, refusal) = world.send("/status/7").await;
    assert!(refusal.is_some());
    assert_eq!(world.seen().len(), 3);
}

/// Guards against a caller that has to wait past its own deadline.
#[test_case("/status/7")]
#[test_case("/draft/7")]
#[tokio::test]
async fn request_ends_at_its_deadline(path: &'static str) {
    let world = World::open(&[&[Act::Hangs(0)]], AMPLE);
    let mut request = world.request(path);
    request.deadline = Some(world.host.now() + Duration::from_millis(150));
    let (_, _, refusal) = world.send_request(request).await;
    assert_eq!(refusal.expect("nothing answers").code, Code::DeadlineExceeded);
}

/// Guards against requests that still count as in progress after their end.
#[test_case("/status/7", Act::Whole("done"))]
#[test_case("/draft/7", Act::Stream)]
#[test_case("/draft/7", Act::Breaks(2))]
#[test_case("/order/7", Act::Broken)]
#[tokio::test]
async fn ended_request_no_longer_counts_as_in_progress(path: &'static str, act: Act) {
    let world = World::open(&[&[act], &[Act::Stream]], AMPLE);
    world.send(path).await;
    let rows = world.tables.activity.lock().rows(world.host.now());
    assert_eq!(rows, []);
}

/// Guards against requests to an upstream that has said that it is leaving, whatever its registration
/// says.
#[tokio::test]
async fn upstream_that_is_leaving_gets_no_further_request() {
    let world = World::open(&[&[Act::Leaves], &[Act::Stream]], AMPLE);
    for _ in 0..20 {
        let (status, body, refusal) = world.send("/draft/7").await;
        assert_eq!((status, body, refusal), (200, whole_stream(), None));
    }
    let seen = world.seen();
    assert!(seen.iter().filter(|seen| seen.upstream.as_str() == "models-a").count() <= 1);
}

/// Guards against requests to an upstream that has turned one away and wants none for a while, and
/// against an upstream that gets none after that.
#[test_case("/status/7"; "buffered")]
#[test_case("/draft/7"; "stream")]
#[tokio::test]
async fn upstream_that_turns_requests_away_is_left_alone(path: &'static str) {
    let span = Duration::from_millis(600);
    let serves = if path == "/draft/7" { Act::Stream } else { Act::Whole("done") };
    let world = World::open(&[&[Act::TurnsAway(span), serves.clone()], &[serves]], AMPLE);
    let to_first = |world: &World| {
        world.seen().iter().filter(|seen| seen.upstream.as_str().ends_with("-a")).count()
    };
    while to_first(&world) == 0 {
        world.send(path).await;
    }
    // A full upstream is avoided for some time anyway.
    tokio::time::sleep(span / 2).await;
    for _ in 0..20 {
        let (status, _, refusal) = world.send(path).await;
        assert_eq!((status, refusal), (200, None));
    }
    assert_eq!(to_first(&world), 1);
    tokio::time::sleep(span).await;
    for _ in 0..40 {
        world.send(path).await;
    }
    assert!(to_first(&world) > 1);
}

/// Guards against callers that come back while no upstream takes requests.
#[tokio::test]
async fn callers_are_told_when_an_upstream_takes_requests_again() {
    let span = Duration::from_secs(30);
    let world = World::open(&[&[Act::TurnsAway(span)], &[Act::TurnsAway(span * 2)]], AMPLE);
    let (_, _, refusal) = world.send("/status/7").await;
    let refusal = refusal.expect("no upstream takes it");
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let retry = refusal.retry.expect("a time");
    assert!(retry <= span && retry > span / 2, "{retry:?}");
    world.send("/status/7").await;
    assert_eq!(world.seen().len(), 2);
}

/// Guards against an upstream that is never used again after a restart, as its former process was
/// leaving, and against a node that sends to it for want of another one.
#[tokio::test]
async fn leaving_ends_with_a_restart_of_the_upstream() {
    let world = World::open(&[&[Act::Leaves, Act::Stream]], AMPLE);
    world.send("/draft/7").await;
    let (_, _, refusal) = world.send("/draft/7").await;
    assert_eq!(refusal.expect("no other upstream").outcome, Outcome::NotRun);
    let mut restarted = world::registered("models", 0);
    restarted.incarnation += 1;
    let fact = Fact::Upstream(sync::Arc::new(restarted.clone()));
    let subject = Subject::Upstream(restarted.id);
    let changes = vec![Change { revision: 2, subject, fact: Some(fact) }];
    world
        .tables
        .catalog
        .lock()
        .apply(Changes { revision: world::rev(2), changes }, world.host.now());
    let (status, _, refusal) = world.send("/draft/7").await;
    assert_eq!((status, refusal), (200, None));
}

/// Guards against events out of order that are passed on as a complete answer.
#[tokio::test]
async fn event_out_of_order_is_not_passed_on() {
    let world = World::open(&[&[Act::Breaks(2), Act::Stream], &[Act::Stream]], AMPLE);
    let mut request = world.request("/draft/7");
    request.resume_after = Some(2);
    let (_, body, refusal) = world.send_request(request).await;
    assert_eq!(refusal, None);
    assert!(body.starts_with("id: 3\n"), "{body}");
}

/// Guards against requests without a route that reach an upstream.
#[tokio::test]
async fn unknown_path_is_refused() {
    let world = World::open(&[&[Act::Stream]], AMPLE);
    let (_, _, refusal) = world.send("/elsewhere/7").await;
    let refusal = refusal.expect("there is no such route");
    assert_eq!((refusal.code, refusal.outcome), (Code::UnknownService, Outcome::NotRun));
    assert_eq!(world.seen(), []);
}

/// Guards against upstreams that cannot tell an urgent kind of request, or an urgent organisation, from
/// others when they have more requests than slots.
#[test_case(None, 1; "of the route")]
#[test_case(Some(URGENT_KEY), 0; "of the organisation")]
#[tokio::test]
async fn upstream_is_told_the_priority(key: Option<&str>, expected: u8) {
    let world = World::open(&[&[Act::Stream]], AMPLE);
    let request = request::Request { api_key: key.map(str::to_owned), ..world.request("/draft/7") };
    let (status, _, refusal) = world.send_request(request).await;
    assert_eq!((status, refusal), (200, None));
    assert_eq!(world.seen()[0].priority, expected);
}
