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

// readExample returns the text of example/app.toml.
func readExample(t testing.TB) string {
	text, err := os.ReadFile("../example/app.toml")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// withoutTable returns the text without the tables whose names begin with list.
func withoutTable(text, list string) string {
	var kept []string
	inList := false
	for _, line := range strings.Split(text, "\n") {
		if strings.HasPrefix(line, "[") {
			inList = strings.HasPrefix(line, "[["+list)
		}
		if !inList {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// findingsIn returns the findings of Parse and, if the text can be parsed, of Check.
func findingsIn(file, text string) []appconfig.Finding {
	app, findings := appconfig.Parse(file, []byte(text))
	if app != nil {
		findings = append(findings, appconfig.Check(app)...)
	}
	return findings
}

// Each invalid configuration in testdata/bad.toml violates the expected rule. The finding has a reason, a remedy and the line.
func TestInvalidConfigurations(t *testing.T) {
	example := readExample(t)
	if found := findingsIn("app.toml", example); len(found) > 0 {
		t.Fatalf("example refused: %v", found)
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
		bad := withoutTable(example, c.Without)
		if c.Without == "" {
			if bad = strings.Replace(example, c.Old, c.New, 1); bad == example {
				t.Errorf("%s: the case does not change the example", c.Name)
			}
		}
		findings := findingsIn("app.toml", bad)
		i := slices.IndexFunc(findings, func(f appconfig.Finding) bool { return f.Rule == c.Want })
		if i < 0 {
			t.Errorf("%s: want %s, found %v", c.Name, c.Want, findings)
			continue
		}
		f := findings[i]
		if f.Reason == "" || f.Remedy == "" || strings.Contains(f.String(), "\n") {
			t.Errorf("%s: want one line with reason and remedy: %v", c.Name, f)
		}
		if c.Old != "" && c.New != "" && f.Line == 0 {
			t.Errorf("%s: no line: %v", c.Name, f)
		}
	}
	t.Log(len(data.Case), "invalid configurations")
}

// All findings of a file are returned at once, each with its place, reason and remedy. So are the findings that concern two
// applications, and those that concern two versions of a file.
func Example_findings() {
	text, _ := os.ReadFile("../example/app.toml")
	bad := strings.NewReplacer(`repeat = "once-only"`, `repeat = "sometimes"`, "slots = 12", "slots = 0", `key = "customer account"`, "").Replace(string(text))
	for _, f := range findingsIn("billing.toml", bad) {
		fmt.Println(f)
	}
	billing, _ := appconfig.Parse("billing.toml", text)
	meters, _ := appconfig.Parse("meters.toml", []byte(strings.NewReplacer(`"billing"`, `"meters"`, "rate = 15.0", "rate = 12.0").Replace(string(text))))
	for _, f := range appconfig.CheckFleet([]*appconfig.App{billing, meters}) {
		fmt.Println(f)
	}
	changed, _ := appconfig.Parse("new.toml", []byte(strings.Replace(string(text), `"once-only"`, `"repeatable"`, 1)))
	fmt.Println(appconfig.CheckReload(billing, changed)[0])
	fmt.Println(len(appconfig.CheckReload(billing, billing)))
	// Output:
	// billing.toml:15: dispatcher.slots: OD006: 0 is not in the range 2 to 1e+06. Use a number in the range.
	// billing.toml:44: topics[2].repeat: OD008: "sometimes" is not a repeat kind. Set repeatable, collapsible or once-only; use once-only if a second effect would cost somebody.
	// billing.toml:49: topics[2].ordered: OD012: "purchase" has no key. Set key to what the notifications of one ordered sequence share.
	// billing.toml:15: dispatcher.slots: OD019: 0.92 calls are out at once on average, with 0 slots. Raise dispatcher.slots, or lower load.rate.
	// meters.toml:4: listen: OD041: "127.0.0.1:8081" is also used by billing.toml. Give each its own address.
	// meters.toml:5: state: OD042: "state/billing" is also used by billing.toml. Give each its own folder.
	// meters.toml:72: partners[1].rate: OD043: "hill-homes" has rate 12 here and 15 in billing.toml. Agree on the rate that the partner takes from all applications, and set it in both.
	// meters.toml:73: partners[1].load: OD044: 2 applications together send "hill-homes" 20 calls per second, and its rate is 15. Lower their loads for it until they add up to its rate.
	// new.toml:44: topics[2].repeat: OD050: "purchase" is once-only and would become repeatable. Drain the application and restart it, so that no pending notification is under both settings.
	// 0
}

// A scheduler can be built from the platform's format of the example.
func TestPlatformConfig(t *testing.T) {
	app, findings := appconfig.Parse("app.toml", []byte(readExample(t)))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	text, err := app.PlatformConfig()
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

// No text makes Parse or Check panic, and each finding has a rule and a reason.
func FuzzParse(f *testing.F) {
	example := readExample(f)
	f.Add(example)
	f.Add(strings.Replace(example, "topics", "partners", 3))
	f.Add("[[partners.endpoints]]\nid=\"x\"\n")
	f.Add("partners = [{endpoints = [{}]}]\n[a.b]\nc.d = 1")
	f.Fuzz(func(t *testing.T, text string) {
		for _, finding := range findingsIn("x", text) {
			if finding.Rule == "" || finding.Reason == "" {
				t.Error(finding)
			}
		}
	})
}

// The platform configuration of a file of the old layout is byte for byte the same as before the new layout was introduced.
func TestOldLayoutUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/example.json")
	if err != nil {
		t.Fatal(err)
	}
	app, findings := appconfig.Parse("app.toml", []byte(readExample(t)))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	got, err := app.PlatformConfig()
	if err != nil || string(got)+"\n" != string(want) {
		t.Errorf("%v, differs from testdata/example.json:\n%s", err, got)
	}
}

// A migrated file passes the checks and uses the new layout. Its platform configuration has the settings of that layout, and
// the notes name what the operator has to set.
func TestMigrate(t *testing.T) {
	old, _ := appconfig.Parse("old.toml", []byte(strings.Replace(readExample(t), `addr = "127.0.0.1:9003"`, "addr = \"127.0.0.1:9003\"\nzone = \"north\"", 1)))
	text, notes, err := appconfig.Migrate(old)
	if err != nil {
		t.Fatal(err)
	}
	migrated, findings := appconfig.Parse("new.toml", text)
	if migrated == nil || len(findings) > 0 || len(appconfig.Check(migrated)) > 0 {
		t.Fatalf("refused: %v\n%s", append(findings, appconfig.Check(migrated)...), text)
	}
	if old.UsesNewLayout() || !migrated.UsesNewLayout() || migrated.Topics[2] != old.Topics[2] || migrated.Dispatcher != old.Dispatcher {
		t.Errorf("topics or dispatcher changed, or wrong layout:\n%s", text)
	}
	platformConfig, err := migrated.PlatformConfig()
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"weight-kind": "silent"`, `"loses-worth": "halves"`, `"refusal-cost": 0`, `"weight": 1,`} {
		if !strings.Contains(string(platformConfig), want) {
			t.Errorf("%s not found in %s", want, platformConfig)
		}
	}
	for _, want := range []string{"line 60: partners[0].rate: not carried over: 10 per second", "zones[0].fee: fill in", "partners[1].routes: fill in"} {
		if !slices.ContainsFunc(notes, func(n appconfig.MigrationNote) bool { return strings.HasPrefix(n.String(), want) }) {
			t.Errorf("no note %q: %v", want, notes)
		}
	}
}
