package appconfig_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"orchiddrift/appconfig"
	"orchiddrift/directory"
	"orchiddrift/settings"
)

func example(t testing.TB) string {
	text, err := os.ReadFile("../example/app.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// without takes a list out of a text, with all that is in it.
func without(text, list string) string {
	var kept []string
	in := false
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			in = strings.HasPrefix(line, "[["+list)
		}
		if !in {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

func judge(file, text string) []appconfig.Finding {
	a, found := appconfig.Parse(file, []byte(text))
	if a != nil {
		found = append(found, appconfig.Check(a)...)
	}
	return found
}

// Each deliberately bad configuration is refused for what is wrong with it, at the line where it stands.
func TestBad(t *testing.T) {
	good := example(t)
	if found := judge("app.toml", good); len(found) > 0 {
		t.Fatalf("the example is refused: %v", found)
	}
	text, err := os.ReadFile("testdata/bad.toml")
	if err != nil {
		t.Fatal(err)
	}
	var data struct {
		Case []struct{ Name, Old, New, Without, Want string }
	}
	if err := toml.Unmarshal(text, &data); err != nil {
		t.Fatal(err)
	}
	for _, c := range data.Case {
		bad := without(good, c.Without)
		if c.Without == "" {
			if bad = strings.Replace(good, c.Old, c.New, 1); bad == good {
				t.Errorf("%s: changes nothing", c.Name)
			}
		}
		found := judge("app.toml", bad)
		i := slices.IndexFunc(found, func(f appconfig.Finding) bool { return f.Rule == c.Want })
		if i < 0 {
			t.Errorf("%s: wants %s, found %v", c.Name, c.Want, found)
			continue
		}
		f := found[i]
		if f.Reason == "" || f.Remedy == "" || strings.Contains(f.String(), "\n") {
			t.Errorf("%s: not a line that tells what to do: %v", c.Name, f)
		}
		if c.Old != "" && c.New != "" && f.Line == 0 {
			t.Errorf("%s: no line: %v", c.Name, f)
		}
	}
	t.Log(len(data.Case), "bad configurations refused")
}

// All is told at once, each with its place, its reason and the remedy; two applications are judged together.
func Example_findings() {
	text, _ := os.ReadFile("../example/app.toml")
	bad := strings.NewReplacer(`repeat = "once-only"`, `repeat = "sometimes"`, "slots = 12", "slots = 0", `key = "customer account"`, "").Replace(string(text))
	for _, f := range judge("billing.toml", bad) {
		fmt.Println(f)
	}
	a, _ := appconfig.Parse("billing.toml", text)
	b, _ := appconfig.Parse("meters.toml", []byte(strings.NewReplacer(`"billing"`, `"meters"`, "rate = 15.0", "rate = 12.0").Replace(string(text))))
	for _, f := range appconfig.CheckFleet([]*appconfig.App{a, b}) {
		fmt.Println(f)
	}
	c, _ := appconfig.Parse("new.toml", []byte(strings.Replace(string(text), `"once-only"`, `"repeatable"`, 1)))
	fmt.Println(appconfig.CheckReload(a, c)[0])
	fmt.Println(len(appconfig.CheckReload(a, a)))
	// Output:
	// billing.toml:15: dispatcher.slots: OD006: 0 is not from 2 to 1e+06. Give one in the range.
	// billing.toml:44: topics[2].repeat: OD008: "sometimes" is no repeat kind. Say repeatable, collapsible or once-only: if a second effect would cost somebody, once-only.
	// billing.toml:49: topics[2].ordered: OD012: "purchase" has no key. Name in key what the notifications of one line share.
	// billing.toml:15: dispatcher.slots: OD019: 0.92 calls are out at once on average, of 0 slots. Raise dispatcher.slots, or lower load.rate.
	// meters.toml:4: listen: OD041: "127.0.0.1:8081" is also billing.toml's. Give each its own.
	// meters.toml:5: state: OD042: "state/billing" is also billing.toml's. Give each its own.
	// meters.toml:72: partners[1].rate: OD043: "hill-homes" takes 12 here and 15 in billing.toml. Agree on the rate that the partner takes from all, and write it in both.
	// meters.toml:73: partners[1].load: OD044: with this, 2 applications send "hill-homes" 20 calls a second, of 15. Lower their loads to it until they add up to its rate.
	// new.toml:44: topics[2].repeat: OD050: "purchase" was once-only and would be repeatable. Drain the application and restart it, so that nothing owed is under both readings.
	// 0
}

// The platform's form of the example makes a module.
func TestPlatform(t *testing.T) {
	a, found := appconfig.Parse("app.toml", []byte(example(t)))
	if len(found) > 0 {
		t.Fatal(found)
	}
	text, err := a.PlatformConfig()
	if err != nil {
		t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(text), `"settings": `)
	v, err := settings.FromJSON([]byte(strings.TrimSuffix(strings.TrimSpace(after), "}")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := v.NewScheduler(1, directory.New()); err != nil || v.BatchSizes()["bulk"] != 20 || v.Text("classes.2.repeat") != "single_shot" {
		t.Error(err, v.BatchSizes(), v.Text("classes.2.repeat"))
	}
}

// No text whatever ends the checker.
func FuzzParse(f *testing.F) {
	good := example(f)
	f.Add(good)
	f.Add(strings.Replace(good, "topics", "partners", 3))
	f.Add("[[partners.endpoints]]\nid=\"x\"\n")
	f.Add("partners = [{endpoints = [{}]}]\n[a.b]\nc.d = 1")
	f.Fuzz(func(t *testing.T, text string) {
		for _, found := range judge("x", text) {
			if found.Rule == "" || found.Reason == "" {
				t.Error(found)
			}
		}
	})
}

// A file of the old shape gives the platform's form that it gave before there was another: byte for byte.
func TestOldShape(t *testing.T) {
	want, err := os.ReadFile("testdata/example.json")
	if err != nil {
		t.Fatal(err)
	}
	a, found := appconfig.Parse("app.toml", []byte(example(t)))
	if len(found) > 0 {
		t.Fatal(found)
	}
	got, err := a.PlatformConfig()
	if err != nil || string(got)+"\n" != string(want) {
		t.Errorf("%v, not as before:\n%s", err, got)
	}
}

// The counterpart passes the checks, is of the new shape, and its platform's form tells the module all of it.
func TestMigrate(t *testing.T) {
	old, _ := appconfig.Parse("old.toml", []byte(strings.Replace(example(t), `addr = "127.0.0.1:9003"`, "addr = \"127.0.0.1:9003\"\nzone = \"north\"", 1)))
	text, notes, err := appconfig.Migrate(old)
	if err != nil {
		t.Fatal(err)
	}
	next, found := appconfig.Parse("new.toml", text)
	if next == nil || len(found) > 0 || len(appconfig.Check(next)) > 0 {
		t.Fatalf("refused: %v\n%s", append(found, appconfig.Check(next)...), text)
	}
	if old.UsesNewLayout() || !next.UsesNewLayout() || next.Topics[2] != old.Topics[2] || next.Dispatcher != old.Dispatcher {
		t.Errorf("not the same where it should be, or of the wrong shape:\n%s", text)
	}
	form, err := next.PlatformConfig()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"weight-kind": "silent"`, `"loses-worth": "halves"`, `"refusal-cost": 0`, `"weight": 1,`} {
		if !strings.Contains(string(form), want) {
			t.Errorf("%s is not in %s", want, form)
		}
	}
	for _, want := range []string{"line 60: partners[0].rate: not carried over: 10 a second", "zones[0].fee: fill in", "partners[1].routes: fill in"} {
		if !slices.ContainsFunc(notes, func(n appconfig.MigrationNote) bool { return strings.HasPrefix(n.String(), want) }) {
			t.Errorf("%q is not told: %v", want, notes)
		}
	}
}
