package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"

	"orchiddrift/lab/partner"
)

// randomEncoder encodes the endpoints' answers in random ways: it varies how the end of the body is marked, adds interim
// responses, and truncates some answers. mu guards random.
type randomEncoder struct {
	mu     sync.Mutex
	random *rand.Rand
}

// The probabilities of the encodings.
const (
	// The shares of the answers that are chunked, end with the connection, or follow an interim response. The other answers have
	// a Content-Length. trailerShare is the share of the chunked answers that have a trailer.
	chunkedShare, trailerShare, closeDelimitedShare, interimShare = 0.3, 0.1, 0.1, 0.1
	// truncatedShare is the share of the answers that are truncated.
	truncatedShare = 0.04
)

// encode returns an answer with the given head and body in a random encoding.
func (s *randomEncoder) encode(head, body []byte) partner.EncodedResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	var response partner.EncodedResponse
	encoded := &bytes.Buffer{}
	if s.random.Float64() < interimShare {
		encoded.WriteString("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	}
	response.StatusLineEnd = encoded.Len() + bytes.IndexByte(head, '\n') + 1
	encoded.Write(head)
	switch draw := s.random.Float64(); {
	case draw < closeDelimitedShare:
		encoded.WriteString("\r\n")
		encoded.Write(body)
		response.CloseDelimited = true
	case draw < closeDelimitedShare+chunkedShare:
		encoded.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := 1 + s.random.IntN(len(body))
			fmt.Fprintf(encoded, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		encoded.WriteString("0\r\n")
		if s.random.Float64() < trailerShare {
			encoded.WriteString("X-Trailer: done\r\n")
		}
		encoded.WriteString("\r\n")
	default:
		fmt.Fprintf(encoded, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	response.Bytes = encoded.Bytes()
	if s.random.Float64() < truncatedShare {
		response.TruncateAt, response.ResetAfterTruncation = 1+s.random.IntN(len(response.Bytes)), s.random.IntN(2) == 0
		response.TruncateAt = min(response.TruncateAt, len(response.Bytes)-1)
	}
	return response
}
