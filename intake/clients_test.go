package intake

import (
	"fmt"
	"net"
	"runtime"
	"time"
)

// When the connection limit is reached, a connection whose request has arrived but was not read yet must not be evicted, which
// would drop the request. The silent connection is evicted although it is newer.
func Example_unreadRequest() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	listener := &limitListener{Listener: ln, maxConns: 2, open: map[*clientConn]bool{}}
	withRequest := dialAndAccept(listener)
	fmt.Fprint(withRequest, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	silent := dialAndAccept(listener)
	time.Sleep(20 * time.Millisecond) // the request arrives over loopback within this time
	third := dialAndAccept(listener)
	fmt.Println("closed: with request", closedByPeer(withRequest), "silent", closedByPeer(silent))
	runtime.KeepAlive(listener) // keeps the accepted connections from being collected
	runtime.KeepAlive(third)
	// Output:
	// closed: with request false silent true
}

// dialAndAccept connects and accepts the connection without reading from it.
func dialAndAccept(listener *limitListener) net.Conn {
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		panic(err)
	}
	if _, err := listener.Accept(); err != nil {
		panic(err)
	}
	return conn
}

// closedByPeer reports whether the other side has closed a connection.
func closedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}
