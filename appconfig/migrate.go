package appconfig

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// MigrationNote names a setting that a migration could not carry over, or that the operator has to set or review.
type MigrationNote struct {
	Key    string
	Line   int // of the old file, 0 if the key is new
	Reason string
}

func (n MigrationNote) String() string {
	if n.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", n.Line, n.Key, n.Reason)
	}
	return fmt.Sprintf("%s: %s", n.Key, n.Reason)
}

// UsesNewLayout reports whether a file has any setting of the new layout.
func (a *App) UsesNewLayout() bool {
	for key := range a.lines {
		if strings.HasPrefix(key, "layout") || strings.HasPrefix(key, "zones") || strings.HasSuffix(key, ".routes") {
			return true
		}
	}
	return false
}

// Migrate returns the file for the new layout that corresponds to a valid file of the old one: the list has no rates,
// endpoints are separate routes, refusals are free and benefit decays by halves. The notes list what could not be carried
// over and what the operator has to set or review.
func Migrate(old *App) ([]byte, []MigrationNote, error) {
	migrated := *old
	migrated.Layout = Layout{List: ListPushed, Rates: RatesNone, Refusals: RefusalsFree, Late: LateHalving}
	migrated.Partners, migrated.Zones = nil, nil
	notes := []MigrationNote{
		{"comments", 0, "not carried over: copy those that still apply"},
		{"layout.list", 0, "fill in: pushed is assumed; set asked if discovery sends the list only on request"},
	}
	zones := map[string]bool{"": true}
	for i, p := range old.Partners {
		key := fmt.Sprintf("partners[%d].", i)
		notes = append(notes, MigrationNote{key + "rate", old.lineOf(key + "rate"),
			fmt.Sprintf("not carried over: %v per second for %q; the new list has no rates, the limit is learned from answers", p.Rate, p.Name)})
		p.Rate, p.Routes = 0, RoutesSeparate
		if len(p.Endpoints) > 1 {
			notes = append(notes, MigrationNote{key + "routes", 0,
				fmt.Sprintf("fill in: apart is assumed; set shared for all partners of kind %q if the endpoints of %q share one limit", p.Kind, p.Name)})
		}
		migrated.Partners = append(migrated.Partners, p)
		for _, e := range p.Endpoints {
			if !zones[e.Zone] {
				zones[e.Zone] = true
				notes = append(notes, MigrationNote{fmt.Sprintf("zones[%d].fee", len(migrated.Zones)), 0, fmt.Sprintf("fill in: 0 is assumed for %q", e.Zone)})
				migrated.Zones = append(migrated.Zones, Zone{Name: e.Zone})
			}
			if e.Zone == "" {
				notes = append(notes, MigrationNote{key + "endpoints", 0, fmt.Sprintf("fill in: %q has no zone, so no fee can be set for it", e.ID)})
			}
		}
	}
	for i, t := range old.Topics {
		key := fmt.Sprintf("topics[%d].late_benefit", i)
		notes = append(notes, MigrationNote{key, old.lineOf(key),
			fmt.Sprintf("review: %v of %q was the share left at the TTL; now the benefit halves with each objective down to that share", t.LateBenefit, t.Name)})
	}
	for _, key := range []string{"dispatcher.count", "dispatcher.slots", "dispatcher.held", "dispatcher.pushes"} {
		notes = append(notes, MigrationNote{key, old.lines[key], "review: unchanged; the new fleet may need another value"})
	}
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(migrated); err != nil {
		return nil, nil, err
	}
	return text.Bytes(), notes, nil
}
