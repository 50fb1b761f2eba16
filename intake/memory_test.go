package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"orchiddrift/admission"
	"orchiddrift/message"
)

// requestWithBody returns a request with an ID and a body of some bytes, with a length or chunked.
func requestWithBody(id string, size int, chunked bool) string {
	body, framing := strings.Repeat("b", size), fmt.Sprintf("Content-Length: %d", size)
	if chunked {
		framing = "Transfer-Encoding: chunked"
		if size > 0 {
			body = fmt.Sprintf("%x\r\n%s\r\n", size, body)
		}
		body += "0\r\n\r\n"
	}
	return strings.Replace(requestWithID(id), "Content-Length: 2\r\n\r\nhi", framing+"\r\n\r\n"+body, 1)
}

// serveWithRequests serves with an account for bodies of the given capacity, and room for any messages.
func serveWithRequests(t *testing.T, capacity int) (*testServer, *admission.Budget) {
	t.Helper()
	d := admission.Division{MaxMessages: 99, ScarceBytes: 10 << 20}
	d.Bytes[admission.Requests], d.Bytes[admission.Messages], d.Bytes[admission.Identifiers] = capacity, 10<<20, 10<<20
	d.Bytes[admission.Connections] = 100 * admission.ConnectionBytes
	budget := admission.NewBudget(d, nil)
	ts := newTestServer(t)
	ts.SetAdmission(budget, admission.NewRoom(d, budget))
	ts.serve()
	return ts, budget
}

