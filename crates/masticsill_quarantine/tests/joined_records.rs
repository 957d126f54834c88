//! Processes that hear the same, in any order and as often as it comes, decide the same.

mod support;

use masticsill_quarantine::{CrashLedger, Fingerprint, RequestRecord, Standing};
use masticsill_types::ClockMs;
use proptest::collection::vec;
use proptest::prelude::{Strategy, any, proptest};
use proptest::prop_assert_eq;
use support::{crash, fingerprint};

const REQUESTS: u32 = 4;
const NOW: ClockMs = ClockMs(100_000);

/// What one entry noted, at a time before `NOW`.
#[derive(Clone, Debug)]
enum Noted {
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

fn noted() -> impl Strategy<Value = (usize, u64, Noted)> {
    let crash = (0..REQUESTS, 0..12_u64, 0..3_000_u64, 0..3_u8);
    let what = (any::<bool>(), any::<bool>(), crash);
    (0..3_usize, 1_000..90_000_u64, what).prop_map(|(entry, at_ms, (first, second, it))| {
        let (request, endpoint, ran_ms, zone) = it;
        let noted = if first || second {
            Noted::Crash {
                endpoint,
                ran_ms,
                request,
                zone,
            }
        } else {
            Noted::Completion { request }
        };
        (entry, at_ms, noted)
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
    fn records_are_joined_in_any_order(
        mut all in vec(noted(), 0..60),
        order in vec(any::<proptest::sample::Index>(), 0..12),
    ) {
        all.sort_by_key(|(_, at_ms, _)| *at_ms);
        let mut entries = [(); 3].map(|()| CrashLedger::default());
        for (entry, at_ms, noted) in all {
            let now = ClockMs(at_ms);
            match noted {
                Noted::Crash { endpoint, ran_ms, request, zone } => {
                    // An endpoint crashes once.
                    let endpoint = endpoint + at_ms * 100;
                    let crash = crash(endpoint, ran_ms, 0, &format!("zone-{zone}"));
                    entries[entry].note_crash(now, fingerprint(request), &crash);
                }
                Noted::Completion { request } => {
                    entries[entry].note_completion(now, fingerprint(request));
                }
            }
        }
        let words: Vec<Vec<RequestRecord>> =
            entries.iter().map(|it| it.local_since(NOW, 0)).collect();
        let mut first = CrashLedger::default();
        for word in &words {
            first.merge(NOW, word);
        }
        let mut second = CrashLedger::default();
        for index in order {
            let word: &Vec<RequestRecord> = index.get(words.as_slice());
            second.merge(NOW, word);
        }
        for word in words.iter().rev() {
            second.merge(NOW, word);
        }
        first.judge(NOW);
        second.judge(NOW);
        prop_assert_eq!(standings(&first), standings(&second));
        // One that hears only what all must know decides the same, and finds nothing new in it twice.
        let spread = [first.broadcast_since(NOW, 0), second.broadcast_since(NOW, 0)];
        let mut third = CrashLedger::default();
        for word in &spread {
            third.merge(NOW, word);
        }
        let revision = third.revision();
        for word in &spread {
            third.merge(NOW, word);
        }
        prop_assert_eq!(third.revision(), revision);
        prop_assert_eq!(standings(&third), standings(&first));
    }
}
