package permit

// StartList says by which list of endpoints a process goes until discovery answers.
type StartList int

// The lists by which a process can go.
const (
	ConfiguredList StartList = iota // that of its configuration
	KeptList                        // the one that an earlier process was told last
	CommonList                      // what both agree on, as it is not known which of them is newer
)

// String returns the name of the list in logs.
func (l StartList) String() string { return [...]string{"configured", "kept", "common"}[l] }

// ListOrigin is what is known of the origin of a list. Versions of two agents cannot be compared.
type ListOrigin struct {
	Source         string // address of the agent
	Version        int64
	HighestVersion int64  // of the kept list: the highest one that the agent told at any time
	Configured     uint64 // identifies the configured list; of the kept list, the one that was read before it was told
}

// ChooseStartList chooses between the configured list and the kept one, if there is one. All that was told after the configured list was
// read is newer than that list. A configured list that was written since is newer if its version is higher than all that its agent
// told, also before a registry began anew with lower versions.
func ChooseStartList(configured ListOrigin, kept *ListOrigin) StartList {
	switch {
	case kept == nil:
		return ConfiguredList
	case kept.Configured == configured.Configured:
		return KeptList
	case kept.Source != configured.Source:
		return CommonList
	case configured.Version > kept.HighestVersion:
		return ConfiguredList
	}
	return KeptList
}
