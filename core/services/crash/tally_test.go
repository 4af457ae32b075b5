package crash_test

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"medlarpond.dev/core/services/crash"
)

var fingerprint = crash.NewFingerprint([]byte("GET"), []byte("/x"))

// sharedRecords is a model of the store: records with revisions, written only if the expected revision is the current one.
type sharedRecords struct {
	revision uint64
	records  map[crash.Fingerprint]crash.Record
}

// write carries out the updates of an instance, and returns to it the current record of each one that has a conflict.
func (s *sharedRecords) write(t *crash.Tally) {
	for range 9 {
		updates := t.Updates(16)
		if len(updates) == 0 {
			return
		}
		for _, u := range updates {
			current, exists := s.records[u.Fingerprint]
			switch {
			case current.Revision != u.Revision && exists:
				t.Learn(u.Fingerprint, current)
			case current.Revision != u.Revision:
				t.LearnRemoval(u.Fingerprint, u.Revision)
			default:
				s.revision++
				next := u.Record
				next.Revision = s.revision
				s.records[u.Fingerprint] = next
				t.Learn(u.Fingerprint, next)
			}
		}
	}
}

// deliver tells an instance the current record of each fingerprint, as a list of the store does.
func (s *sharedRecords) deliver(t *crash.Tally, all ...crash.Fingerprint) {
	for _, f := range all {
		if record, ok := s.records[f]; ok {
			t.Learn(f, record)
		} else {
			t.LearnRemoval(f, s.revision)
		}
	}
}

// forget removes the record of a fingerprint, as its lease has ended.
func (s *sharedRecords) forget(f crash.Fingerprint) {
	if _, ok := s.records[f]; ok {
		s.revision++
		delete(s.records, f)
	}
}

// TestTalliesAgree lets instances see deaths, write to and learn from the store in any order, and lets the store forget records.
// Once all have written and learned, they agree with each other. A request whose record was not forgotten is blocked exactly if
// three targets have died under it.
func TestTalliesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &sharedRecords{records: map[crash.Fingerprint]crash.Record{}}
		tallies := []*crash.Tally{crash.NewTally(), crash.NewTally(), crash.NewTally()}
		fingerprints := []crash.Fingerprint{fingerprint, crash.NewFingerprint([]byte("GET"), []byte("/y"))}
		deaths := map[crash.Fingerprint]map[string]bool{fingerprints[0]: {}, fingerprints[1]: {}}
		forgotten := map[crash.Fingerprint]bool{}
		sentAt := time.Now().Add(-time.Hour)
		t.Repeat(map[string]func(*rapid.T){
			"death": func(t *rapid.T) {
				f, target := rapid.SampledFrom(fingerprints).Draw(t, "fingerprint"), fmt.Sprint("t-", rapid.IntRange(0, 5).Draw(t, "target"))
				rapid.SampledFrom(tallies).Draw(t, "instance").RecordDeath(f, target, 1, sentAt)
				deaths[f][target] = true
			},
			"write": func(t *rapid.T) { store.write(rapid.SampledFrom(tallies).Draw(t, "instance")) },
			"learn": func(t *rapid.T) { store.deliver(rapid.SampledFrom(tallies).Draw(t, "instance"), fingerprints...) },
			"forget": func(t *rapid.T) {
				f := rapid.SampledFrom(fingerprints).Draw(t, "fingerprint")
				store.forget(f)
				forgotten[f] = true
			},
			"write and learn everywhere": func(t *rapid.T) {
				for range 3 {
					for _, tally := range tallies {
						store.write(tally)
						store.deliver(tally, fingerprints...)
					}
				}
				for _, f := range fingerprints {
					want := len(store.records[f].Deaths) >= crash.MaxDeaths
					for i, tally := range tallies {
						if got := tally.IsBlocked(f); got != want {
							t.Fatalf("instance %d: got blocked %v, want %v with the stored deaths %v", i, got, want, store.records[f].Deaths)
						}
					}
					if !forgotten[f] && want != (len(deaths[f]) >= crash.MaxDeaths) {
						t.Fatalf("got blocked %v after the deaths of %v", want, maps.Keys(deaths[f]))
					}
				}
			},
		})
	})
}

// TestRepeatedDeathOfAnIncarnation counts a target that dies again before its new description is known, and counts one death
// once that several attempts see.
func TestRepeatedDeathOfAnIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tally := crash.NewTally()
		sentAt := time.Now()
		time.Sleep(time.Second)
		for range 5 {
			if n := tally.RecordDeath(fingerprint, "t-1", 1, sentAt); n != 1 {
				t.Fatalf("got %d deaths after attempts that were sent before the first, want 1", n)
			}
		}
		for want := 2; want <= 4; want++ {
			time.Sleep(time.Second)
			if n := tally.RecordDeath(fingerprint, "t-1", 1, time.Now()); n != want {
				t.Fatalf("got %d deaths after another attempt, want %d", n, want)
			}
		}
		if !tally.IsBlocked(fingerprint) {
			t.Error("the request is not blocked after 4 deaths")
		}
		time.Sleep(crash.RecordTTL + time.Second)
		if tally.IsBlocked(fingerprint) {
			t.Error("the request is still blocked after RecordTTL")
		}
	})
}

// TestTallyIsBounded checks that a flood of suspects does not displace a blocked request.
func TestTallyIsBounded(t *testing.T) {
	tally := crash.NewTally()
	for _, target := range []string{"t-1", "t-2", "t-3"} {
		tally.RecordDeath(fingerprint, target, 1, time.Now())
	}
	for n := range 6000 {
		tally.RecordDeath(crash.NewFingerprint(fmt.Append(nil, n)), "t-1", 1, time.Now())
	}
	if n := len(tally.Updates(1 << 20)); n > 4096 || !tally.IsBlocked(fingerprint) {
		t.Errorf("got %d suspects, want at most 4096; blocked %v, want true", n, tally.IsBlocked(fingerprint))
	}
}

// TestStoreAgain guards against deaths and failed trials that are forgotten because the store has lost the record of them.
func TestStoreAgain(t *testing.T) {
	f := crash.NewFingerprint([]byte("again"))
	record := crash.Record{Revision: 9, Trials: []crash.Trial{{ID: "failed"}, {ID: "passed", Passed: true}}}
	for n := range crash.MaxDeaths {
		record.Deaths = append(record.Deaths, crash.Death{Target: fmt.Sprint("t-", n), Started: 1})
	}
	tally := crash.NewTally()
	tally.Learn(f, record)
	tally.StoreAgain()
	if !tally.IsBlocked(f) {
		t.Error("the request is no longer blocked")
	}
	updates := tally.Updates(10)
	if len(updates) != 1 || len(updates[0].Deaths) != crash.MaxDeaths || updates[0].Revision != 0 {
		t.Errorf("got updates %+v, want one with %d deaths and without a revision", updates, crash.MaxDeaths)
	}
	// The store has an earlier record, with the first death only.
	tally.Learn(f, crash.Record{Revision: 20, Deaths: record.Deaths[:1]})
	updates = tally.Updates(10)
	if len(updates) != 1 || len(updates[0].Deaths) != crash.MaxDeaths || updates[0].Revision != 20 {
		t.Errorf("got updates %+v after an earlier record, want one with %d deaths that replaces it", updates, crash.MaxDeaths)
	}
}
