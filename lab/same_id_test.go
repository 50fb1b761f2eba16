package lab_test

import (
	"context"
	"testing"

	"orchiddrift/lab"
	"orchiddrift/lab/planted"
	"orchiddrift/lab/rules"
)

// Guards against a message that is answered as accepted and never sent because a bad client uses its ID, and against rules that do
// not see it: a planted dispatcher that goes by the ID breaks them.
func TestIDsOfOthers(t *testing.T) {
	for role, wantBroken := range map[string]bool{"run": false, "planted:" + planted.GoByID: true} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			s := open("same-id")
			if wantBroken {
				s.Troubles = s.Troubles[:1] // it loses what it holds when it is killed
			}
			r, j, err := lab.Run(context.Background(), s, lab.Options{Command: command(role)})
			if err != nil {
				t.Fatal(err)
			}
			if got := brokenRules(r); (got != "") != wantBroken {
				t.Errorf("broken rules are %q; first violations: %v", got, r.Violations[:min(3, len(r.Violations))])
			}
			foreign, refused := 0, 0
			for _, h := range j.HandIns {
				if h.Foreign {
					foreign++
				}
				if h.Refused() {
					refused++
				}
			}
			if foreign < 50 || (refused < foreign/4) != wantBroken {
				t.Errorf("%d requests of bad clients, %d requests refused", foreign, refused)
			}
		})
	}
}

// Guards against messages that nobody handed in, or that come with other content, after a kill, and against rules that do not see them:
// a planted dispatcher that finds messages in what it has stored breaks them.
func TestContentAfterKills(t *testing.T) {
	for role, wantBroken := range map[string]bool{"run": false, "planted:" + planted.SearchContent: true} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			r, _, err := lab.Run(context.Background(), open("hostile"), lab.Options{Command: command(role)})
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, v := range r.Violations {
				found = found || v.Rule == rules.Content
			}
			if got := brokenRules(r); found != wantBroken || !wantBroken && got != "" {
				t.Errorf("broken rules are %q; first violations: %v", got, r.Violations[:min(3, len(r.Violations))])
			}
		})
	}
}
