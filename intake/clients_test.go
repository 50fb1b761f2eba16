package intake

import (
	"fmt"
	"net"
	"runtime"
	"time"
)

// Where one more comes than may be open, a connection whose request has come and is not read yet is kept, and the one
// that says nothing makes room, though it came later.
func Example_unreadRequest() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	l := &limitListener{Listener: ln, maxConns: 2, open: map[*clientConn]bool{}}
	asks := dialAndAccept(l)
	fmt.Fprint(asks, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	silent := dialAndAccept(l)
	time.Sleep(20 * time.Millisecond) // loopback has brought the request by then
	third := dialAndAccept(l)
	fmt.Println("closed: asks", closedByPeer(asks), "silent", closedByPeer(silent))
	runtime.KeepAlive(l) // it holds the accepted sides
	runtime.KeepAlive(third)
	// Output:
	// closed: asks false silent true
}

// dialAndAccept connects and lets the listener accept it; nobody reads.
func dialAndAccept(l *limitListener) net.Conn {
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		panic(err)
	}
	if _, err := l.Accept(); err != nil {
		panic(err)
	}
	return conn
}

// closedByPeer tells whether the other side has ended a connection.
func closedByPeer(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	e, ok := err.(net.Error)
	return !ok || !e.Timeout()
}
