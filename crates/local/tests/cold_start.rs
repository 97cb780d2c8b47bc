//! Guards invariant (c): an engine that has just started gets no more work than it bears, over all
//! nodes together.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::Ended;
use corneltrestle_local::Local;
use futures_util::future;
use test_case::test_case;

/// What brings an engine to a cold start.
enum Cause {
    /// It was just formed.
    Formed,
    /// Its head restarts by itself and keeps the model.
    ColdAgain,
    /// A member is lost, and the replica forms again.
    MemberLost,
}

/// Sends short generations from several callers of each node until `stop`; the ends of all.
async fn load(local: &Local, callers: usize, stop: &AtomicBool) -> Vec<Ended> {
    let nodes = local.nodes.values().map(common::caller);
    let jobs = nodes.flat_map(|caller| std::iter::repeat_n(caller, callers)).enumerate();
    let jobs = jobs.map(|(job, caller)| async move {
        let mut ends = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            let prompt = format!("caller {job} request {}", ends.len());
            ends.push(common::generate(&caller, &prompt, 4).await);
        }
        ends
    });
    future::join_all(jobs).await.concat()
}

#[test_case(Cause::Formed; "formed")]
#[test_case(Cause::ColdAgain; "cold again")]
#[test_case(Cause::MemberLost; "member lost")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cold_engine_gets_no_more_than_it_bears(cause: Cause) {
    let local = common::open_cold(common::one_zone(2, 1, 4), 1, 2).await;
    let stop = Arc::new(AtomicBool::new(false));
    let script = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        let replica = common::stored(&local, "zone-a").replicas[0].clone();
        let warm = common::overloads(&local);
        assert_eq!(warm, 0, "work above the level after the formation");
        match cause {
            Cause::Formed => {}
            Cause::ColdAgain => {
                let head = &local.engines[replica.vms[0].id.as_str()];
                head.switch("cold-again", true, None).unwrap();
            }
            Cause::MemberLost => {
                let member = &local.engines[replica.vms[1].id.as_str()];
                member.switch("crash", true, None).unwrap();
            }
        }
        tokio::time::sleep(Duration::from_secs(4)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let (ends, ()) = tokio::join!(load(&local, 6, &stop), script);
    let whole = ends.iter().filter(|end| matches!(end, Ended::Whole(_))).count();
    assert!(whole > 50, "only {whole} of {} answers were whole", ends.len());
    let wrong: Vec<_> = ends.iter().filter(|end| matches!(end, Ended::Wrong(_))).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
    assert_eq!(common::overloads(&local), 0, "work above the level after the cold start");
    local.shutdown().await;
}
