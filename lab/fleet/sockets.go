package fleet

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"

	"orchiddrift/sock"
)

// socketMemory is the memory that the kernel holds for a TCP socket.
type socketMemory struct {
	local netip.AddrPort
	inode uint32 // 0 for a socket in an accept queue, or whose process has closed it
	bytes int    // received and unread, queued to send, and allocated ahead
}

// Layout of the messages of sock_diag(7), in bytes.
const (
	diagRequestSize = 56 // inet_diag_req_v2
	diagMessageSize = 72 // inet_diag_msg
	diagSourcePort  = 4
	diagSourceAddr  = 8
	diagInode       = 68
)

const (
	sockDiagByFamily  = 20 // SOCK_DIAG_BY_FAMILY
	inetDiagSKMemInfo = 7  // INET_DIAG_SKMEMINFO
	// diagTimeout bounds the wait for the kernel's answer.
	diagTimeout = time.Second
)

// The values of SK_MEMINFO that are memory.
const (
	memInfoReceived  = 0 // SK_MEMINFO_RMEM_ALLOC
	memInfoForward   = 4 // SK_MEMINFO_FWD_ALLOC
	memInfoQueued    = 5 // SK_MEMINFO_WMEM_QUEUED
	memInfoBacklog   = 7 // SK_MEMINFO_BACKLOG
	memInfoValueSize = 4
)

// readSockets returns the IPv4 TCP sockets of this machine that are connected or being closed.
func readSockets() ([]socketMemory, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, err
	}
	defer unix.Close(fd)
	timeout := unix.NsecToTimeval(diagTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, err
	}
	if err := unix.Sendto(fd, diagRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, err
	}
	var sockets []socketMemory
	for buffer := make([]byte, 64<<10); ; {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if err != nil {
			return sockets, err
		}
		messages, err := syscall.ParseNetlinkMessage(buffer[:n])
		if err != nil {
			return sockets, err
		}
		for _, m := range messages {
			switch m.Header.Type {
			case unix.NLMSG_DONE:
				return sockets, nil
			case unix.NLMSG_ERROR:
				return sockets, errors.New("sock_diag is refused")
			}
			if s, ok := parseSocket(m.Data); ok {
				sockets = append(sockets, s)
			}
		}
	}
}

// diagRequest returns the request for all IPv4 TCP sockets but the listening ones, with their memory.
func diagRequest() []byte {
	b := make([]byte, unix.NLMSG_HDRLEN+diagRequestSize)
	binary.NativeEndian.PutUint32(b[0:], uint32(len(b)))
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	request := b[unix.NLMSG_HDRLEN:]
	const stateListen = 10 // TCP_LISTEN
	request[0], request[1], request[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(inetDiagSKMemInfo-1)
	binary.NativeEndian.PutUint32(request[4:], 0xfff&^(1<<stateListen))
	return b
}

// parseSocket parses an inet_diag_msg with its attributes. It reports whether it is one of a full socket: what is left of a connection in
// TIME_WAIT is no memory of its process.
func parseSocket(data []byte) (s socketMemory, ok bool) {
	if len(data) < diagMessageSize {
		return s, false
	}
	s = socketMemory{inode: binary.NativeEndian.Uint32(data[diagInode:]), bytes: sock.StructureBytes,
		local: netip.AddrPortFrom(netip.AddrFrom4([4]byte(data[diagSourceAddr:])), binary.BigEndian.Uint16(data[diagSourcePort:]))}
	for attributes := data[diagMessageSize:]; len(attributes) >= unix.SizeofRtAttr; {
		size := int(binary.NativeEndian.Uint16(attributes))
		if size < unix.SizeofRtAttr || size > len(attributes) {
			break
		}
		values := attributes[unix.SizeofRtAttr:size]
		if binary.NativeEndian.Uint16(attributes[2:]) == inetDiagSKMemInfo && len(values) > memInfoBacklog*memInfoValueSize {
			ok = true
			for _, i := range []int{memInfoReceived, memInfoForward, memInfoQueued, memInfoBacklog} {
				s.bytes += int(binary.NativeEndian.Uint32(values[i*memInfoValueSize:]))
			}
		}
		attributes = attributes[min(len(attributes), (size+unix.NLMSG_ALIGNTO-1)&^(unix.NLMSG_ALIGNTO-1)):]
	}
	return s, ok
}

// ofDispatcher returns the number and the memory of the sockets of a dispatcher: those at its address, also in the accept queue, and the
// others of its process.
func ofDispatcher(sockets []socketMemory, address string, inodes map[uint32]bool) (count, bytes int) {
	local, _ := netip.ParseAddrPort(address)
	for _, s := range sockets {
		if s.local == local || inodes[s.inode] {
			count++
			bytes += s.bytes
		}
	}
	return count, bytes
}

// socketInodes returns the inodes of a process's sockets.
func socketInodes(proc procfs.Proc) map[uint32]bool {
	inodes := map[uint32]bool{}
	targets, _ := proc.FileDescriptorTargets() // a process that has ended has none
	for _, target := range targets {
		var inode uint32
		if strings.HasPrefix(target, "socket:") {
			if _, err := fmt.Sscanf(target, "socket:[%d]", &inode); err == nil {
				inodes[inode] = true
			}
		}
	}
	return inodes
}
