package intake

import (
	"bytes"
	"strconv"
	"strings"
)

// framer counts the requests that are whole in the bytes of a connection, as they are taken. The server reads ahead, and
// what it has read behind a request is dropped where the connection is closed with that one's answer. It follows RFC 9112
// for what clients send; where it cannot tell where a request ends it counts no more.
type framer struct {
	head      []byte // of a request whose head is not whole yet
	bodyLeft  int    // bytes of the present body still to come
	chunked   bool   // the present body is chunked
	inTrailer bool   // and its trailer section is coming
	line      []byte // of a chunk's size or a trailer, not whole yet
	failed    bool
	completed int // requests so far
}

// feed takes bytes in.
func (f *framer) feed(b []byte) {
	for len(b) > 0 && !f.failed {
		switch {
		case f.bodyLeft > 0:
			n := min(f.bodyLeft, len(b))
			f.bodyLeft, b = f.bodyLeft-n, b[n:]
			if f.bodyLeft == 0 && !f.chunked {
				f.completed++
			}
		case f.chunked:
			b = f.feedChunkLine(b)
		default:
			b = f.feedHead(b)
		}
	}
}

// feedHead takes in bytes of a head, and gives those behind it.
func (f *framer) feedHead(b []byte) []byte {
	if len(f.head) == 0 {
		b = bytes.TrimLeft(b, "\r\n") // empty lines before a request mean nothing
	}
	for i, c := range b {
		f.head = append(f.head, c)
		if c == '\n' && (bytes.HasSuffix(f.head, []byte("\r\n\r\n")) || bytes.HasSuffix(f.head, []byte("\n\n"))) {
			f.parseHead()
			return b[i+1:]
		}
		if f.failed = len(f.head) > maxHead; f.failed {
			return nil
		}
	}
	return nil
}

// parseHead reads from a whole head where its request ends.
func (f *framer) parseHead() {
	length, hasLength := 0, false
	for line := range strings.SplitSeq(string(f.head), "\n") {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			n, err := strconv.Atoi(strings.TrimSpace(value))
			f.failed = f.failed || err != nil || n < 0 || n > maxBody
			length, hasLength = n, true
		case "transfer-encoding":
			f.chunked = true
		}
	}
	f.failed = f.failed || hasLength && f.chunked // it says in two ways where it ends
	if f.head = f.head[:0]; f.failed {
		return
	}
	if f.bodyLeft = length; f.chunked {
		f.bodyLeft = 0
	} else if length == 0 {
		f.completed++
	}
}

// feedChunkLine takes in bytes of a chunk's size or of the trailer section, and gives those behind the line.
func (f *framer) feedChunkLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		f.line = append(f.line, b...)
		f.failed = len(f.line) > maxHead
		return nil
	}
	line := strings.TrimSpace(string(append(f.line, b[:i]...)))
	f.line = f.line[:0]
	switch {
	case f.inTrailer && line == "":
		f.chunked, f.inTrailer = false, false
		f.completed++
	case f.inTrailer, line == "": // a trailer, or the line's end behind a chunk
	default:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		f.failed = err != nil
		f.bodyLeft, f.inTrailer = int(n), n == 0
	}
	return b[i+1:]
}
