//! Exchanging what nodes observe of prompt parts that crash upstreams.

use std::time;

use corneltrestle_policy::quarantine::{Crash, Part};
use corneltrestle_time::moment;
use corneltrestle_wire::mesh;

use crate::tables::{activity::saturating_millis, outbox::Reach};

impl super::Mesh {
    /// Sends what this node has observed since the last call to all nodes.
    pub(crate) fn broadcast_evidence(&self, now: moment::Moment) {
        let evidence = self.tables.quarantine.lock().take_unsent();
        if evidence.is_empty() {
            return;
        }
        let crashes = evidence.crashes.iter().map(|crash| mesh::Crash {
            upstream: crash.upstream,
            request: crash.request,
            parts: crash.parts.iter().take(mesh::MAX_PARTS).map(|part| part.0).collect(),
            sent: saturating_millis(now.since(crash.sent)),
            age: saturating_millis(now.since(crash.at)),
        });
        let sound = evidence.sound.iter().map(|(part, at)| encode(*part, *at, now));
        let (crashes, sound) = (crashes.collect(), sound.collect());
        let datagram =
            mesh::Datagram { crashes, sound, forward: true, ..self.datagram(false, now) };
        self.enqueue(mesh::encode(datagram), Reach::All);
    }

    /// The quarantined parts, for periodic datagrams: nodes that missed the crashes adopt them.
    pub(super) fn quarantined(&self, now: moment::Moment) -> Vec<mesh::Part> {
        let mut quarantine = self.tables.quarantine.lock();
        let known = quarantine.parts().quarantined().take(mesh::MAX_PARTS);
        known.map(|(part, crashed)| encode(part, crashed, now)).collect()
    }

    /// Handles what another node has observed.
    pub(super) fn handle_evidence(&self, datagram: &mesh::Datagram, now: moment::Moment) {
        let (crashes, quarantined) = (&datagram.crashes, &datagram.quarantined);
        if crashes.is_empty() && quarantined.is_empty() && datagram.sound.is_empty() {
            return;
        }
        let at = |age: u32| now.before(time::Duration::from_millis(u64::from(age)));
        let mut quarantine = self.tables.quarantine.lock();
        for crash in crashes.iter().take(mesh::MAX_PARTS) {
            let parts = crash.parts.iter().take(mesh::MAX_PARTS).map(|part| Part(*part));
            quarantine.receive_crash(Crash {
                upstream: crash.upstream,
                request: crash.request,
                parts: parts.collect(),
                sent: at(crash.sent),
                at: at(crash.age),
            });
        }
        for sound in datagram.sound.iter().take(mesh::MAX_PARTS) {
            quarantine.parts().clear(Part(sound.part), at(sound.age));
        }
        for known in quarantined.iter().take(mesh::MAX_PARTS) {
            quarantine.receive_quarantined(Part(known.part), at(known.age));
        }
    }
}

fn encode(part: Part, at: moment::Moment, now: moment::Moment) -> mesh::Part {
    mesh::Part { part: part.0, age: saturating_millis(now.since(at)) }
}
