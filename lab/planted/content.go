package planted

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"time"
)

// GoByID, in place of a rule, makes the dispatcher take a request for one that it has if it knows the ID, whatever the request asks
// for. It breaks rules.Lost where bad clients use the IDs of others.
const GoByID = "ids"

// SearchContent, in place of a rule, makes the dispatcher take parts of the bodies that an earlier process accepted for messages. It
// breaks rules.Content.
const SearchContent = "searches"

// storedFile is the file in the state folder that holds the accepted messages, a JSON object a line.
const storedFile = "accepted"

// storedMessage is a line of storedFile.
type storedMessage struct {
	ID, Topic, Dest string
	Body            []byte
}

// isKnownID reports whether a message with the ID was accepted before, and records that one is.
func (d *dispatcher) isKnownID(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.knownIDs[id]
	d.knownIDs[id] = true
	return known
}

// store appends a message to storedFile.
func (d *dispatcher) store(m *message) {
	line, _ := json.Marshal(storedMessage{m.id, m.topic, m.dest, m.body}) // plain values always marshal
	d.appendLine(storedFile, line)
}

// findInContent returns the messages that a reader which searches content finds in storedFile: the second halves of bodies.
func (d *dispatcher) findInContent() (found []*message) {
	const maxFound, timeLeft = 20, 5 * time.Second
	text, err := os.ReadFile(filepath.Join(d.statePath, storedFile))
	if err != nil {
		return nil
	}
	for line := range bytes.Lines(text) {
		var stored storedMessage
		if json.Unmarshal(line, &stored) != nil || len(stored.Body) < 2 || len(found) == maxFound {
			continue
		}
		found = append(found, &message{id: stored.ID, topic: stored.Topic, dest: stored.Dest, body: stored.Body[len(stored.Body)/2:],
			deadline: time.Now().Add(timeLeft)})
	}
	return found
}
