package intake

import (
	"bytes"
	"strconv"
	"strings"
)

// framer counts the complete requests in the bytes read from a connection. This is needed since the HTTP server reads ahead,
// and drops what it has read after a request if it closes the connection with the response. The framing follows RFC 9112. If
// the end of a request cannot be determined, counting stops.
type framer struct {
	head              []byte // incomplete head of the current request
	bodyLeft          int    // bytes of the current body or chunk that were not read yet
	chunked           bool   // the current body is chunked
	inTrailer         bool   // in the trailer section of a chunked body
	line              []byte // incomplete chunk-size or trailer line
	failed            bool   // request bounds can no longer be determined
	completedRequests int    // complete requests so far
}

// feed processes the next bytes that were read.
func (f *framer) feed(b []byte) {
	for len(b) > 0 && !f.failed {
		switch {
		case f.bodyLeft > 0:
			n := min(f.bodyLeft, len(b))
			f.bodyLeft, b = f.bodyLeft-n, b[n:]
			if f.bodyLeft == 0 && !f.chunked {
				f.completedRequests++
			}
		case f.chunked:
			b = f.feedChunkLine(b)
		default:
			b = f.feedHead(b)
		}
	}
}

// feedHead processes bytes of a head and returns those after the head.
func (f *framer) feedHead(b []byte) []byte {
	if len(f.head) == 0 {
		b = bytes.TrimLeft(b, "\r\n") // empty lines before a request are ignored
	}
	for i, c := range b {
		f.head = append(f.head, c)
		if c == '\n' && (bytes.HasSuffix(f.head, []byte("\r\n\r\n")) || bytes.HasSuffix(f.head, []byte("\n\n"))) {
			f.parseHead()
			return b[i+1:]
		}
		if f.failed = len(f.head) > maxHeadBytes; f.failed {
			return nil
		}
	}
	return nil
}

// parseHead determines from a complete head where its request ends, and counts the request if it has no body.
func (f *framer) parseHead() {
	length, hasLength := 0, false
	for line := range strings.SplitSeq(string(f.head), "\n") {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			n, err := strconv.Atoi(strings.TrimSpace(value))
			f.failed = f.failed || err != nil || n < 0 || n > maxBodyBytes
			length, hasLength = n, true
		case "transfer-encoding":
			f.chunked = true
		}
	}
	f.failed = f.failed || hasLength && f.chunked // conflicting lengths
	if f.head = f.head[:0]; f.failed {
		return
	}
	if f.bodyLeft = length; f.chunked {
		f.bodyLeft = 0
	} else if length == 0 {
		f.completedRequests++
	}
}

// feedChunkLine processes bytes of a chunk-size line or of the trailer section and returns those after the line.
func (f *framer) feedChunkLine(b []byte) []byte {
	i := bytes.IndexByte(b, '\n')
	if i < 0 {
		f.line = append(f.line, b...)
		f.failed = len(f.line) > maxHeadBytes
		return nil
	}
	line := strings.TrimSpace(string(append(f.line, b[:i]...)))
	f.line = f.line[:0]
	switch {
	case f.inTrailer && line == "":
		f.chunked, f.inTrailer = false, false
		f.completedRequests++
	case f.inTrailer, line == "": // a trailer field, or the line end after a chunk
	default:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		f.failed = err != nil
		f.bodyLeft, f.inTrailer = int(n), n == 0
	}
	return b[i+1:]
}
