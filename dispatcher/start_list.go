package dispatcher

import (
	"github.com/rs/zerolog"

	"orchiddrift/directory"
	"orchiddrift/endpointstate"
	"orchiddrift/gateway"
	"orchiddrift/permit"
	"orchiddrift/platform"
	"orchiddrift/syserr"
)

// keptList is the list of endpoints that the process before was told, and the store for the list of this one.
type keptList struct {
	store *endpointstate.Store
	state *endpointstate.State // nil if there is none
}

// openKeptList reads the list that the process before was told. If it cannot be read, an error that may pass is returned, unless goOn
// says to start without it.
func openKeptList(folder StateFolder, cfg *config, sync, goOn bool, log zerolog.Logger) (keptList, error) {
	options := endpointstate.Options{Dispatcher: cfg.Name, MaxBytes: cfg.division.EndpointFileBytes, Sync: sync}
	store, state, damages, err := endpointstate.Open(folder, options)
	if err != nil && isTransient(err) && !goOn {
		return keptList{}, err
	}
	if err != nil {
		damages = append(damages, err)
	}
	for _, damage := range damages {
		log.Error().Err(damage).Msg("list of endpoints from before not used, or not to its end")
	}
	return keptList{store, state}, nil
}

// startList is the list by which a process goes until discovery answers.
type startList struct {
	head         endpointstate.Head
	endpoints    []directory.Endpoint
	destinations []string
	watchFrom    int64  // version from which the watch begins
	configured   uint64 // endpointstate.Digest of the configured list
}

// chooseStartList returns the list by which a process goes until discovery answers, and logs which one that is.
func chooseStartList(cfg *config, kept *endpointstate.State, log zerolog.Logger) startList {
	configured := permit.ListOrigin{Source: cfg.Discovery, Version: cfg.Known.Version, Configured: endpointstate.Digest(cfg.Known)}
	list := startList{head: endpointstate.Head{Dispatcher: cfg.Name, Source: cfg.Discovery, Version: cfg.Known.Version,
		HighestVersion: cfg.Known.Version, Configured: configured.Configured}, endpoints: cfg.Known.Endpoints(), watchFrom: cfg.Known.Version}
	choice := permit.ConfiguredList
	if kept != nil {
		choice = permit.ChooseStartList(configured, &permit.ListOrigin{Source: kept.Source, Version: kept.Version,
			HighestVersion: kept.HighestVersion, Configured: kept.Configured})
	}
	switch choice {
	case permit.KeptList:
		list = startList{head: kept.Head, endpoints: kept.Endpoints, destinations: kept.Destinations, watchFrom: kept.Version}
		if kept.Source != cfg.Discovery || kept.Incomplete {
			list.watchFrom = platform.UnknownVersion
		}
	case permit.CommonList:
		list.endpoints = endpointstate.Common(kept.Endpoints, list.endpoints)
		list.destinations = kept.Destinations
		list.watchFrom = platform.UnknownVersion
	}
	list.configured = configured.Configured
	line := log.Info().Stringer("list", choice).Int("endpoints", len(list.endpoints)).Int64("configured_version", cfg.Known.Version)
	if kept != nil {
		line = line.Int64("kept_version", kept.Version).Str("kept_source", kept.Source).Bool("kept_incomplete", kept.Incomplete)
	}
	line.Msg("list of endpoints at the start")
	return list
}

// fill puts the list into a directory.
func (l startList) fill(dir *directory.Directory) {
	dir.Replace(l.endpoints)
	for _, dest := range l.destinations {
		dir.AddDestination(dest)
	}
}

// listKeeper keeps the list of endpoints for the next process.
type listKeeper struct{ *endpointstate.Saver }

// newListKeeper returns a keeper for a process that begins with a list.
func newListKeeper(store *endpointstate.Store, head endpointstate.Head, errs *syserr.Recorder, log zerolog.Logger) listKeeper {
	return listKeeper{endpointstate.NewSaver(store, head, endpointstate.Observer{
		Failed: func(err error) { errs.Failed(syserr.ListWrite, "", err) },
		Omitted: func(n int) {
			log.Warn().Int("endpoints", n).Msg("the folder has no room for the whole list of endpoints: the next process starts without some")
		}})}
}

// Told has an update written soon.
func (k listKeeper) Told(update gateway.Listed, dir *directory.Directory) {
	k.Saver.Told(endpointstate.Update{Source: update.Source, Version: update.Version, Full: update.Full, Endpoints: update.Endpoints}, dir)
}
