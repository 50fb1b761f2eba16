package endpointstate

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"math"
	"net/netip"
	"slices"

	"orchiddrift/directory"
)

// formatName begins each file. Another one stands for another format.
const formatName = "orchiddrift endpoints 1\n"

// frameOverhead is the size, in bytes, of the length and the CRC-32 in front of a frame's content.
const frameOverhead = 8

// Kinds of frames.
const (
	wholeList   = 1 // the first frame of a file: the whole list and the known destinations
	changesOnly = 2 // entries that changed, those that are gone included
)

// stages are the stages of an endpoint by their number in a file.
var stages = [...]string{directory.Ready, directory.Draining, directory.Gone}

// Errors of a file's content.
var (
	errTruncated   = errors.New("a frame is not complete")
	errChecksum    = errors.New("a checksum is wrong")
	errMalformed   = errors.New("a frame is malformed")
	errOutOfOrder  = errors.New("a frame is not of this file, or not the next one")
	errOtherFormat = errors.New("the file has another format")
	errOtherOwner  = errors.New("the file is of another dispatcher")
)

// frame is the content of a frame. Generation and sequence number tell frames of the file from what an earlier file left.
type frame struct {
	kind         uint64
	generation   uint64 // the file with the higher one is valid
	sequence     uint64 // position of the frame in its file
	head         Head
	destinations []string
	endpoints    []directory.Endpoint
}

// encoder appends values to a buffer. Texts that come again are written as their position in the table of texts.
type encoder struct {
	bytes []byte
	texts map[string]uint64
}

// newEncoder returns an encoder with an empty table of texts.
func newEncoder() *encoder { return &encoder{texts: map[string]uint64{}} }

func (e *encoder) number(n uint64) { e.bytes = binary.AppendUvarint(e.bytes, n) }

func (e *encoder) text(s string) {
	e.number(uint64(len(s)))
	e.bytes = append(e.bytes, s...)
}

// sharedText writes a text that is likely to come again.
func (e *encoder) sharedText(s string) {
	if position, ok := e.texts[s]; ok {
		e.number(position)
		return
	}
	e.texts[s] = uint64(len(e.texts) + 1)
	e.number(0)
	e.text(s)
}

// address writes an address: in its binary form, if that gives the same text.
func (e *encoder) address(s string) {
	parsed, err := netip.ParseAddrPort(s)
	if err != nil || parsed.String() != s || parsed.Addr().Zone() != "" {
		e.number(0)
		e.text(s)
		return
	}
	ip := parsed.Addr().AsSlice()
	e.number(uint64(len(ip)))
	e.bytes = append(e.bytes, ip...)
	e.bytes = binary.BigEndian.AppendUint16(e.bytes, parsed.Port())
}

// rate writes a rate: a whole number as n+1, any other as 0 and its bits.
func (e *encoder) rate(rate float64) {
	const maxWhole = 1 << 32
	if rate >= 0 && rate < maxWhole && rate == math.Trunc(rate) {
		e.number(uint64(rate) + 1)
		return
	}
	e.number(0)
	e.bytes = binary.BigEndian.AppendUint64(e.bytes, math.Float64bits(rate))
}

func (e *encoder) endpoint(endpoint directory.Endpoint) {
	e.number(uint64(max(0, slices.Index(stages[:], endpoint.Stage))))
	e.text(endpoint.ID)
	e.address(endpoint.Addr)
	e.sharedText(endpoint.Zone)
	e.sharedText(endpoint.Kind)
	e.sharedText(endpoint.Dest)
	e.rate(endpoint.Rate)
}

// encodeFrame returns a frame with its length and checksum. Endpoints that would make it larger than maxBytes are left out, from the
// last one on; omitted is their number.
func encodeFrame(f frame, maxBytes int) (encoded []byte, omitted int) {
	endpoints := newEncoder()
	endpoints.number(uint64(len(f.destinations)))
	for _, dest := range f.destinations {
		endpoints.sharedText(dest)
	}
	front := encodeFront(f)
	room := maxBytes - frameOverhead - len(front) - 2*binary.MaxVarintLen64
	count := 0
	for _, endpoint := range f.endpoints {
		before := len(endpoints.bytes)
		if endpoints.endpoint(endpoint); len(endpoints.bytes) > room {
			endpoints.bytes = endpoints.bytes[:before]
			break
		}
		count++
	}
	omitted = len(f.endpoints) - count
	if omitted > 0 {
		f.head.Incomplete = true
		front = encodeFront(f)
	}
	content := newEncoder()
	content.bytes = append(make([]byte, frameOverhead, frameOverhead+len(front)+binary.MaxVarintLen64+len(endpoints.bytes)), front...)
	content.number(uint64(count))
	content.bytes = append(content.bytes, endpoints.bytes...)
	binary.BigEndian.PutUint32(content.bytes, uint32(len(content.bytes)-frameOverhead))
	binary.BigEndian.PutUint32(content.bytes[4:], crc32.ChecksumIEEE(content.bytes[frameOverhead:]))
	return content.bytes, omitted
}

