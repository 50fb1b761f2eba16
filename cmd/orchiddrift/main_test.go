package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestMain makes the test binary run as the program if ORCHIDDRIFT_TEST is set.
func TestMain(m *testing.M) {
	switch os.Getenv("ORCHIDDRIFT_TEST") {
	case "run":
		main()
	case "args": // arguments on the command line come from the program itself, which starts a dispatcher
		args := os.Args[1:]
		if len(args) == 0 {
			args = strings.Split(os.Getenv("ORCHIDDRIFT_ARGS"), "\n")
		}
		os.Exit(execute(args))
	default:
		os.Exit(m.Run())
	}
}

const settingsJSON = `{"balancers":1,"kinds":["small"],"azs":["dc"],"tick-ms":5,"membership-mode":"push",
	"weight-kind":"nominal","family-info":{"max-calls":4,"batch-by-kind":[1],"separate-routes":[false]},
	"policy-limits":{"most-held":20,"max-attempts":8,"dial-timeout-ms":1500,"idle-close-ms":15000},
	"guarantees":{"cold-from":0.2,"cold-ms":14000,"overload-factor":2,"fall-ms":1500,"turn-gap-ms":0},
	"classes":[{"name":"order","repeat":"single_shot","group":"all","promise-ms":2000,"deadline-ms":9000,
	"importance":3,"sequential":true},{"name":"reading","repeat":"free","group":"all","promise-ms":2000,"deadline-ms":9000,"importance":1}]}`

// environment is an agent that receives notices, one endpoint, and the process of a dispatcher between them.
type environment struct {
	dir, listen string
	agent       *httptest.Server
	events      chan string
	process     *exec.Cmd
	log         strings.Builder
}

