//! Calls with an idempotency key: at most one execution over all calls with the same key.
//!
//! The node claims the key in the store before it sends the call and records the outcome there
//! afterwards; [`claim`] describes the protocol. Such a call is named `order` in store keys, log
//! lines and [`store::Class`].

use std::{sync, time};

use corneltrestle_engine::service::{self, Service};
use corneltrestle_infra::store::{self, Store};
use corneltrestle_policy::claim;
use corneltrestle_time::moment;
use corneltrestle_wire::{key, stored};

use super::{Result, admit::Permit, plain, request};
use crate::{digest, link::Link, pipeline, tables};

/// Attempts to settle a claim, or to record an outcome, before giving up.
const ATTEMPT_LIMIT: u32 = 5;
/// Delay between two such attempts.
const ATTEMPT_DELAY: time::Duration = time::Duration::from_millis(200);
/// How long new claims are attached to the same store lease.
const LEASE_REUSE: time::Duration = time::Duration::from_secs(3_600);
/// Time to live of that lease; with [`LEASE_REUSE`] each claim is kept for at least 24 hours.
const LEASE_TTL: time::Duration = time::Duration::from_secs(25 * 3_600);

/// A key that this call has claimed.
struct Claimed {
    key: String,
    record: claim::Record,
    held: claim::Held,
}

