// Package admission bounds the resources that other machines can make a dispatcher use, and shares them among clients. It divides the
// memory limit once among the purposes for which memory grows with what others send; each purpose has an account, from which bytes
// are reserved before they are taken. It does no I/O.
package admission

import "fmt"

// Purpose is what memory is used for.
type Purpose int

// The purposes. Everything that others can make grow belongs to one of them.
const (
	Connections Purpose = iota // clients' connections: stacks, structures, and the buffer of a request's head
	Requests                   // bodies of requests that are being read
	Messages                   // messages without their final answer, with their bodies
	Identifiers                // IDs of messages, which are recognized for a while after the final answer
	Responses                  // answers of endpoints that are being read, beyond the first bytes
	List                       // the list of endpoints, and what is kept of each
	purposeCount
)

// String returns the name of the purpose in logs and metrics.
func (p Purpose) String() string {
	return [...]string{"connections", "requests", "messages", "identifiers", "responses", "list"}[p]
}

// shares are the parts of the working memory by purpose. They add up to 1.
var shares = [purposeCount]float64{Connections: 0.42, Requests: 0.12, Messages: 0.14, Identifiers: 0.10, Responses: 0.05, List: 0.17}

// leastBytes is the least that each purpose needs: some connections, a request and a message with the largest body, an answer of the
// largest size, and a short list.
var leastBytes = [purposeCount]int{Connections: 16 * ConnectionBytes, Requests: 128 << 10, Messages: 256 << 10, Identifiers: 64 << 10,
	Responses: 64 << 10, List: 128 << 10}

const (
	// programBytes is the memory of the program's own pages.
	programBytes = 9_000_000
	// maxFilesShare is the largest part of the memory limit that is set apart for the lasting folder: where that is kept in memory, its
	// files count.
	maxFilesShare = 1.0 / 8
	// ledgerShare is the part of the lasting folder that bodies of messages can take: records of large ones fill their segments badly.
	ledgerShare = 0.5
	// workingShare is the part of the heap's limit that reserved bytes may take. The rest is for what is garbage until the next
	// collection: with less, the collector would run without end.
	workingShare = 0.55
	// endpointBytes is charged for an endpoint of the list: its entries in the tables of all packages.
	endpointBytes = 512
	// baseHeapBytes is the heap without any clients.
	baseHeapBytes = 1_500_000
	// ConnectionBytes is charged for a client's connection.
	ConnectionBytes = 10_500
	// LingerBytes is charged for a connection that waits for its client to close it.
	LingerBytes = 4_000
	// descriptorsPerConnection leaves as many descriptors for endpoints, the agent and files as for clients.
	descriptorsPerConnection = 2
)

// Limits are the limits of a process, from its configuration.
type Limits struct {
	MemoryBytes int
	DiskBytes   int // largest size of the lasting folder
	Descriptors int // file descriptors
	MaxMessages int // messages held
}

// Division is how the limits of a process are divided.
type Division struct {
	HeapBytes      int               // limit for the runtime: heap, stacks and its own tables
	Bytes          [purposeCount]int // by purpose
	MaxConnections int               // of clients
	MaxMessages    int               // without a final answer, those with a notice on its way included
	MaxEndpoints   int               // in the list
	ScarceBytes    int               // of messages: what memory and the lasting folder can both hold
}

// noticeAllowance is how many messages may wait for the answer to their notice, beside those held.
const noticeAllowance = 256

// Divide divides the limits of a process. It returns an error, which states the least memory, if they are too small.
func Divide(l Limits) (Division, error) {
	d := divide(l)
	if d.sufficient() {
		return d, nil
	}
	return d, fmt.Errorf("limits.memory_mb cannot be %g: a dispatcher with these limits needs at least %d", float64(l.MemoryBytes)/bytesPerMB, LeastMemoryMB(l))
}

const bytesPerMB = 1_000_000

// divide divides the limits of a process, also if they are too small.
func divide(l Limits) Division {
	files := min(float64(l.DiskBytes), maxFilesShare*float64(l.MemoryBytes))
	d := Division{HeapBytes: l.MemoryBytes - programBytes - int(files), MaxMessages: l.MaxMessages + noticeAllowance}
	working := workingShare*float64(d.HeapBytes) - baseHeapBytes
	for p := range d.Bytes {
		d.Bytes[p] = int(shares[p] * working)
	}
	d.MaxConnections = min(l.Descriptors/descriptorsPerConnection, d.Bytes[Connections]/ConnectionBytes)
	d.MaxEndpoints = d.Bytes[List] / endpointBytes
	d.ScarceBytes = min(d.Bytes[Messages], int(ledgerShare*float64(l.DiskBytes)))
	return d
}

// sufficient reports whether each purpose has the least that it needs.
func (d Division) sufficient() bool {
	for p, bytes := range d.Bytes {
		if bytes < leastBytes[p] {
			return false
		}
	}
	return true
}

// LeastMemoryMB returns the least memory, in whole MB, with which a process with the other limits can work.
func LeastMemoryMB(l Limits) int {
	for mb := 1; ; mb++ {
		l.MemoryBytes = mb * bytesPerMB
		if divide(l).sufficient() {
			return mb
		}
	}
}
