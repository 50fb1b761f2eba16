package lab_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"orchiddrift/lab"
	"orchiddrift/lab/planted"
	"orchiddrift/lab/scenario"
)

// Guards against taking an answer for that of another request: endpoints, or the agent, write copies of earlier answers and
// answers that nobody asked for between those of the dispatcher's requests.
func TestAnswerOfAnotherRequest(t *testing.T) {
	lags := []struct{ shortest, longest float64 }{{0, 0.004}, {0.02, 0.06}}
	for _, name := range []string{"copy", "stray", "agent-copy"} {
		for i, lag := range lags {
			t.Run(fmt.Sprintf("%s after %v s", name, lag.shortest), func(t *testing.T) {
				t.Parallel()
				s := open(name)
				s.Seed = 651001 + uint64(i)
				for i := range s.Troubles {
					trouble := &s.Troubles[i]
					switch trouble.Kind {
					case scenario.CopyAnswers, scenario.StrayAnswers, scenario.AgentCopies:
						trouble.Share, trouble.MinLag, trouble.MaxLag = 0.5, lag.shortest, lag.longest
					}
				}
				r, _, err := lab.Run(context.Background(), s, lab.Options{Command: command("run")})
				if err != nil {
					t.Fatal(err)
				}
				if got := brokenRules(r); got != "" {
					t.Errorf("broken rules are %q; first violations: %v", got, r.Violations[:min(3, len(r.Violations))])
				}
				if r.Totals.Accepted == 0 || r.Totals.Delivered*2 < r.Totals.Accepted {
					t.Errorf("%d accepted, %d delivered", r.Totals.Accepted, r.Totals.Delivered)
				}
			})
		}
	}
}

// Guards against rules that do not see an answer that is taken for another request's: a planted dispatcher that sends one call
// after another on a connection breaks them where endpoints copy answers, and keeps them where they do not.
func TestPlantedReuse(t *testing.T) {
	for _, share := range []float64{0.5, 0} {
		t.Run(fmt.Sprint("share ", share), func(t *testing.T) {
			t.Parallel()
			s := open("copy")
			s.Troubles = slices.DeleteFunc(s.Troubles, func(trouble scenario.Trouble) bool {
				return trouble.Kind == scenario.ChangeLimit || trouble.Kind == scenario.CopyAnswers && share == 0
			})
			for i := range s.Troubles {
				if s.Troubles[i].Kind == scenario.CopyAnswers {
					s.Troubles[i].Share = share
				}
			}
			r, _, err := lab.Run(context.Background(), s, lab.Options{Command: command("planted:" + planted.ReuseConnections)})
			if err != nil {
				t.Fatal(err)
			}
			if got := brokenRules(r); (got != "") != (share > 0) {
				t.Errorf("broken rules are %q; first violations: %v", got, r.Violations[:min(3, len(r.Violations))])
			}
		})
	}
}