impl<E, P, S, L> pipeline::Pipeline<E, P, S, L>
where
    E: Send + Sync + 'static,
    P: Service,
    S: Store,
    L: Link,
{
    /// Runs a call under its idempotency key.
    ///
    /// The call runs in a spawned task, so that the outcome is recorded even if the caller
    /// disconnects.
    pub(super) async fn idempotent(
        self: &sync::Arc<Self>,
        call: request::Call,
        key: String,
        permit: Permit,
    ) -> Result<service::Response> {
        let pipeline = sync::Arc::clone(self);
        let job = self.host.pool.spawn(async move {
            let result = pipeline.run_idempotent(&call, &key).await;
            drop(permit);
            result
        });
        job.await.unwrap_or_else(|e| {
            let message = format!("the task of this call ended early: {e}");
            Err(pipeline::Refusal::unknown(pipeline::Code::UpstreamFailed, "dispatch", message))
        })
    }

    async fn run_idempotent(
        self: &sync::Arc<Self>,
        call: &request::Call,
        key: &str,
    ) -> Result<service::Response> {
        let hash = digest::hex(&[key.as_bytes()]);
        let store_key = key::order(call.organisation.as_str(), call.service.as_str(), &hash);
        let request =
            digest::hex(&[call.method.as_str().as_bytes(), call.target.as_bytes(), &call.body]);
        let id = format!("{:032x}", rand::random::<u128>());
        let claim = claim::Call {
            claim: &id,
            node: self.identity.node.as_str(),
            boot: self.identity.boot,
            request: &request,
        };
        self.tables.claims.lock().hold(&id);
        let claimed = self.claim(&claim, store_key).await;
        let result = match claimed {
            Ok(Ok(claimed)) => return self.run_claimed(call, claimed).await,
            Ok(Err(answer)) => Ok(answer),
            Err(refusal) => Err(refusal),
        };
        self.tables.claims.lock().release(&id);
        result
    }

    /// Claims the key, or returns the recorded response of an earlier call.
    async fn claim(
        self: &sync::Arc<Self>,
        call: &claim::Call<'_>,
        key: String,
    ) -> Result<std::result::Result<Claimed, service::Response>> {
        let started = self.now();
        let record = call.record();
        let (mut written, mut refused) = (false, false);
        for attempt in 0..ATTEMPT_LIMIT {
            if attempt > 0 {
                tokio::time::sleep(ATTEMPT_DELAY).await;
            }
            let found = match self.store.read(&key, store::Class::Order).await {
                Ok(found) => found,
                Err(e) if claim::may_try_again(written, self.has_paused(started)) => {
                    log::info!("order: cannot read a claim: {e}");
                    continue;
                }
                Err(e) => return Err(store_failed(&e)),
            };
            let found = match found {
                Some(found) => Some((decode(&key, &found.value)?, found.version)),
                None => None,
            };
            let found = found.as_ref().map(|(record, version)| (record, *version));
            let version = match claim::decide(call, found, |record| self.holder(record)) {
                claim::Decision::Hold(version) => {
                    let held = claim::Held::new(version, started);
                    return Ok(Ok(Claimed { key, record, held }));
                }
                claim::Decision::Replay(answer) => return Ok(Err(replay(answer))),
                claim::Decision::Claim(version) => version,
                decision => return Err(declined(decision)),
            };
            let lease = match self.claim_lease().await {
                Ok(lease) => lease,
                // If the grant took effect, its lease expires without keys.
                Err(e)
                    if e.may_have_run()
                        || claim::may_try_again(written, self.has_paused(started)) =>
                {
                    log::info!("order: cannot get a lease for claims: {e}");
                    continue;
                }
                Err(e) => return Err(store_failed(&e)),
            };
            let value = stored::encode(&key, &record).map_err(|e| malformed(&e))?;
            match self.store.swap(&key, version, &value, Some(lease), store::Class::Order).await {
                Ok(store::Swap::Done(version)) => {
                    let held = claim::Held::new(version, started);
                    return Ok(Ok(Claimed { key, record, held }));
                }
                // The next attempt reads the claim that won.
                Ok(store::Swap::Conflict(_)) => {}
                Err(e) if e.may_have_run() => written = true,
                Err(e) if e.kind == store::Kind::Refused && !refused => {
                    // The lease may have expired in the store.
                    log::info!("order: the store refused a claim: {e}");
                    self.tables.claims.lock().lease.take_if(|known| known.id == lease);
                    refused = true;
                }
                Err(e) if !claim::may_try_again(written, self.has_paused(started)) => {
                    return Err(store_failed(&e));
                }
                Err(_) => {}
            }
        }
        self.abandon(key, record);
        Err(pipeline::Refusal::not_run(
            pipeline::Code::StoreUnavailable,
            "claim",
            "the claim of the idempotency key could not be settled",
        )
        .retry_after(time::Duration::from_secs(2)))
    }

    /// Whether this process was paused since `start`.
    fn has_paused(&self, start: moment::Moment) -> bool {
        self.tables.reports.lock().activity.has_paused(start, self.now())
    }

    /// Sends a claimed call and records its outcome.
    async fn run_claimed(
        self: &sync::Arc<Self>,
        call: &request::Call,
        mut claimed: Claimed,
    ) -> Result<service::Response> {
        let result = self.send_claimed(call, &mut claimed.held).await;
        let ended = match &result {
            Ok(answer) => claim::Ended::Answered(record_response(answer)),
            Err(refusal) if refusal.outcome == super::Outcome::NotRun => claim::Ended::NotSent,
            Err(_) => claim::Ended::Broken,
        };
        let record = claimed.held.record(&claimed.record, ended);
        let (key, version) = (claimed.key, claimed.held.version());
        self.record(&key, version, &record).await;
        self.tables.claims.lock().release(&record.claim);
        result
    }

    async fn send_claimed(
        &self,
        call: &request::Call,
        held: &mut claim::Held,
    ) -> Result<service::Response> {
        let mut last = None;
        for peer in self.upstreams(&call.service)? {
            if !held.send(self.now()) {
                break;
            }
            match self.send(call, peer).await {
                Err(e) if e.kind == service::Kind::NotSent => {
                    held.not_sent();
                    last = Some(e);
                }
                result => return result.map_err(|e| plain::failed(&e)),
            }
        }
        Err(last.map_or_else(
            || {
                pipeline::Refusal::not_run(
                    pipeline::Code::Unavailable,
                    "dispatch",
                    "the claim became too old before the call was sent",
                )
            },
            |e| plain::failed(&e),
        ))
    }

    /// Records an outcome. If that fails, later calls with the key get an unknown outcome; they are
    /// never executed.
    async fn record(&self, key: &str, version: u64, record: &claim::Record) {
        let Ok(value) = stored::encode(key, record) else { return };
        for attempt in 0..ATTEMPT_LIMIT {
            if attempt > 0 {
                tokio::time::sleep(ATTEMPT_DELAY).await;
            }
            let lease = self.tables.claims.lock().lease.map(|lease| lease.id);
            match self.store.swap(key, version, &value, lease, store::Class::Order).await {
                Ok(store::Swap::Done(_)) => return,
                // An earlier attempt took effect or the claim has expired; overwrite neither.
                Ok(store::Swap::Conflict(_)) => return,
                Err(e) => log::info!("order: cannot record an outcome: {e}"),
            }
        }
        log::warn!(
            "order: the outcome of a call could not be recorded; its key has an unknown outcome"
        );
    }
}

