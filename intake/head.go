package intake

import (
	"bytes"
	"errors"
	"strconv"
)

// Errors of requests that cannot be read. Their end, and with it any request after them, is unknown.
var (
	errMalformed          = errors.New("the request is malformed")
	errHeadTooLarge       = errors.New("the head of the request is too large")
	errBodyTooLarge       = errors.New("the body of the request is too large")
	errIncomplete         = errors.New("the request is incomplete")
	errConflictingLengths = errors.New("both Content-Length and Transfer-Encoding, or two lengths: where the request ends is not certain")
)

// requestHead is the part of a request's head that is used. Its texts refer to the buffer that the head was read into.
type requestHead struct {
	method, path   []byte
	contentLength  int // 0 without the header
	chunked        bool
	closes         bool // the client closes the connection after the answer
	expectContinue bool // the client waits before it sends the body
	hasLength      bool
	http10         bool

	id, topic, tenant, cookie, budget, idempotencyKey, addressing []byte
}

// hasBody reports whether bytes follow the head.
func (h *requestHead) hasBody() bool { return h.chunked || h.contentLength > 0 }

// parseHead parses the head of the request with which b begins. It returns the number of bytes of the head, or 0 if the head is not
// complete yet. It accepts lines that end with a line feed alone, as RFC 9112 allows.
func parseHead(b []byte) (head requestHead, size int, err error) {
	for first := true; ; first = false {
		end := bytes.IndexByte(b[size:], '\n')
		if end < 0 {
			return requestHead{}, 0, nil
		}
		line := bytes.TrimSuffix(b[size:size+end], []byte("\r"))
		size += end + 1
		switch {
		case first:
			err = head.parseRequestLine(line)
		case len(line) == 0:
			return head, size, head.check()
		default:
			err = head.parseField(line)
		}
		if err != nil {
			return requestHead{}, size, err
		}
	}
}

// parseRequestLine parses the first line of a head.
func (h *requestHead) parseRequestLine(line []byte) error {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	if !ok || len(method) == 0 || len(target) == 0 {
		return errMalformed
	}
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.http10, h.closes = true, true
	default:
		return errMalformed
	}
	h.method, h.path = method, pathOf(target)
	return nil
}

// pathOf returns the path of a request's target, which may be a whole URI.
func pathOf(target []byte) []byte {
	if _, rest, ok := bytes.Cut(target, []byte("://")); ok && target[0] != '/' {
		slash := bytes.IndexByte(rest, '/')
		if slash < 0 {
			return []byte("/")
		}
		target = rest[slash:]
	}
	path, _, _ := bytes.Cut(target, []byte("?"))
	return path
}

// parseField parses a line of a head after the first one. A field that comes twice has its first value.
func (h *requestHead) parseField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isFieldName(name) || !isFieldValue(value) {
		return errMalformed
	}
	value = bytes.Trim(value, " \t")
	setFirst := func(field *[]byte) {
		if *field == nil {
			*field = value
		}
	}
	switch {
	case isField(name, "content-length"):
		return h.parseLength(value)
	case isField(name, "transfer-encoding"):
		if h.chunked || !bytes.EqualFold(value, []byte("chunked")) {
			return errMalformed
		}
		h.chunked = true
	case isField(name, "connection"):
		h.parseConnection(value)
	case isField(name, "expect"):
		h.expectContinue = bytes.EqualFold(value, []byte("100-continue"))
	case isField(name, "x-call-id"):
		setFirst(&h.id)
	case isField(name, "x-call-class"):
		setFirst(&h.topic)
	case isField(name, "x-caller"):
		setFirst(&h.tenant)
	case isField(name, "cookie"):
		setFirst(&h.cookie)
	case isField(name, "x-budget"):
		setFirst(&h.budget)
	case isField(name, "idempotency-key"):
		setFirst(&h.idempotencyKey)
	case isField(name, "x-addressing"):
		setFirst(&h.addressing)
	}
	return nil
}

