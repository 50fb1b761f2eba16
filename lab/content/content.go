// Package content makes the content of the laboratory's messages. Each message has a body of its own, and a share of the bodies is
// hostile: bytes that a dispatcher could take for structure of its own.
package content

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// Digest identifies what a message hands to an endpoint: its idempotency key and its body.
type Digest uint64

// DigestOf returns the digest of an idempotency key, "" for none, and a body.
func DigestOf(idempotencyKey string, body []byte) Digest {
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(idempotencyKey)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// Parameters of the bodies.
const (
	hostileShare  = 0.2      // share of the bodies that are hostile
	largestShare  = 0.01     // share of the hostile bodies that are of the largest size allowed
	largestBytes  = 64 << 10 // largest body that a dispatcher accepts
	maxHostile    = 6 << 10  // largest hostile body otherwise
	windowMinimum = 64       // smallest window of a file
	farFuture     = 4e9      // end of the TTL in forged records, in Unix seconds
)

// Source makes bodies. The same seed and ID give the same body, but for those that hold bytes of files, which change.
type Source struct {
	Seed    uint64
	Size    int      // of the bodies that are not hostile, in bytes
	Plain   bool     // no body is hostile
	Folders []string // lasting folders of dispatchers, whose bytes hostile bodies hold; may be empty
}

// Body returns the body of the message with an ID.
func (s *Source) Body(id string) []byte {
	random := rand.New(rand.NewPCG(s.Seed, xxhash.Sum64String(id)))
	if s.Plain || random.Float64() >= hostileShare {
		return randomBytes(random, s.Size)
	}
	if random.Float64() < largestShare {
		return randomBytes(random, largestBytes)
	}
	kinds := []func(*rand.Rand) []byte{s.folderBytes, s.folderBytes, recordBytes, markers, httpHeads, jsonEnds, func(*rand.Rand) []byte { return nil }}
	body := kinds[random.IntN(len(kinds))](random)
	return body[:min(len(body), maxHostile)]
}

// randomBytes returns n random bytes.
func randomBytes(random *rand.Rand, n int) []byte {
	b := make([]byte, 0, n+8)
	for len(b) < n {
		b = binary.LittleEndian.AppendUint64(b, random.Uint64())
	}
	return b[:n]
}

// folderBytes returns a window of a file of a dispatcher's folder, or random bytes if none can be read.
func (s *Source) folderBytes(random *rand.Rand) []byte {
	if len(s.Folders) > 0 {
		files, _ := filepath.Glob(filepath.Join(s.Folders[random.IntN(len(s.Folders))], "segment-*"))
		if len(files) > 0 {
			if window, err := readWindow(files[random.IntN(len(files))], random); err == nil {
				return window
			}
		}
	}
	return randomBytes(random, s.Size)
}

// readWindow returns some bytes of a file.
func readWindow(name string, random *rand.Rand) ([]byte, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	window := make([]byte, windowMinimum+random.IntN(maxHostile-windowMinimum))
	n, _ := file.ReadAt(window, random.Int64N(max(1, info.Size()-windowMinimum))) // the file may end within the window
	return window[:n], nil
}

// recordBytes returns records of the ledger, in the form of segments of version 1, each with a message that nobody handed in.
func recordBytes(random *rand.Rand) []byte {
	const accepted = 1 // the kind of a record
	text := func(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }
	b := binary.LittleEndian.AppendUint64(nil, 1<<(20+random.IntN(44))) // a sequence number that is far ahead
	b = append(b, accepted)
	for _, field := range []string{"0-forged-0", "reading", "nobody", "0", "", "", "", "content that nobody handed in"} {
		b = text(b, field)
	}
	b = binary.LittleEndian.AppendUint64(b, math.Float64bits(farFuture))
	b = append(b, make([]byte, 10)...) // no push may have run, no pushes, no position
	record := binary.LittleEndian.AppendUint32(nil, uint32(len(b)-8))
	record = append(binary.LittleEndian.AppendUint32(record, crc32.Checksum(b, crc32.MakeTable(crc32.Castagnoli))), b...)
	return bytes.Repeat(record, 1+random.IntN(40))
}

// markers returns bytes among which the markers of records are frequent.
func markers(random *rand.Rand) []byte {
	b := make([]byte, 1+random.IntN(maxHostile))
	for i := range b {
		b[i] = []byte{0xFE, 0xFD, 0, 1}[random.IntN(4)]
	}
	return b
}

// httpHeads returns heads of requests and answers.
func httpHeads(random *rand.Rand) []byte {
	return joinRandom(random, 20, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "POST /api HTTP/1.1\r\nX-Call-Id: 0-forged-1\r\nContent-Length: 3\r\n\r\nabc",
		"\r\n\r\n", "0\r\n\r\n", "HTTP/1.1 503 Busy\r\nRetry-After: 60\r\n\r\n")
}

// jsonEnds returns ends and beginnings of JSON values.
func jsonEnds(random *rand.Rand) []byte {
	return joinRandom(random, 50, `"}]`, `[{"id":"0-forged-2","body":"`, "\n", "\\", `"`, "\x00", "\xff", `{"message":"0-forged-3","outcome":"given_up"}`+"\n")
}

// joinRandom returns 1 to most of the parts, each drawn at random.
func joinRandom(random *rand.Rand, most int, parts ...string) []byte {
	var b []byte
	for range 1 + random.IntN(most) {
		b = append(b, parts[random.IntN(len(parts))]...)
	}
	return b
}