// Guards against bodies that are read into memory which was not reserved: at every boundary, with a length and chunked, a body that does
// not fit is refused before it is read, the connection goes on, a small one always fits, and what is reserved is given back.
func TestBodiesNeedMemory(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		ts, budget := serveWithRequests(t, 10_000)
		conn := ts.dial(t)
		in := bufio.NewReader(conn)
		for i, c := range []struct{ size, want int }{{0, 202}, {1, 202}, {smallBody, 202}, {smallBody + 1, 202}, {10_000, 202}, {10_001, 503},
			{maxBodyBytes, 503}, {5, 202}, {60_000, 503}, {10_000, 202}, {maxBodyBytes + 1, 400}} {
			go fmt.Fprint(conn, requestWithBody(fmt.Sprint("a", i), c.size, chunked))
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != c.want || resp.Close != (c.want == 400) {
				t.Fatalf("chunked %v, %d bytes: %v, %v", chunked, c.size, resp, err)
			}
			if wait := resp.Header.Get("Retry-After"); (wait != "") != (c.want == 503) {
				t.Errorf("chunked %v, %d bytes: Retry-After %q", chunked, c.size, wait)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		if reserved := budget.Usage()[admission.Requests].Reserved; reserved != 0 {
			t.Errorf("%d bytes still reserved", reserved)
		}
	}
}

// Guards against a client that waits for permission to send its body: it gets it, or its refusal, and no body is taken for a request.
func TestExpectContinue(t *testing.T) {
	ts, _ := serveWithRequests(t, 3000)
	for size, want := range map[int]int{2500: 202, 4000: 503} {
		conn := ts.dial(t)
		request := strings.Replace(requestWithBody(fmt.Sprint("e", size), size, false), "Host: a", "Host: a\r\nExpect: 100-continue", 1)
		end := strings.Index(request, "\r\n\r\n") + 4
		fmt.Fprint(conn, request[:end])
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusContinue {
			fmt.Fprint(conn, request[end:])
			if resp, err = http.ReadResponse(in, nil); err != nil {
				t.Fatal(err)
			}
		}
		if resp.StatusCode != want || resp.Close != (want == 503) {
			t.Errorf("%d bytes: status %d, close %v", size, resp.StatusCode, resp.Close)
		}
	}
}

// Guards against heads that are read in another way at their largest size: 4,096 bytes with names of one byte are read, one more is not.
func TestLargestHead(t *testing.T) {
	ts, _ := serveWithRequests(t, 10_000)
	for extra, want := range map[int]int{0: 202, 1: 400} {
		conn := ts.dial(t)
		request := requestWithID(fmt.Sprint("h", extra))
		head := strings.Index(request, "\r\n\r\n") + 4
		missing := maxHeadBytes + extra - head
		fields := strings.Repeat("a:\r\n", missing/4-2)
		fields += "b:" + strings.Repeat("x", missing-len(fields)-4) + "\r\n"
		request = strings.Replace(request, "Host: a\r\n", "Host: a\r\n"+fields, 1)
		go fmt.Fprint(conn, request)
		if resp := readResponse(t, conn); resp.StatusCode != want {
			t.Errorf("%d bytes: status %d", maxHeadBytes+extra, resp.StatusCode)
		}
	}
}

// Guards against connections that keep the IDs of their requests, whatever their length.
func TestLongIDsAreNotKept(t *testing.T) {
	const connections, idBytes = 2000, 3900
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	remembered := make([]answeredRequests, connections)
	for i := range remembered {
		for n := range 2 * rememberedIDs {
			m := &message.Message{}
			m.ID = fmt.Sprint(strings.Repeat("i", idBytes), n)
			remembered[i].add(m)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	const perConnection = 4 * rememberedIDs * 64 // append leaves up to twice the room, before the oldest are dropped
	if grown := int(after.HeapAlloc) - int(before.HeapAlloc); grown > connections*perConnection {
		t.Errorf("%d bytes for each of %d connections", grown/connections, connections)
	}
	if !remembered[0].hasID(fmt.Sprint(strings.Repeat("i", idBytes), rememberedIDs)) {
		t.Error("an ID is not recognized")
	}
	runtime.KeepAlive(remembered)
}

// Guards against a client that is refused again and again and goes on at full speed: it pauses, while one that is refused a few times
// does not.
func TestPauseAfterRefusals(t *testing.T) {
	ts, _ := serveWithRequests(t, 10_000)
	ask := func(conn net.Conn, count int) time.Duration {
		start := time.Now()
		in := bufio.NewReader(conn)
		go fmt.Fprint(conn, strings.Repeat("GET /none HTTP/1.1\r\nHost: a\r\n\r\n", count))
		for range count {
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode != http.StatusNotFound {
				t.Fatal(resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		return time.Since(start)
	}
	const many = 40
	least := time.Duration(0)
	for n := 1; n <= many-freeUnproductive-1; n++ {
		least += min(time.Duration(n)*unproductivePause, maxUnproductivePause)
	}
	if took := ask(ts.dial(t), many); took < least {
		t.Errorf("%d refusals took %v, at least %v expected", many, took, least)
	}
	conn := ts.dial(t)
	ask(conn, freeUnproductive)
	fmt.Fprint(conn, requestWithID("good"))
	if resp := readResponse(t, conn); resp.StatusCode != http.StatusAccepted {
		t.Error(resp.StatusCode)
	}
}

// Guards against metrics whose labels clients can choose: whatever they send, the series are the same.
func TestMetricsHaveNoLabelsOfStrangers(t *testing.T) {
	ts, _ := serveWithRequests(t, 10_000)
	series := func() int {
		conn := ts.dial(t)
		defer conn.Close()
		fmt.Fprint(conn, "GET /_metrics HTTP/1.1\r\nHost: a\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		return strings.Count(string(body), "\n")
	}
	before := series()
	for i := range 50 {
		conn := ts.dial(t)
		fmt.Fprint(conn, strings.NewReplacer("order", fmt.Sprint("topic", i), "a1", fmt.Sprint("id", i), "/api", []string{"/api", fmt.Sprint("/p", i)}[i%2]).Replace(validRequest))
		readResponse(t, conn)
		conn.Close()
	}
	if after := series(); after != before {
		t.Errorf("%d series, %d before", after, before)
	}
}

// Guards against new connections that are closed, or unused ones that are evicted, while clients send the bodies of requests that were
// refused: those have their answer and make room first.
func TestRefusedRequestsMakeRoom(t *testing.T) {
	ts, _ := serveWithRequests(t, 0)
	request := requestWithBody("large", 60_000, false)
	var refused []net.Conn
	for range 10 { // as many as the server holds
		conn := ts.dial(t)
		fmt.Fprint(conn, request[:20_000])
		if resp := readResponse(t, conn); resp.StatusCode != http.StatusServiceUnavailable {
			t.Fatal(resp.StatusCode)
		}
		refused = append(refused, conn)
	}
	start := time.Now()
	for i := range 5 {
		conn := ts.dial(t)
		time.Sleep(10 * time.Millisecond) // the next one finds it unused
		defer func() {
			fmt.Fprint(conn, requestWithID(fmt.Sprint("good", i)))
			if resp := readResponse(t, conn); resp.StatusCode != http.StatusAccepted {
				t.Errorf("connection %d: status %d", i, resp.StatusCode)
			}
		}()
	}
	if took := time.Since(start); took > clientPatience {
		t.Errorf("five connections took %v", took)
	}
	for _, conn := range refused[:5] {
		_ = conn.SetReadDeadline(time.Now().Add(time.Second))
		if _, err := conn.Read(make([]byte, 1)); err == nil {
			t.Error("a connection with a refused request was answered once more")
		}
	}
}
