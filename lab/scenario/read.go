package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"reflect"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/pelletier/go-toml/v2"
)

//go:embed shipped/*.toml
var shipped embed.FS

// Default is the scenario played where none is named.
const Default = "tour"

// Shipped lists the names of the scenarios in the program.
func Shipped() []string {
	files, _ := fs.Glob(shipped, "shipped/*.toml") // the pattern is good
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Open reads a scenario: one in the program by its name, or a file by its path.
func Open(name string) (*Scenario, error) {
	if slices.Contains(Shipped(), name) {
		text, err := shipped.ReadFile("shipped/" + name + ".toml")
		if err != nil {
			return nil, err
		}
		return Parse(name, text)
	}
	text, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) && !strings.ContainsAny(name, "/.") {
		return nil, fmt.Errorf("no scenario %q: did you mean %q? \"lab list\" names all", name, ClosestMatch(name, Shipped()))
	}
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads a scenario's text; file names it in errors. All errors are told at once, a line each.
func Parse(file string, text []byte) (*Scenario, error) {
	s, base := defaults(), &Scenario{}
	var first struct{ Extends string }
	if toml.Unmarshal(text, &first) == nil && first.Extends != "" { // text that cannot be read is told below
		if !slices.Contains(Shipped(), first.Extends) || first.Extends == strings.TrimSuffix(path.Base(file), ".toml") {
			return nil, fmt.Errorf("%s: extends: no shipped scenario %q: did you mean %q?", file, first.Extends,
				ClosestMatch(first.Extends, Shipped()))
		}
		var err error
		if base, err = Open(first.Extends); err != nil {
			return nil, err
		}
		copied := *base
		s = &copied
		s.Topics, s.Tenants, s.Kinds, s.Groups, s.Troubles, s.Load.Ramp = nil, nil, nil, nil, nil, nil
	}
	s.Name = strings.TrimSuffix(path.Base(file), ".toml")
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	err := d.Decode(s)
	var strict *toml.StrictMissingError
	var odd *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var all []error
		for _, e := range strict.Errors {
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %s: did you mean %s?", file, row, strings.Join(e.Key(), "."),
				ClosestMatch(e.Key()[len(e.Key())-1], keysAt(e.Key()))))
		}
		return nil, errors.Join(all...)
	case errors.As(err, &odd):
		row, column := odd.Position()
		return nil, fmt.Errorf("%s:%d:%d: %s", file, row, column, strings.TrimPrefix(odd.Error(), "toml: "))
	case err != nil:
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	inherit(&s.Topics, base.Topics)
	inherit(&s.Tenants, base.Tenants)
	inherit(&s.Kinds, base.Kinds)
	inherit(&s.Groups, base.Groups)
	fill(s)
	if all := check(s); len(all) > 0 {
		lines := make([]error, len(all))
		for i, e := range all {
			lines[i] = fmt.Errorf("%s: %w", file, e)
		}
		return nil, errors.Join(lines...)
	}
	return s, nil
}

// inherit takes a list from the scenario that another extends, where that has none of its own. Troubles and ramps are
// not taken: they are what a scenario is about.
func inherit[T any](list *[]T, base []T) {
	if *list == nil {
		*list = slices.Clone(base)
	}
}

// ClosestMatch is the word of a list that takes the fewest changes of letters.
func ClosestMatch(word string, list []string) string {
	return slices.MinFunc(list, func(a, b string) int {
		return levenshtein.ComputeDistance(word, a) - levenshtein.ComputeDistance(word, b)
	})
}

// keysAt lists the keys that may stand where an unknown one stands.
func keysAt(key []string) []string {
	t := reflect.TypeFor[Scenario]()
	for _, name := range key[:len(key)-1] {
		for i := range t.NumField() {
			if t.Field(i).Tag.Get("toml") == name {
				if t = t.Field(i).Type; t.Kind() == reflect.Slice {
					t = t.Elem()
				}
				break
			}
		}
	}
	var list []string
	for i := range t.NumField() {
		if name := t.Field(i).Tag.Get("toml"); name != "-" {
			list = append(list, name)
		}
	}
	return list
}

func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Length: 10,
		Dispatchers: Dispatchers{Count: 2, MaxCalls: 32, MaxHeld: 400, MaxPushes: 8, TickInterval: 0.005, DialTimeout: 1.5, DrainGrace: 0.5, Cores: 1,
			MemoryMB: 192, Sockets: 1024, DiskMB: 3},
		Recovery: Recovery{InitialCapacity: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5},
		Load: Load{Rate: 100, Clients: 4, BurstSize: 10, Keys: 50, BodyBytes: 200, MaxRetries: 3, RetryDelay: 0.5, FailureDetectionDelay: 1,
			MaxLateness: 0.05},
	}
}

// fill puts in what lists leave out.
func fill(s *Scenario) {
	or := func(v *float64, other float64) {
		if *v == 0 {
			*v = other
		}
	}
	for i := range s.Topics {
		t := &s.Topics[i]
		or(&t.Benefit, 1)
		or(&t.Share, 1)
		or(&t.DedupWindow, 12)
		if t.DedupScope == "" {
			t.DedupScope = DedupScopeAll
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "acme"}}
	}
	for i := range s.Tenants {
		or(&s.Tenants[i].Share, 1)
	}
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.BatchSize = max(k.BatchSize, 1)
		if k.LimitKind == "" {
			k.LimitKind = NoLimit
		}
		if k.QueueLength == 0 {
			k.QueueLength = 20
		}
		or(&k.LimitWindow, 1)
		or(&k.MinToldWait, 0.3)
		or(&k.IdleTimeout, 15)
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		g.Endpoints = max(g.Endpoints, 1)
		if g.Distribution == "" {
			g.Distribution = EvenShares
		}
		or(&g.ZipfExponent, 1)
		or(&g.Share, 1)
		or(&g.CapacityFactor, 1.5)
		or(&g.MinRate, 5)
		or(&g.ServiceTime, 0.02)
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		or(&t.Share, 1)
		or(&t.Factor, 2)
		if t.Kind == Drain || t.Kind == Kill || t.Kind == Restart {
			or(&t.Wait, 1)
		}
		if t.Kind == SignalSeries {
			t.SignalCount = max(t.SignalCount, 1)
		}
		if t.Count == 0 {
			t.Count = 1
		}
	}
}

// Text is the text of a scenario that Open finds.
func Text(name string) ([]byte, error) {
	if slices.Contains(Shipped(), name) {
		return shipped.ReadFile("shipped/" + name + ".toml")
	}
	return os.ReadFile(name)
}

// Override plays a scenario with another length, load, or closed loop; 0 leaves each as it is. Troubles beyond the length
// are left out.
func (s *Scenario) Override(length, rate float64, closed int) error {
	if length > 0 {
		s.Length = length
		s.Troubles = slices.DeleteFunc(s.Troubles, func(t Trouble) bool { return t.At > length })
	}
	if rate > 0 {
		s.Load.Rate = rate
	}
	if closed > 0 {
		s.Load.ClosedLoop = closed
	}
	return errors.Join(check(s)...)
}
