package content_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"orchiddrift/lab/content"
)

// Guards against a laboratory that sends one and the same body with each message, or that sends none that a dispatcher could take for
// something else.
func TestBodies(t *testing.T) {
	dir := t.TempDir()
	mark := []byte("bytes of a folder")
	if err := os.WriteFile(filepath.Join(dir, "segment-000001"), bytes.Repeat(mark, 1000), 0o600); err != nil {
		t.Fatal(err)
	}
	const messages, size = 5000, 100
	source := &content.Source{Seed: 7, Size: size, Folders: []string{dir}}
	plain, empty, largest, ofFolder := 0, 0, 0, 0
	digests := map[content.Digest]bool{}
	for i := range messages {
		id := fmt.Sprint("m", i)
		body := source.Body(id)
		switch {
		case len(body) == size:
			plain++
		case len(body) == 0:
			empty++
		case len(body) == 64<<10:
			largest++
		case bytes.Contains(body, mark):
			ofFolder++
		}
		if len(body) > 0 {
			digests[content.DigestOf("", body)] = true
		}
		if again := source.Body(id); !bytes.Equal(again, body) {
			t.Fatalf("%s has two bodies", id)
		}
	}
	if plain < messages*7/10 || empty == 0 || largest == 0 || ofFolder == 0 || len(digests) < messages*9/10 {
		t.Errorf("of %d bodies %d are plain, %d empty, %d of the largest size, %d of a folder; %d are distinct", messages, plain, empty, largest, ofFolder, len(digests))
	}
	if content.DigestOf("a", []byte("b")) == content.DigestOf("ab", nil) {
		t.Error("the end of the idempotency key does not count")
	}
}
