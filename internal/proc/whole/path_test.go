package whole

import (
	"net/http"
	"testing"
	"time"
)

// The main job: a caller's request enters at any process, reaches a target and its
// whole answer comes back; a repeat through another process is answered but not run.
func TestPath(t *testing.T) {
	s := newSystem(t)
	s.addTargets(3, 8, 5*time.Millisecond)
	for range 3 {
		s.addEntry()
	}
	s.putSheet()
	s.settle()
	for i, e := range s.entries {
		a := post(e.caller, "case-7", "bottle 7")
		if a.status != http.StatusOK || a.outcome != "done" || a.body != "POST /checkin bottle 7" {
			t.Errorf("answer %d: %+v", i, a)
		}
	}
	if st := s.stats(); st.Total != 1 || st.Twice != 0 {
		t.Errorf("three requests with one key: %+v", st)
	}
	if a := post(s.entries[1].caller, "case-7", "bottle 8"); a.status != http.StatusUnprocessableEntity {
		t.Errorf("the same key with other content: %+v", a)
	}
}
