// Package endpointstate stores, in the folder that outlives the process, the list of endpoints as the platform last told it, so that the
// next process does not go back to the list of its configuration. It makes no decisions.
//
// Two files are written in turn. Each begins with a frame that holds the whole list; further frames hold the entries that changed after
// it. A file is replaced by the other one once it is full, so that a write that is torn by a crash leaves the older file.
package endpointstate

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"

	"orchiddrift/directory"
)

// FileNames are the names of the two files.
var FileNames = [2]string{"endpoints-0", "endpoints-1"}

// Head tells where a list comes from.
type Head struct {
	Dispatcher     string // name of the dispatcher that was told
	Source         string // address of the agent that told the list
	Version        int64  // version of the list
	HighestVersion int64  // highest version that this agent has told so far: a registry may begin anew with lower ones
	Configured     uint64 // Digest of the list in the configuration that the dispatcher had read before
	Incomplete     bool   // endpoints were left out, as the file has no room for all
}

// State is a list as it was last told.
type State struct {
	Head
	Endpoints    []directory.Endpoint
	Destinations []string // known destinations, with or without endpoints
}

// Digest identifies the list of a configuration.
func Digest(list any) uint64 {
	text, _ := json.Marshal(list) // plain values always marshal
	sum := sha256.Sum256(text)
	return binary.BigEndian.Uint64(sum[:])
}

// Common returns the endpoints that two lists agree on: both have them at the same address of the same destination. One that is not
// ready in either list is not ready in the result.
func Common(a, b []directory.Endpoint) []directory.Endpoint {
	byID := map[string]directory.Endpoint{}
	for _, e := range a {
		byID[e.ID] = e
	}
	var common []directory.Endpoint
	for _, e := range b {
		other, ok := byID[e.ID]
		if !ok || other.Addr != e.Addr || other.Dest != e.Dest {
			continue
		}
		if other.Stage != directory.Ready {
			e.Stage = other.Stage
		}
		common = append(common, e)
	}
	return common
}

// stateOf returns the list of a directory.
func stateOf(head Head, dir *directory.Directory) State {
	state := State{Head: head, Destinations: dir.Destinations()}
	for _, dest := range state.Destinations {
		state.Endpoints = append(state.Endpoints, dir.Endpoints(dest)...)
	}
	return state
}

// mostUseful returns the endpoints of a list in the order in which they are stored if there is no room for all: first a ready one of
// each destination, then the other ready ones. Those that take no calls come last, as no call goes to an endpoint that is not listed
// either.
func mostUseful(endpoints []directory.Endpoint) []directory.Endpoint {
	const firstReady, otherReady, notReady = 0, 1, 2
	var groups [notReady + 1][]directory.Endpoint
	hasReady := map[string]bool{}
	for _, e := range endpoints {
		group := notReady
		if e.Stage == directory.Ready {
			group = firstReady
			if hasReady[e.Dest] {
				group = otherReady
			}
			hasReady[e.Dest] = true
		}
		groups[group] = append(groups[group], e)
	}
	return slices.Concat(groups[firstReady], groups[otherReady], groups[notReady])
}
