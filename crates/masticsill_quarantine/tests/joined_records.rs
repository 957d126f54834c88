//! Processes that receive the same records, in any order and any number of times, decide the same.

mod support;

use masticsill_quarantine::{CrashLedger, Fingerprint, RequestRecord, Standing};
use masticsill_types::ClockMs;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, proptest};
use proptest::prop_assert_eq;
use support::{crash, fingerprint};

const REQUESTS: u32 = 4;
const NOW: ClockMs = ClockMs(100_000);

/// What an entry observed at a time before `NOW`.
#[derive(Clone, Debug)]
enum Observation {
    Crash {
        endpoint: u64,
        ran_ms: u64,
        request: u32,
        zone: u8,
    },
    Completion {
        request: u32,
    },
}

fn observation() -> impl Strategy<Value = (usize, u64, Observation)> {
    let crash = (0..REQUESTS, 0..12_u64, 0..3_000_u64, 0..3_u8);
    let what = (any::<bool>(), any::<bool>(), crash);
    (0..3_usize, 1_000..90_000_u64, what).prop_map(|(entry, at_ms, (first, second, it))| {
        let (request, endpoint, ran_ms, zone) = it;
        let observation = if first || second {
            Observation::Crash {
                endpoint,
                ran_ms,
                request,
                zone,
            }
        } else {
            Observation::Completion { request }
        };
        (entry, at_ms, observation)
    })
}

fn standings(ledger: &CrashLedger) -> Vec<(Fingerprint, bool)> {
    let requests = (0..REQUESTS).map(fingerprint);
    let standings = requests.map(|it| {
        (
            it,
            matches!(ledger.standing(NOW, &it), Standing::Quarantined { .. }),
        )
    });
    standings.collect()
}

proptest! {
    #[test]
    fn records_can_be_merged_in_any_order(
        mut all in vec(observation(), 0..60),
        order in vec(any::<proptest::sample::Index>(), 0..12),
    ) {
        all.sort_by_key(|(_, at_ms, _)| *at_ms);
        let mut entries = [(); 3].map(|()| CrashLedger::default());
        for (entry, at_ms, observation) in all {
            let now = ClockMs(at_ms);
            match observation {
                Observation::Crash { endpoint, ran_ms, request, zone } => {
                    // An endpoint crashes only once.
                    let endpoint = endpoint + at_ms * 100;
                    let crash = crash(endpoint, ran_ms, 0, &format!("zone-{zone}"));
                    entries[entry].note_crash(now, fingerprint(request), &crash);
                }
                Observation::Completion { request } => {
                    entries[entry].note_completion(now, fingerprint(request));
                }
            }
        }
        let record_sets: Vec<Vec<RequestRecord>> =
            entries.iter().map(|it| it.local_since(NOW, 0)).collect();
        let mut first = CrashLedger::default();
        for records in &record_sets {
            first.merge(NOW, records);
        }
        let mut second = CrashLedger::default();
        for index in order {
            let records: &Vec<RequestRecord> = index.get(record_sets.as_slice());
            second.merge(NOW, records);
        }
        for records in record_sets.iter().rev() {
            second.merge(NOW, records);
        }
        first.judge(NOW);
        second.judge(NOW);
        prop_assert_eq!(standings(&first), standings(&second));
        // A process that receives only the broadcast records decides the same, and a repetition
        // changes nothing.
        let broadcast = [first.broadcast_since(NOW, 0), second.broadcast_since(NOW, 0)];
        let mut third = CrashLedger::default();
        for records in &broadcast {
            third.merge(NOW, records);
        }
        let revision = third.revision();
        for records in &broadcast {
            third.merge(NOW, records);
        }
        prop_assert_eq!(third.revision(), revision);
        prop_assert_eq!(standings(&third), standings(&first));
    }
}
