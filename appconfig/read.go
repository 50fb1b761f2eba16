package appconfig

import (
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Read reads a file with its defaults; what cannot be read at all comes as findings too.
func Read(file string) (*App, []Finding) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, []Finding{{Rule: unreadable.ID, File: file, Reason: err.Error(), Remedy: unreadable.Remedy}}
	}
	return Parse(file, text)
}

// Parse reads a file's text.
func Parse(file string, text []byte) (*App, []Finding) {
	a := &App{File: file, Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}, Ledger: Ledger{Sync: "none"},
		Dispatcher: Dispatcher{Count: 1, Slots: 32, Held: 400, Pushes: 8, Tick: Duration{0.005}, Dial: Duration{1.5}, Idle: Duration{15}},
		Returns:    Returns{ColdFrom: 0.2, ColdSpan: Duration{14}, Multiple: 2, Fall: Duration{1.5}},
		Layout:     Layout{List: ListPushed, Rates: RatesListed, Refusals: RefusalsPriced, Late: LateLinear}}
	d := toml.NewDecoder(strings.NewReader(string(text)))
	d.DisallowUnknownFields()
	err := d.Decode(a)
	if bare := withoutUnit(file, text); len(bare) > 0 { // told with their lines, which the library does not know of these
		return nil, bare
	}
	var strict *toml.StrictMissingError
	var odd *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		var list []Finding
		for _, e := range strict.Errors {
			row, _ := e.Position()
			list = append(list, Finding{Rule: misspelt.ID, File: file, Line: row, Key: strings.Join(e.Key(), "."),
				Reason: "no such key", Remedy: misspelt.Remedy})
		}
		return nil, list
	case errors.As(err, &odd):
		row, _ := odd.Position()
		return nil, []Finding{{Rule: unreadable.ID, File: file, Line: row, Key: strings.Join(odd.Key(), "."),
			Reason: strings.TrimPrefix(odd.Error(), "toml: "), Remedy: unreadable.Remedy}}
	case err != nil:
		return nil, []Finding{{Rule: unreadable.ID, File: file, Reason: err.Error(), Remedy: unreadable.Remedy}}
	}
	a.lines = lines(text)
	for i := range a.Partners {
		p := &a.Partners[i]
		if p.Batch = max(p.Batch, 1); p.Protocol == "" {
			p.Protocol = "http"
		}
		if p.Routes == "" {
			p.Routes = RoutesShared
		}
		if p.Kind == "" {
			p.Kind = "plain"
		}
	}
	return a, nil
}

// withoutUnit finds times that are written as plain numbers.
func withoutUnit(file string, text []byte) []Finding {
	times := map[string]bool{}
	for _, t := range []reflect.Type{reflect.TypeFor[Dispatcher](), reflect.TypeFor[Returns](), reflect.TypeFor[Topic](), reflect.TypeFor[Partner]()} {
		for i := range t.NumField() {
			if t.Field(i).Type == reflect.TypeFor[Duration]() {
				times[t.Field(i).Tag.Get("toml")] = true
			}
		}
	}
	var found []Finding
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue || e.Value().Kind != unstable.Integer && e.Value().Kind != unstable.Float {
			continue
		}
		var last *unstable.Node
		for it := e.Key(); it.Next(); {
			last = it.Node()
		}
		if last != nil && times[string(last.Data)] {
			found = append(found, Finding{Rule: unreadable.ID, File: file, Line: p.Shape(last.Raw).Start.Line, Key: string(last.Data),
				Reason: "a time has no unit", Remedy: "Write it as 2.5s or 500ms."})
		}
	}
	return found
}

// lines tells where each key of a text stands; those of lists count from 0.
func lines(text []byte) map[string]int {
	found, seen := map[string]int{}, map[string]int{}
	table := ""
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		var words []string
		row := 0
		for it := e.Key(); it.Next(); {
			words = append(words, string(it.Node().Data))
			row = p.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(words, ".")
		switch e.Kind {
		case unstable.Table:
			table = indexed(words, seen) + "."
			found[strings.TrimSuffix(table, ".")] = row
		case unstable.ArrayTable:
			at := indexed(words[:len(words)-1], seen)
			if at != "" {
				at += "."
			}
			at += words[len(words)-1]
			table = fmt.Sprintf("%s[%d].", at, seen[at])
			seen[at]++
			found[strings.TrimSuffix(table, ".")] = row
		case unstable.KeyValue:
			found[table+key] = row
		}
	}
	return found
}

// indexed names a table within the lists it is in, each at its latest entry.
func indexed(words []string, seen map[string]int) string {
	at := ""
	for i, w := range words {
		if i > 0 {
			at += "."
		}
		if at += w; seen[at] > 0 {
			at = fmt.Sprintf("%s[%d]", at, seen[at]-1)
		}
	}
	return at
}

// line is where a key stands, or what it is in.
func (a *App) line(key string) int {
	for key != "" {
		if row := a.lines[key]; row > 0 {
			return row
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 0
}