// encodeFront returns what stands in a frame before its endpoints.
func encodeFront(f frame) []byte {
	e := newEncoder()
	e.number(f.kind)
	e.number(f.generation)
	e.number(f.sequence)
	e.text(f.head.Dispatcher)
	e.text(f.head.Source)
	e.number(uint64(f.head.Version))
	e.number(uint64(f.head.HighestVersion))
	e.number(f.head.Configured)
	incomplete := uint64(0)
	if f.head.Incomplete {
		incomplete = 1
	}
	e.number(incomplete)
	return e.bytes
}

// decoder reads what an encoder wrote. After an error all values are zero.
type decoder struct {
	bytes []byte
	texts []string
	err   error
}

func (d *decoder) number() uint64 {
	n, size := binary.Uvarint(d.bytes)
	if size <= 0 {
		d.fail()
		return 0
	}
	d.bytes = d.bytes[size:]
	return n
}

// take returns the next n bytes.
func (d *decoder) take(n uint64) []byte {
	if n > uint64(len(d.bytes)) {
		d.fail()
		return nil
	}
	taken := d.bytes[:n]
	d.bytes = d.bytes[n:]
	return taken
}

func (d *decoder) fail() {
	d.err, d.bytes = errMalformed, nil
}

func (d *decoder) text() string { return string(d.take(d.number())) }

func (d *decoder) sharedText() string {
	position := d.number()
	switch {
	case d.err != nil:
		return ""
	case position == 0:
		d.texts = append(d.texts, d.text())
		return d.texts[len(d.texts)-1]
	case position > uint64(len(d.texts)):
		d.fail()
		return ""
	}
	return d.texts[position-1]
}

func (d *decoder) address() string {
	size := d.number()
	if size == 0 {
		return d.text()
	}
	ip, ok := netip.AddrFromSlice(d.take(size))
	port := d.take(2)
	if !ok || port == nil {
		d.fail()
		return ""
	}
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(port)).String()
}

func (d *decoder) rate() float64 {
	if n := d.number(); n > 0 || d.err != nil {
		return max(0, float64(n)-1)
	}
	bits := d.take(8)
	if bits == nil {
		return 0
	}
	return math.Float64frombits(binary.BigEndian.Uint64(bits))
}

func (d *decoder) endpoint() directory.Endpoint {
	stage := d.number()
	if stage >= uint64(len(stages)) {
		d.fail()
		return directory.Endpoint{}
	}
	return directory.Endpoint{Stage: stages[stage], ID: d.text(), Addr: d.address(), Zone: d.sharedText(), Kind: d.sharedText(),
		Dest: d.sharedText(), Rate: d.rate()}
}

// decodeFrame reads the first frame of b and returns what follows it.
func decodeFrame(b []byte) (f frame, rest []byte, err error) {
	if len(b) < frameOverhead {
		return frame{}, nil, errTruncated
	}
	length := uint64(binary.BigEndian.Uint32(b))
	if length > uint64(len(b)-frameOverhead) {
		return frame{}, nil, errTruncated
	}
	content := b[frameOverhead : frameOverhead+length]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(b[4:]) {
		return frame{}, nil, errChecksum
	}
	d := &decoder{bytes: content}
	f = d.frame()
	if d.err == nil && len(d.bytes) > 0 {
		d.err = errMalformed
	}
	return f, b[frameOverhead+length:], d.err
}

// frame reads the content of a frame.
func (d *decoder) frame() frame {
	f := frame{kind: d.number(), generation: d.number(), sequence: d.number()}
	f.head = Head{Dispatcher: d.text(), Source: d.text(), Version: int64(d.number()), HighestVersion: int64(d.number()),
		Configured: d.number(), Incomplete: d.number() > 0}
	endpoints := d.number()
	for n := d.number(); n > 0 && d.err == nil; n-- {
		f.destinations = append(f.destinations, d.sharedText())
	}
	for ; endpoints > 0 && d.err == nil; endpoints-- {
		f.endpoints = append(f.endpoints, d.endpoint())
	}
	return f
}
