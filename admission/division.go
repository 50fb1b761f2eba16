// Package admission bounds the resources that other machines can make a dispatcher use, and shares them among clients. It divides the
// memory limit once among the purposes for which memory grows with what others send; each purpose has an account, from which bytes
// are reserved before they are taken. It does no I/O.
package admission

import "fmt"

// Purpose is what memory is used for.
type Purpose int

// The purposes. Everything that others can make grow belongs to one of them.
const (
	Connections    Purpose = iota // clients' connections: stacks, structures, and the buffer of a request's head
	Requests                      // bodies of requests that are being read
	Messages                      // messages without their final answer, with their bodies
	Identifiers                   // IDs of messages, which are recognized for a while after the final answer
	Responses                     // answers of endpoints that are being read, beyond the first bytes
	List                          // the list of endpoints, and what is kept of each
	ReceiveBuffers                // large receive buffers of clients' connections; memory of the kernel, not of the heap
	purposeCount
)

// String returns the name of the purpose in logs and metrics.
func (p Purpose) String() string {
	return [...]string{"connections", "requests", "messages", "identifiers", "responses", "list", "receive buffers"}[p]
}

// shares are the parts of the memory that is left once clients' connections have theirs. They add up to 1.
var shares = [purposeCount]float64{Requests: 0.15, Messages: 0.27, Identifiers: 0.14, Responses: 0.07, List: 0.37}

// leastBytes is the least that each purpose needs: a request and a message with the largest body, an answer of the largest size, and a
// short list.
var leastBytes = [purposeCount]int{Requests: 128 << 10, Messages: 256 << 10, Identifiers: 64 << 10, Responses: 64 << 10, List: 384 << 10}

const (
	// programBytes is the memory of the program's own pages, of its threads and of its page tables.
	programBytes = 8_000_000
	// reserveShare is the part of the limit that is in no account: the runtime's limit is soft.
	reserveShare = 1.0 / 32
	// maxFolderShare is the largest part of the limit that the lasting folder may take: where it is kept in memory, its files count.
	maxFolderShare = 1.0 / 8
	// endpointFileShare is the part of the lasting folder for the files with the list of endpoints.
	endpointFileShare = 0.1
	// ledgerShare is the part of the rest of the lasting folder that bodies of messages can take: records of large ones fill their segments badly.
	ledgerShare = 0.5
	// workingShare is the part of the heap's limit, without that for connections, that reserved bytes may take. The rest is for what is
	// garbage until the next collection: with less, the collector would run without end.
	workingShare = 0.7
	// stackShare is the same for connections, which are stacks for the most part: those are no garbage.
	stackShare = 0.9
	// endpointBytes is charged for an endpoint of the list: its entries in the tables of all packages.
	endpointBytes = 512
	// baseHeapBytes is the heap without any clients.
	baseHeapBytes = 1_500_000
	// ConnectionBytes is charged for a client's connection.
	ConnectionBytes = 10_500
	// LingerBytes is charged for a connection that waits for its client to close it.
	LingerBytes = 4_000
	// LingerDivisor sets how many connections, MaxConnections/LingerDivisor but at least one, may linger besides the open ones, and as
	// many that were evicted may still hold their descriptor.
	LingerDivisor = 8
	// clientShare is the part of the memory for clients' connections, heap and sockets, where the descriptors allow as many.
	clientShare = 0.77
	// queueShare is the part of the memory for connections that wait to be accepted, and spareQueueShare the same of what clients'
	// connections leave, if that is more.
	queueShare, spareQueueShare = 0.12, 0.25
	// maxBacklog is the largest number of connections that wait to be accepted.
	maxBacklog = 1024
	// receiveShare is the part of the memory that is left for large receive buffers of some clients' connections: the end of a client's
	// stream is only seen once all that it sent before fits into its buffer.
	receiveShare = 0.25
	// outgoingShare is the largest part of the memory for the sockets of connections to endpoints and the agent.
	outgoingShare = 0.12
	// descriptorsPerConnection leaves as many descriptors for endpoints, the agent and files as for clients.
	descriptorsPerConnection = 2
	// leastConnections is the least number of clients' connections, and of those that wait to be accepted.
	leastConnections = 16
	// socketsPerCall counts a second connection that is dialled for a call, or an idle one.
	socketsPerCall = 2
	// agentSockets is the number of connections to the agent: the watch, notices, and spare ones.
	agentSockets = 16
	// leastCalls is the least number of calls in flight.
	leastCalls = 8
)

// What the kernel holds at most for a socket, in bytes: its structures, and full buffers of the sizes that package sock sets.
const (
	// ClientSocketBytes is charged for a client's connection.
	ClientSocketBytes = 17_500
	// QueuedSocketBytes is charged for a connection that waits to be accepted: nothing was sent on it, and it has no file yet.
	QueuedSocketBytes = 7_500
	// OutgoingSocketBytes is charged for a connection to an endpoint or the agent.
	OutgoingSocketBytes = 24_000
	// LargeReceiveBytes is charged, beside ClientSocketBytes, for a connection with a large receive buffer.
	LargeReceiveBytes = 72_000
)

