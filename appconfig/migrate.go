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
	Line   int // in the old file: of the key or of the closest table that contains it, 0 if there is neither
	Reason string
}

func (n MigrationNote) String() string {
	if n.Line > 0 {
		return fmt.Sprintf("line %d: %s: %s", n.Line, n.Key, n.Reason)
	}
	return fmt.Sprintf("%s: %s", n.Key, n.Reason)
}

// UsesNewLayout reports whether the file sets any key of the new layout: layout, zones or routes.
func (a *App) UsesNewLayout() bool {
	for key := range a.lines {
		if strings.HasPrefix(key, "layout") || strings.HasPrefix(key, "zones") || strings.HasSuffix(key, ".routes") {
			return true
		}
	}
	return false
}

// Migrate returns the text of a file of the new layout that corresponds to old, a valid file of the old layout. In the new
// file the list has no rates, endpoints are separate routes, refusals are free and benefit decays by halves. The notes name
// what was not carried over and what the operator has to set or review.
func Migrate(old *App) ([]byte, []MigrationNote, error) {
	migrated := *old
	migrated.Layout = Layout{List: ListPushed, Rates: RatesNone, Refusals: RefusalsFree, Late: LateHalving}
	migrated.Partners, migrated.Zones = nil, nil
	notes := []MigrationNote{
		{"comments", 0, "not carried over: copy those that still apply"},
		{"layout.list", 0, "fill in: pushed is assumed; set asked if discovery sends the list only on request"},
	}
	seenZones := map[string]bool{"": true}
	for i, partner := range old.Partners {
		key := fmt.Sprintf("partners[%d].", i)
		notes = append(notes, MigrationNote{key + "rate", old.lineOf(key + "rate"),
			fmt.Sprintf("not carried over: %v per second for %q; the new list has no rates, the limit is learned from answers", partner.Rate, partner.Name)})
		partner.Rate, partner.Routes = 0, RoutesSeparate
		if len(partner.Endpoints) > 1 {
			notes = append(notes, MigrationNote{key + "routes", 0,
				fmt.Sprintf("fill in: apart is assumed; set shared for all partners of kind %q if the endpoints of %q share one limit", partner.Kind, partner.Name)})
		}
		migrated.Partners = append(migrated.Partners, partner)
		for _, e := range partner.Endpoints {
			if !seenZones[e.Zone] {
				seenZones[e.Zone] = true
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
