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

// Read reads and parses a file as Parse does. If the file cannot be read, it returns nil and a finding.
func Read(file string) (*App, []Finding) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, []Finding{{Rule: ruleUnreadable.ID, File: file, Reason: err.Error(), Remedy: ruleUnreadable.Remedy}}
	}
	return Parse(file, text)
}

// Parse parses the text of a file and applies the defaults. If the text is not valid TOML, has unknown keys or has durations
// without a unit, it returns nil and the findings. Check checks the values.
func Parse(file string, text []byte) (*App, []Finding) {
	app := &App{File: file, Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024, DiskMB: 3}, Ledger: Ledger{Sync: "none"},
		Dispatcher: Dispatcher{Count: 1, Slots: 32, Held: 400, Pushes: 8, Tick: Duration{0.005}, Dial: Duration{1.5}, Idle: Duration{15}},
		Returns:    Returns{ColdFrom: 0.2, ColdSpan: Duration{14}, Multiple: 2, Fall: Duration{1.5}},
		Layout:     Layout{List: ListPushed, Rates: RatesListed, Refusals: RefusalsPriced, Late: LateLinear}}
	decoder := toml.NewDecoder(strings.NewReader(string(text)))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(app)
	if unitless := durationsWithoutUnit(file, text); len(unitless) > 0 { // the decoder reports these without a line
		return nil, unitless
	}
	var strictErr *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strictErr):
		var findings []Finding
		for _, e := range strictErr.Errors {
			line, _ := e.Position()
			findings = append(findings, Finding{Rule: ruleUnknownKey.ID, File: file, Line: line, Key: strings.Join(e.Key(), "."),
				Reason: "unknown key", Remedy: ruleUnknownKey.Remedy})
		}
		return nil, findings
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		return nil, []Finding{{Rule: ruleUnreadable.ID, File: file, Line: line, Key: strings.Join(decodeErr.Key(), "."),
			Reason: strings.TrimPrefix(decodeErr.Error(), "toml: "), Remedy: ruleUnreadable.Remedy}}
	case err != nil:
		return nil, []Finding{{Rule: ruleUnreadable.ID, File: file, Reason: err.Error(), Remedy: ruleUnreadable.Remedy}}
	}
	app.lines = keyLines(text)
	for i := range app.Partners {
		p := &app.Partners[i]
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
	return app, nil
}

// durationsWithoutUnit returns a finding for each duration that is written as a plain number.
func durationsWithoutUnit(file string, text []byte) []Finding {
	durationKeys := map[string]bool{}
	for _, t := range []reflect.Type{reflect.TypeFor[Dispatcher](), reflect.TypeFor[Returns](), reflect.TypeFor[Topic](), reflect.TypeFor[Partner]()} {
		for i := range t.NumField() {
			if t.Field(i).Type == reflect.TypeFor[Duration]() {
				durationKeys[t.Field(i).Tag.Get("toml")] = true
			}
		}
	}
	var findings []Finding
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		e := parser.Expression()
		if e.Kind != unstable.KeyValue || e.Value().Kind != unstable.Integer && e.Value().Kind != unstable.Float {
			continue
		}
		var last *unstable.Node
		for it := e.Key(); it.Next(); {
			last = it.Node()
		}
		if last != nil && durationKeys[string(last.Data)] {
			findings = append(findings, Finding{Rule: ruleUnreadable.ID, File: file, Line: parser.Shape(last.Raw).Start.Line, Key: string(last.Data),
				Reason: "a duration has no unit", Remedy: "Write it as 2.5s or 500ms."})
		}
	}
	return findings
}

// keyLines returns the line of each key and table of a text, by path. Entries of array tables are numbered from 0.
func keyLines(text []byte) map[string]int {
	lines, arrayLengths := map[string]int{}, map[string]int{}
	table := ""
	parser := unstable.Parser{}
	parser.Reset(text)
	for parser.NextExpression() {
		e := parser.Expression()
		var path []string
		line := 0
		for it := e.Key(); it.Next(); {
			path = append(path, string(it.Node().Data))
			line = parser.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(path, ".")
		switch e.Kind {
		case unstable.Table:
			table = indexedPath(path, arrayLengths) + "."
			lines[strings.TrimSuffix(table, ".")] = line
		case unstable.ArrayTable:
			array := indexedPath(path[:len(path)-1], arrayLengths)
			if array != "" {
				array += "."
			}
			array += path[len(path)-1]
			table = fmt.Sprintf("%s[%d].", array, arrayLengths[array])
			arrayLengths[array]++
			lines[strings.TrimSuffix(table, ".")] = line
		case unstable.KeyValue:
			lines[table+key] = line
		}
	}
	return lines
}

// indexedPath joins a path by dots. Each array on the path gets the index of its latest entry.
func indexedPath(path []string, arrayLengths map[string]int) string {
	indexed := ""
	for i, name := range path {
		if i > 0 {
			indexed += "."
		}
		if indexed += name; arrayLengths[indexed] > 0 {
			indexed = fmt.Sprintf("%s[%d]", indexed, arrayLengths[indexed]-1)
		}
	}
	return indexed
}

// lineOf returns the line of a key, or of the closest table that contains it, or 0 if the file has neither.
func (a *App) lineOf(key string) int {
	for key != "" {
		if line := a.lines[key]; line > 0 {
			return line
		}
		i := strings.LastIndexAny(key, ".[")
		if i < 0 {
			break
		}
		key = key[:i]
	}
	return 0
}