// Limits are the limits of a process, from its configuration.
type Limits struct {
	MemoryBytes int
	DiskBytes   int // largest size of the lasting folder
	Descriptors int // file descriptors
	MaxMessages int // messages held
	MaxCalls    int // calls in flight
}

// Division is how the limits of a process are divided.
type Division struct {
	HeapBytes         int               // limit for the runtime: heap, stacks and its own tables
	Bytes             [purposeCount]int // by purpose; parts of HeapBytes, but for ReceiveBuffers
	SocketBytes       int               // of the kernel, for all sockets
	FolderBytes       int               // largest size of the lasting folder
	EndpointFileBytes int               // part of it for the files with the list of endpoints
	ReserveBytes      int               // in no account
	MaxConnections    int               // of clients
	Backlog           int               // connections that may wait to be accepted
	MaxCalls          int               // in flight
	MaxMessages       int               // without a final answer, those with a notice on its way included
	MaxEndpoints      int               // in the list
	ScarceBytes       int               // of messages: what memory and the lasting folder can both hold
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

// bytesPerMB is the number of bytes in a MB of the configuration.
const bytesPerMB = 1_000_000

// divide divides the limits of a process, also if they are too small. First come the parts whose size is given, then the sockets of calls
// and clients' connections with their sockets; the rest is shared by the other purposes.
func divide(l Limits) Division {
	d := Division{MaxMessages: l.MaxMessages + noticeAllowance, ReserveBytes: int(reserveShare * float64(l.MemoryBytes)),
		FolderBytes: min(l.DiskBytes, int(maxFolderShare*float64(l.MemoryBytes)))}
	d.EndpointFileBytes = int(endpointFileShare * float64(d.FolderBytes))
	available := l.MemoryBytes - programBytes - d.FolderBytes - d.ReserveBytes
	free := float64(available) - baseHeapBytes/workingShare
	for _, bytes := range leastBytes {
		free -= float64(bytes) / workingShare
	}
	d.MaxCalls = maxCalls(l, free)
	d.SocketBytes = (socketsPerCall*d.MaxCalls + agentSockets) * OutgoingSocketBytes
	free -= float64(d.SocketBytes)
	d.MaxConnections = max(leastConnections, min(l.Descriptors/descriptorsPerConnection, int(clientShare*free/clientBytes)))
	rest := free - float64(d.MaxConnections)*clientBytes
	d.Backlog = max(leastConnections, min(maxBacklog, int(max(queueShare*free, spareQueueShare*rest)/QueuedSocketBytes)))
	clientSockets := int(socketsPerClient * float64(d.MaxConnections))
	d.SocketBytes += d.Backlog*QueuedSocketBytes + clientSockets*ClientSocketBytes
	rest -= float64(d.Backlog * QueuedSocketBytes)
	d.Bytes[ReceiveBuffers] = int(max(0, receiveShare*rest))
	d.SocketBytes += d.Bytes[ReceiveBuffers]
	d.HeapBytes = available - d.SocketBytes
	d.divideHeap()
	d.MaxEndpoints = d.Bytes[List] / endpointBytes
	d.ScarceBytes = min(d.Bytes[Messages], int(ledgerShare*float64(d.FolderBytes-d.EndpointFileBytes)))
	return d
}

const (
	// socketsPerClient counts, beside a connection, the parts of those that linger and of those that were evicted.
	socketsPerClient = 1 + 2.0/LingerDivisor
	// heapPerClient is reserved for a connection, with its part of those that linger.
	heapPerClient = ConnectionBytes + LingerBytes/LingerDivisor
	// clientBytes is what a connection takes of the memory, heap and sockets.
	clientBytes = socketsPerClient*ClientSocketBytes + heapPerClient/stackShare
)

// maxCalls returns the number of calls in flight whose sockets fit into their part of the free memory.
func maxCalls(l Limits, free float64) int {
	sockets := min(int(outgoingShare*free/OutgoingSocketBytes), l.Descriptors/descriptorsPerConnection)
	return min(max(leastCalls, l.MaxCalls), max(leastCalls, (sockets-agentSockets)/socketsPerCall))
}

// divideHeap divides the heap among the purposes.
func (d *Division) divideHeap() {
	d.Bytes[Connections] = d.MaxConnections * heapPerClient
	working := workingShare*(float64(d.HeapBytes)-float64(d.Bytes[Connections])/stackShare) - baseHeapBytes
	spare := working
	for _, bytes := range leastBytes {
		spare -= float64(bytes)
	}
	for p := Requests; p <= List; p++ {
		d.Bytes[p] = leastBytes[p] + int(shares[p]*spare)
	}
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