/// Claims of other calls.
impl<E, P, S, L> pipeline::Pipeline<E, P, S, L>
where
    E: Send + Sync + 'static,
    P: Service,
    S: Store,
    L: Link,
{
    /// What this node knows about the process that holds another call's claim.
    fn holder(&self, record: &claim::Record) -> claim::Holder {
        let now = self.now();
        let members = self.tables.members.lock();
        if record.node == self.identity.node && record.boot == self.identity.boot {
            return self.tables.claims.lock().holder(&record.claim);
        }
        let view = members.known.view(now);
        let node = record.node.as_str();
        let present = view.get(node).map(|member| (member.boot, view.liveness(node)));
        let read = match present {
            Some((boot, _)) if boot == record.boot => now,
            _ => self.tables.claims.lock().first_read(&record.claim, now),
        };
        claim::holder(record.boot, present, now.since(read))
    }

    /// Gives up a claim whose write may still take effect, and marks it as not run if it does.
    fn abandon(self: &sync::Arc<Self>, key: String, record: claim::Record) {
        self.tables.claims.lock().abandon(&record.claim);
        let pipeline = sync::Arc::clone(self);
        self.host.pool.spawn(async move {
            for _ in 0..ATTEMPT_LIMIT {
                tokio::time::sleep(ATTEMPT_DELAY * 5).await;
                let Ok(Some(found)) = pipeline.store.read(&key, store::Class::Order).await else {
                    continue;
                };
                let is_own = decode(&key, &found.value).is_ok_and(|own| own.claim == record.claim);
                if is_own {
                    let record = claim::Record { state: claim::State::NotRun, ..record };
                    pipeline.record(&key, found.version, &record).await;
                }
                return;
            }
        });
    }

    /// The store lease that new claims are attached to; granted if there is no recent one.
    async fn claim_lease(&self) -> store::Result<store::LeaseId> {
        let now = self.now();
        let known = self.tables.claims.lock().lease;
        if let Some(lease) = known.filter(|lease| now.since(lease.granted_at) < LEASE_REUSE) {
            return Ok(lease.id);
        }
        let id = self.store.grant(LEASE_TTL, store::Class::Order).await?;
        self.tables.claims.lock().lease = Some(tables::claims::Lease { id, granted_at: now });
        Ok(id)
    }
}

fn decode(key: &str, value: &[u8]) -> Result<claim::Record> {
    stored::decode(key, value).map_err(|e| malformed(&e))
}

fn malformed(error: &stored::Error) -> pipeline::Refusal {
    pipeline::Refusal::unknown(pipeline::Code::StoreUnavailable, "claim", error.to_string())
}

fn store_failed(error: &store::Error) -> pipeline::Refusal {
    let message = format!("this call was not run: {error}");
    pipeline::Refusal::not_run(pipeline::Code::StoreUnavailable, "claim", message)
        .at(&error.peer)
        .retry_after(time::Duration::from_secs(2))
}

fn declined(decision: claim::Decision<'_>) -> pipeline::Refusal {
    match decision {
        claim::Decision::KeyReused => pipeline::Refusal::not_run(
            pipeline::Code::KeyReused,
            "claim",
            "the idempotency key belongs to another request; use a new key",
        ),
        claim::Decision::InProgress => pipeline::Refusal::unknown(
            pipeline::Code::InProgress,
            "claim",
            "the first call with this idempotency key is in progress",
        )
        .retry_after(time::Duration::from_secs(1)),
        _ => pipeline::Refusal::unknown(
            pipeline::Code::UpstreamFailed,
            "claim",
            "the first call with this idempotency key may have run; ask the service for its status",
        ),
    }
}

fn record_response(answer: &service::Response) -> claim::Response {
    let headers = answer.headers.iter().filter_map(|(name, value)| {
        Some((name.as_str().to_owned(), value.to_str().ok()?.to_owned()))
    });
    claim::Response {
        status: answer.status.as_u16(),
        headers: headers.collect(),
        body: answer.body.to_vec(),
    }
}

fn replay(answer: &claim::Response) -> service::Response {
    let headers: service::HeaderMap = answer
        .headers
        .iter()
        .filter_map(|(name, value)| {
            Some((
                service::HeaderName::try_from(name).ok()?,
                service::HeaderValue::try_from(value).ok()?,
            ))
        })
        .collect();
    service::Response {
        status: service::StatusCode::from_u16(answer.status).unwrap_or(service::StatusCode::OK),
        headers,
        body: bytes::Bytes::from(answer.body.clone()),
    }
}
