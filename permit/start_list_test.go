package permit_test

import (
	"testing"

	"orchiddrift/permit"
)

// A process goes by the newer list, and by what both agree on if neither is known to be the newer one.
func TestStartList(t *testing.T) {
	const readBefore, written, agent, otherAgent = 1, 2, "a:1", "b:1"
	kept := func(source string, version, highest int64) *permit.ListOrigin {
		return &permit.ListOrigin{Source: source, Version: version, HighestVersion: highest, Configured: readBefore}
	}
	for _, test := range []struct {
		name       string
		configured permit.ListOrigin
		kept       *permit.ListOrigin
		want       permit.StartList
	}{
		{"nothing kept", permit.ListOrigin{Source: agent, Version: 3}, nil, permit.ConfiguredList},
		{"configuration unchanged", permit.ListOrigin{Source: agent, Version: 3, Configured: readBefore}, kept(agent, 9, 9), permit.KeptList},
		{"registry began anew", permit.ListOrigin{Source: agent, Version: 1000, Configured: readBefore}, kept(agent, 2, 1000), permit.KeptList},
		{"unchanged, discovery moved", permit.ListOrigin{Source: otherAgent, Version: 3, Configured: readBefore}, kept(agent, 9, 9), permit.KeptList},
		{"older list written", permit.ListOrigin{Source: agent, Version: 8, Configured: written}, kept(agent, 9, 9), permit.KeptList},
		{"same version written", permit.ListOrigin{Source: agent, Version: 9, Configured: written}, kept(agent, 9, 9), permit.KeptList},
		{"newer list written", permit.ListOrigin{Source: agent, Version: 10, Configured: written}, kept(agent, 9, 9), permit.ConfiguredList},
		{"written, registry began anew", permit.ListOrigin{Source: agent, Version: 900, Configured: written}, kept(agent, 2, 1000), permit.KeptList},
		{"written for another agent", permit.ListOrigin{Source: otherAgent, Version: 10, Configured: written}, kept(agent, 9, 9), permit.CommonList},
	} {
		if got := permit.ChooseStartList(test.configured, test.kept); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
}
