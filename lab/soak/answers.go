package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"sync"

	"orchiddrift/lab/partner"
)

// answers gives endpoints' answers their shape on the wire: how they say where they end, and at which byte some are cut.
type answers struct {
	lock   sync.Mutex
	chance *rand.Rand
}

const (
	chunkedShare, trailerShare, untilCloseShare, interimShare = 0.3, 0.1, 0.1, 0.1
	cutAnswers                                                = 0.04
)

// shape writes an answer's head and body anew.
func (a *answers) shape(head, body []byte) partner.EncodedResponse {
	a.lock.Lock()
	defer a.lock.Unlock()
	var s partner.EncodedResponse
	text := &bytes.Buffer{}
	if a.chance.Float64() < interimShare {
		text.WriteString("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
	}
	s.StatusLineEnd = text.Len() + bytes.IndexByte(head, '\n') + 1
	text.Write(head)
	switch x := a.chance.Float64(); {
	case x < untilCloseShare:
		text.WriteString("\r\n")
		text.Write(body)
		s.CloseDelimited = true
	case x < untilCloseShare+chunkedShare:
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for len(body) > 0 {
			n := 1 + a.chance.IntN(len(body))
			fmt.Fprintf(text, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		text.WriteString("0\r\n")
		if a.chance.Float64() < trailerShare {
			text.WriteString("X-Trailer: done\r\n")
		}
		text.WriteString("\r\n")
	default:
		fmt.Fprintf(text, "Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	s.Bytes = text.Bytes()
	if a.chance.Float64() < cutAnswers {
		s.TruncateAt, s.ResetAfterTruncation = 1+a.chance.IntN(len(s.Bytes)), a.chance.IntN(2) == 0
		s.TruncateAt = min(s.TruncateAt, len(s.Bytes)-1)
	}
	return s
}