// newEnvironment starts the agent and the endpoint. A notification's body tells the endpoint to close the connection or to
// wait before it answers.
func newEnvironment() *environment {
	w := &environment{events: make(chan string, 99)}
	w.dir, _ = os.MkdirTemp("", "orchiddrift")
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	w.listen = ln.Addr().String()
	ln.Close()
	endpoint := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.events <- fmt.Sprint("pushed ", r.Header.Get("X-Call-Id"))
		if string(body) == "hang up" {
			panic(http.ErrAbortHandler)
		}
		if wait, err := time.ParseDuration(string(body)); err == nil {
			time.Sleep(wait)
		}
	}))
	w.agent = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/notices" {
			body, _ := io.ReadAll(r.Body)
			w.events <- strings.TrimSpace(string(body))
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		<-r.Context().Done()
	}))
	known := map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "e1", "kind": "small",
		"addr": strings.TrimPrefix(endpoint.URL, "http://"), "cell": 7, "state": "ready", "weight": 10}}}
	text, _ := json.Marshal(map[string]any{"name": "n1", "seed": "8c1f30d27a5be964", "known": known,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": json.RawMessage(settingsJSON)})
	if err := os.WriteFile(filepath.Join(w.dir, "config.json"), text, 0o600); err != nil {
		panic(err)
	}
	return w
}

// start runs the program and waits until it is ready.
func (w *environment) start() {
	w.process = exec.Command(os.Args[0])
	w.process.Env = append(os.Environ(), "ORCHIDDRIFT_TEST=run", "ROUTER_CONFIG="+filepath.Join(w.dir, "config.json"),
		"ROUTER_LISTEN="+w.listen, "ROUTER_STATE="+w.dir, "ROUTER_DISCOVERY="+strings.TrimPrefix(w.agent.URL, "http://"))
	w.process.Stderr = &w.log
	if err := w.process.Start(); err != nil {
		panic(err)
	}
	for range 500 {
		resp, err := http.Get("http://" + w.listen + "/_health")
		if err == nil {
			resp.Body.Close()
			fmt.Println("ready")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("never ready:", w.log.String())
}

// submit submits a notification with key "k" and prints the answer.
func (w *environment) submit(id, topic, body string) {
	req, _ := http.NewRequest("POST", "http://"+w.listen+"/api", strings.NewReader(body))
	for name, value := range map[string]string{"X-Call-Id": id, "X-Call-Class": topic, "X-Caller": "acme",
		"Cookie": "about=k", "X-Budget": "9000m", "X-Addressing": "dest=7"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Println(id, "got no answer")
		return
	}
	resp.Body.Close()
	fmt.Println(id, resp.StatusCode, resp.Close)
}

// printEvent prints the next event at the agent or the endpoint.
func (w *environment) printEvent() {
	select {
	case e := <-w.events:
		fmt.Println(e)
	case <-time.After(5 * time.Second):
		fmt.Println("no event within 5 s:", w.log.String())
	}
}

func (w *environment) signalAndWait(signal os.Signal) {
	_ = w.process.Process.Signal(signal)
	fmt.Println(w.process.Wait())
}

// The process is killed while a push of a single_shot notification is out. After the restart the notification is given
// up, and the next one of its key is pushed.
func Example_crash() {
	w := newEnvironment()
	defer os.RemoveAll(w.dir)
	w.start()
	w.submit("a1", "order", "10s")
	w.printEvent()
	w.submit("a2", "order", "")
	w.signalAndWait(syscall.SIGKILL)
	w.start()
	w.printEvent()
	w.printEvent()
	w.signalAndWait(syscall.SIGTERM)
	// Output:
	// ready
	// a1 202 false
	// pushed a1
	// a2 202 false
	// signal: killed
	// ready
	// {"message":"a1","outcome":"given_up"}
	// pushed a2
	// <nil>
}

// In a graceful stop clients are answered and their connections closed, pushes that are out may end, and the process exits.
func Example_gracefulStop() {
	w := newEnvironment()
	defer os.RemoveAll(w.dir)
	w.start()
	w.submit("a1", "order", "700ms")
	w.printEvent()
	_ = w.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	w.submit("a2", "reading", "")
	w.printEvent()
	fmt.Println(w.process.Wait())
	w.submit("a3", "reading", "")
	w.start()
	w.signalAndWait(syscall.SIGTERM)
	fmt.Println(strings.Count(w.log.String(), `"owed":0`), "starts with nothing pending")
	// Output:
	// ready
	// a1 202 false
	// pushed a1
	// a2 202 true
	// pushed a2
	// <nil>
	// a3 got no answer
	// ready
	// <nil>
	// 2 starts with nothing pending
}

// An invalid configuration ends the program with a one-line error.
func Example_invalidConfiguration() {
	w := newEnvironment()
	defer os.RemoveAll(w.dir)
	path := filepath.Join(w.dir, "config.json")
	good, _ := os.ReadFile(path)
	for _, change := range [][2]string{{`"memory_mb":192`, `"memory_mb":0`}, {`"tick-ms":5`, `"tick-ms":"soon"`},
		{`"settings"`, `"sittings"`}, {`"cell":7`, `"cell":`}, {`"limits"`, `"limits":3,"was"`}} {
		text := strings.Replace(string(good), change[0], change[1], 1)
		_ = os.WriteFile(path, []byte(text), 0o600)
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "ORCHIDDRIFT_TEST=run", "ROUTER_CONFIG="+path, "ROUTER_LISTEN="+w.listen,
			"ROUTER_STATE="+w.dir, "ROUTER_DISCOVERY=127.0.0.1:1")
		out, err := p.CombinedOutput()
		fmt.Print(strings.ReplaceAll(string(out), w.dir, "DIR"), err, "\n")
	}
	// Output:
	// orchiddrift: DIR/config.json: limits cannot be {Cores:1 MemoryMB:0 Sockets:1024 DiskMB:3}
	// exit status 1
	// orchiddrift: settings: field tick-ms cannot be "soon"
	// exit status 1
	// orchiddrift: DIR/config.json: settings are missing
	// exit status 1
	// orchiddrift: DIR/config.json: invalid character ',' looking for beginning of value
	// exit status 1
	// orchiddrift: DIR/config.json: json: cannot unmarshal number into Go struct field config.limits of type dispatcher.limits
	// exit status 1
}

// A SIGHUP applies the discovery address of the file, also if ROUTER_DISCOVERY is set. An invalid configuration changes
// nothing.
func Example_reload() {
	w, other := newEnvironment(), newEnvironment()
	defer os.RemoveAll(w.dir)
	defer os.RemoveAll(other.dir)
	w.start()
	path := filepath.Join(w.dir, "config.json")
	good, _ := os.ReadFile(path)
	for _, text := range []string{`{"discovery":`, strings.Replace(string(good), "{", fmt.Sprintf(`{"discovery":%q,`,
		strings.TrimPrefix(other.agent.URL, "http://")), 1)} {
		_ = os.WriteFile(path, []byte(text), 0o600)
		_ = w.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
	}
	w.submit("a1", "reading", "")
	w.printEvent()
	w.agent.CloseClientConnections()
	w.submit("a2", "order", "hang up")
	other.printEvent()
	w.signalAndWait(syscall.SIGTERM)
	fmt.Println(strings.Count(w.log.String(), "configuration not reloaded"), strings.Count(w.log.String(), `"moved":true`))
	// Output:
	// ready
	// a1 202 false
	// pushed a1
	// a2 202 false
	// {"message":"a2","outcome":"given_up"}
	// <nil>
	// 1 1
}