// isFieldName reports whether a line's part before the colon can be the name of a field.
func isFieldName(name []byte) bool {
	for _, c := range name {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return len(name) > 0
}

// isFieldValue reports whether a line's part behind the colon can be the value of a field: it holds nothing that some implementations
// take for the end of a line.
func isFieldValue(value []byte) bool {
	for _, c := range value {
		if c == '\r' || c == 0 {
			return false
		}
	}
	return true
}

// isField reports whether a field's name is the given one, which is in lower case.
func isField(name []byte, lower string) bool {
	return len(name) == len(lower) && bytes.EqualFold(name, []byte(lower))
}

// parseLength parses the value of a Content-Length, which may come once.
func (h *requestHead) parseLength(value []byte) error {
	if h.hasLength {
		return errConflictingLengths
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return errMalformed
		}
	}
	length, err := strconv.Atoi(string(value))
	if errors.Is(err, strconv.ErrRange) || length > maxBodyBytes {
		return errBodyTooLarge
	}
	if err != nil {
		return errMalformed
	}
	h.contentLength, h.hasLength = length, true
	return nil
}

// parseConnection parses the value of a Connection field.
func (h *requestHead) parseConnection(value []byte) {
	for option := range bytes.SplitSeq(value, []byte(",")) {
		switch option = bytes.TrimSpace(option); {
		case bytes.EqualFold(option, []byte("close")):
			h.closes = true
		case h.http10 && bytes.EqualFold(option, []byte("keep-alive")):
			h.closes = false
		}
	}
}

// check returns an error if it is not certain where the request ends. Implementations disagree on a request with both a Content-Length
// and a Transfer-Encoding, so its body can hide a second request (request smuggling). Well-behaved clients never send both.
func (h *requestHead) check() error {
	if h.chunked && (h.hasLength || h.http10) {
		return errConflictingLengths
	}
	return nil
}

// cookieValue returns the value of a cookie in the value of a Cookie field.
func cookieValue(cookies []byte, name string) []byte {
	for pair := range bytes.SplitSeq(cookies, []byte(";")) {
		if key, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte("=")); string(key) == name {
			return bytes.Trim(value, "\"")
		}
	}
	return nil
}

// requestSize returns the number of bytes of the request with which b begins, or 0 if it is not complete or cannot be parsed.
func requestSize(b []byte) int {
	empty := len(b) - len(bytes.TrimLeft(b, "\r\n")) // empty lines before a request are ignored
	head, size, err := parseHead(b[empty:])
	if err != nil || size == 0 {
		return 0
	}
	size += empty
	if head.chunked {
		body := chunkedSize(b[size:])
		if body == 0 {
			return 0
		}
		return size + body
	}
	if size += head.contentLength; size > len(b) {
		return 0
	}
	return size
}

// chunkedSize returns the number of bytes of the chunked body with which b begins, or 0 if it is not complete or cannot be parsed.
func chunkedSize(b []byte) int {
	decoder, size := chunkDecoder{}, 0
	for {
		end := bytes.IndexByte(b[size:], '\n')
		if end < 0 {
			return 0
		}
		length, err := decoder.line(b[size : size+end])
		if err != nil {
			return 0
		}
		if size += end + 1 + length; size > len(b) {
			return 0
		}
		if decoder.done {
			return size
		}
	}
}

// chunkDecoder decodes the lines of a chunked body: sizes of chunks, the ends of chunks, and the trailer section.
type chunkDecoder struct {
	afterChunk bool // the next line is the end of a chunk
	trailer    bool // in the trailer section
	trailed    int  // bytes of the trailer section so far
	done       bool
}

// line decodes a line without its line feed, and returns the length of the chunk that follows it.
func (d *chunkDecoder) line(line []byte) (length int, err error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case d.afterChunk && len(line) > 0:
		return 0, errMalformed
	case d.afterChunk:
		d.afterChunk = false
		return 0, nil
	case d.trailer:
		d.done = len(line) == 0
		if d.trailed += len(line); d.trailed > maxHeadBytes {
			return 0, errHeadTooLarge
		}
		return 0, nil
	}
	text, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(text)), 16, 31)
	if err != nil {
		return 0, errMalformed
	}
	if n > maxBodyBytes {
		return 0, errBodyTooLarge
	}
	d.trailer, d.afterChunk = n == 0, n > 0
	return int(n), nil
}
