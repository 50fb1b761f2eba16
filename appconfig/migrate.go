package appconfig

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MigrationNote is something that a migration could not carry over, or that the operator must look at.
type MigrationNote struct {
	Key    string
	Line   int // of the old file, 0 where the key is new
	Reason string
}

func (n MigrationNote) String() string {
	if n.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", n.Line, n.Key, n.Reason)
	}
	return fmt.Sprintf("%s: %s", n.Key, n.Reason)
}

// UsesNewLayout tells that a file is of the new shape, wholly or in part.
func (a *App) UsesNewLayout() bool {
	for key := range a.lines {
		if strings.HasPrefix(key, "layout") || strings.HasPrefix(key, "zones") || strings.HasSuffix(key, ".routes") {
			return true
		}
	}
	return false
}

// Migrate writes the counterpart of a good file of the old shape: the list tells no rates, endpoints are routes apart,
// refusals are free and benefit halves. It tells what could not come over, and what the operator has to fill in.
func Migrate(old *App) ([]byte, []MigrationNote, error) {
	next := *old
	next.Layout = Layout{List: ListPushed, Rates: RatesNone, Refusals: RefusalsFree, Late: LateHalving}
	next.Partners, next.Zones = nil, nil
	notes := []MigrationNote{
		{"comments", 0, "not carried over: copy those that still hold"},
		{"layout.list", 0, "fill in: pushed is kept; write asked where the list answers only when asked"},
	}
	zones := map[string]bool{"": true}
	for i, p := range old.Partners {
		key := fmt.Sprintf("partners[%d].", i)
		notes = append(notes, MigrationNote{key + "rate", old.line(key + "rate"),
			fmt.Sprintf("not carried over: %v a second for %q; the new list tells no rates, the limit is read from answers", p.Rate, p.Name)})
		p.Rate, p.Routes = 0, RoutesSeparate
		if len(p.Endpoints) > 1 {
			notes = append(notes, MigrationNote{key + "routes", 0,
				fmt.Sprintf("fill in: apart is assumed; write shared for all of kind %q if the endpoints of %q share one limit", p.Kind, p.Name)})
		}
		next.Partners = append(next.Partners, p)
		for _, e := range p.Endpoints {
			if !zones[e.Zone] {
				zones[e.Zone] = true
				notes = append(notes, MigrationNote{fmt.Sprintf("zones[%d].fee", len(next.Zones)), 0, fmt.Sprintf("fill in: 0 is assumed for %q", e.Zone)})
				next.Zones = append(next.Zones, Zone{Name: e.Zone})
			}
			if e.Zone == "" {
				notes = append(notes, MigrationNote{key + "endpoints", 0, fmt.Sprintf("fill in: %q has no zone, so no fee can be stated for it", e.ID)})
			}
		}
	}
	for i, t := range old.Topics {
		key := fmt.Sprintf("topics[%d].late_benefit", i)
		notes = append(notes, MigrationNote{key, old.line(key),
			fmt.Sprintf("look at it: %v of %q was what is left at the TTL; now benefit halves with each objective and stays there", t.LateBenefit, t.Name)})
	}
	for _, key := range []string{"dispatcher.count", "dispatcher.slots", "dispatcher.held", "dispatcher.pushes"} {
		notes = append(notes, MigrationNote{key, old.lines[key], "look at it: kept as it was; the new fleet may have another figure"})
	}
	var out bytes.Buffer
	if err := toml.NewEncoder(&out).Encode(next); err != nil {
		return nil, nil, err
	}
	return out.Bytes(), notes, nil
}
