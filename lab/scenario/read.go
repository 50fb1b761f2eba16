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

// Default is the name of the scenario that is run when none is given.
const Default = "tour"

// Shipped returns the names of the scenarios that are built into the program.
func Shipped() []string {
	files, _ := fs.Glob(shipped, "shipped/*.toml") // the only error is a malformed pattern
	names := make([]string, 0, len(files))
	for _, f := range files {
		names = append(names, strings.TrimSuffix(path.Base(f), ".toml"))
	}
	return names
}

// Open reads and validates a scenario: a shipped one by its name, or a file by its path.
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

// Parse reads and validates the text of a scenario. The scenario is named after the file, which errors name too. All unknown
// keys, or else all invalid values, are reported in one error with a line for each.
func Parse(file string, text []byte) (*Scenario, error) {
	s, base := defaults(), &Scenario{}
	var header struct{ Extends string }
	if toml.Unmarshal(text, &header) == nil && header.Extends != "" { // the decoder below reports syntax errors
		if !slices.Contains(Shipped(), header.Extends) || header.Extends == strings.TrimSuffix(path.Base(file), ".toml") {
			return nil, fmt.Errorf("%s: extends: unknown shipped scenario %q: did you mean %q?", file, header.Extends,
				ClosestMatch(header.Extends, Shipped()))
		}
		var err error
		if base, err = Open(header.Extends); err != nil {
			return nil, err
		}
		inherited := *base
		s = &inherited
		s.Topics, s.Tenants, s.Kinds, s.Groups, s.Troubles, s.Load.Ramp = nil, nil, nil, nil, nil, nil
	}
	s.Name = strings.TrimSuffix(path.Base(file), ".toml")
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(s)
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strictErr):
		var all []error
		for _, e := range strictErr.Errors {
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: unknown key %s: did you mean %s?", file, row, strings.Join(e.Key(), "."),
				ClosestMatch(e.Key()[len(e.Key())-1], siblingKeys(e.Key()))))
		}
		return nil, errors.Join(all...)
	case errors.As(err, &decodeErr):
		row, column := decodeErr.Position()
		return nil, fmt.Errorf("%s:%d:%d: %s", file, row, column, strings.TrimPrefix(decodeErr.Error(), "toml: "))
	case err != nil:
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	inherit(&s.Topics, base.Topics)
	inherit(&s.Tenants, base.Tenants)
	inherit(&s.Kinds, base.Kinds)
	inherit(&s.Groups, base.Groups)
	fillDefaults(s)
	if errs := validate(s); len(errs) > 0 {
		lines := make([]error, len(errs))
		for i, e := range errs {
			lines[i] = fmt.Errorf("%s: %w", file, e)
		}
		return nil, errors.Join(lines...)
	}
	return s, nil
}

// inherit copies a list from the extended scenario if the extending one does not define it. It is not used for troubles and
// ramps, because they are what distinguishes a scenario.
func inherit[T any](list *[]T, base []T) {
	if *list == nil {
		*list = slices.Clone(base)
	}
}

// ClosestMatch returns the word of a list, which must not be empty, with the smallest edit distance.
func ClosestMatch(word string, list []string) string {
	return slices.MinFunc(list, func(a, b string) int {
		return levenshtein.ComputeDistance(word, a) - levenshtein.ComputeDistance(word, b)
	})
}

// siblingKeys returns the keys that are allowed in the table of an unknown key.
func siblingKeys(key []string) []string {
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

// defaults returns a scenario with the default values of its tables. Defaults of list elements are set by fillDefaults.
func defaults() *Scenario {
	return &Scenario{
		Seed: 1, Length: 10,
		Dispatchers: Dispatchers{Count: 2, MaxCalls: 32, MaxHeld: 400, MaxPushes: 8, TickInterval: 0.005, DialTimeout: 1.5, DrainGrace: 0.5, Cores: 1,
			MemoryMB: 192, Sockets: 1024, DiskMB: 3},
		Recovery: Recovery{InitialCapacityShare: 0.25, WarmUp: 4, OverloadFactor: 2, OverloadSpan: 1.5},
		Load: Load{Rate: 100, Clients: 4, BurstSize: 10, Keys: 50, BodyBytes: 200, MaxRetries: 3, RetryDelay: 0.5, FailureDetectionDelay: 1,
			MaxLateness: 0.05},
	}
}

// fillDefaults sets the defaults of values that the elements of lists leave out.
func fillDefaults(s *Scenario) {
	setDefault := func(v *float64, value float64) {
		if *v == 0 {
			*v = value
		}
	}
	for i := range s.Topics {
		t := &s.Topics[i]
		setDefault(&t.Benefit, 1)
		setDefault(&t.Share, 1)
		setDefault(&t.DedupWindow, 12)
		if t.DedupScope == "" {
			t.DedupScope = DedupScopeAll
		}
	}
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "acme"}}
	}
	for i := range s.Tenants {
		setDefault(&s.Tenants[i].Share, 1)
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
		setDefault(&k.LimitWindow, 1)
		setDefault(&k.MinToldWait, 0.3)
		setDefault(&k.IdleTimeout, 15)
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		g.Endpoints = max(g.Endpoints, 1)
		if g.Distribution == "" {
			g.Distribution = EvenShares
		}
		setDefault(&g.ZipfExponent, 1)
		setDefault(&g.Share, 1)
		setDefault(&g.CapacityFactor, 1.5)
		setDefault(&g.MinRate, 5)
		setDefault(&g.ServiceTime, 0.02)
	}
	for i := range s.Troubles {
		t := &s.Troubles[i]
		setDefault(&t.Share, 1)
		setDefault(&t.Factor, 2)
		if t.Kind == Drain || t.Kind == Kill || t.Kind == Restart {
			setDefault(&t.Wait, 1)
		}
		if t.Kind == SignalSeries {
			t.SignalCount = max(t.SignalCount, 1)
		}
		t.Count, t.Copies = max(t.Count, 1), max(t.Copies, 1)
		t.MaxLag = max(t.MaxLag, t.MinLag)
	}
}

// Text returns the text of the scenario that Open reads for the same name or path.
func Text(name string) ([]byte, error) {
	if slices.Contains(Shipped(), name) {
		return shipped.ReadFile("shipped/" + name + ".toml")
	}
	return os.ReadFile(name)
}

// Override replaces the length in seconds, the load in notifications per second, and the connections of the closed loop; 0
// keeps a value. Troubles that begin after the new length are dropped. It validates the result.
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
	return errors.Join(validate(s)...)
}
