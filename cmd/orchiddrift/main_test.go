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
	case "args": // if there are arguments, the program under test has started itself as a dispatcher
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
	dir, listen string // folder with the configuration and the state; listen address
	agent       *httptest.Server
	events      chan string // pushes to the endpoint and notices to the agent
	process     *exec.Cmd
	log         strings.Builder
}

// newEnvironment starts the agent and the endpoint and writes the dispatcher's configuration. For a body of "hang up" the
// endpoint closes the connection without an answer; for a body that is a duration it answers after that time.
func newEnvironment() *environment {
	env := &environment{events: make(chan string, 99)}
	env.dir, _ = os.MkdirTemp("", "orchiddrift")
	ln, _ := net.Listen("tcp", "127.0.0.1:0")
	env.listen = ln.Addr().String()
	ln.Close()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		env.events <- fmt.Sprint("pushed ", r.Header.Get("X-Call-Id"))
		if string(body) == "hang up" {
			panic(http.ErrAbortHandler)
		}
		if wait, err := time.ParseDuration(string(body)); err == nil {
			time.Sleep(wait)
		}
	}))
	env.agent = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/notices" {
			body, _ := io.ReadAll(r.Body)
			env.events <- strings.TrimSpace(string(body))
			w.WriteHeader(http.StatusNoContent)
			return
		}
		<-r.Context().Done()
	}))
	known := map[string]any{"version": 1, "full": true, "servers": []any{map[string]any{"id": "e1", "kind": "small",
		"addr": strings.TrimPrefix(endpoint.URL, "http://"), "cell": 7, "state": "ready", "weight": 10}}}
	text, _ := json.Marshal(map[string]any{"name": "n1", "seed": "8c1f30d27a5be964", "known": known,
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
		"settings": json.RawMessage(settingsJSON)})
	if err := os.WriteFile(filepath.Join(env.dir, "config.json"), text, 0o600); err != nil {
		panic(err)
	}
	return env
}

// start runs the program and waits until it is ready.
func (env *environment) start() {
	env.process = exec.Command(os.Args[0])
	env.process.Env = append(os.Environ(), "ORCHIDDRIFT_TEST=run", "ROUTER_CONFIG="+filepath.Join(env.dir, "config.json"),
		"ROUTER_LISTEN="+env.listen, "ROUTER_STATE="+env.dir, "ROUTER_DISCOVERY="+strings.TrimPrefix(env.agent.URL, "http://"))
	env.process.Stderr = &env.log
	if err := env.process.Start(); err != nil {
		panic(err)
	}
	for range 500 {
		resp, err := http.Get("http://" + env.listen + "/_health")
		if err == nil {
			resp.Body.Close()
			fmt.Println("ready")
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	fmt.Println("never ready:", env.log.String())
}

// submit submits a notification with key "k" and prints the status and whether the answer closes the connection.
func (env *environment) submit(id, topic, body string) {
	req, _ := http.NewRequest("POST", "http://"+env.listen+"/api", strings.NewReader(body))
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
func (env *environment) printEvent() {
	select {
	case e := <-env.events:
		fmt.Println(e)
	case <-time.After(5 * time.Second):
		fmt.Println("no event within 5 s:", env.log.String())
	}
}

// signalAndWait sends a signal to the process, waits until it has exited and prints how it ended.
func (env *environment) signalAndWait(signal os.Signal) {
	_ = env.process.Process.Signal(signal)
	fmt.Println(env.process.Wait())
}

// The process is killed while a push of a single_shot notification is out. After the restart the notification is given
// up, and the next one of its key is pushed.
func Example_crash() {
	env := newEnvironment()
	defer os.RemoveAll(env.dir)
	env.start()
	env.submit("a1", "order", "10s")
	env.printEvent()
	env.submit("a2", "order", "")
	env.signalAndWait(syscall.SIGKILL)
	env.start()
	env.printEvent()
	env.printEvent()
	env.signalAndWait(syscall.SIGTERM)
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

// During a graceful stop clients are answered and their connections closed, pushes that are out may end, and then the process
// exits.
func Example_gracefulStop() {
	env := newEnvironment()
	defer os.RemoveAll(env.dir)
	env.start()
	env.submit("a1", "order", "700ms")
	env.printEvent()
	_ = env.process.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	env.submit("a2", "reading", "")
	env.printEvent()
	fmt.Println(env.process.Wait())
	env.submit("a3", "reading", "")
	env.start()
	env.signalAndWait(syscall.SIGTERM)
	fmt.Println(strings.Count(env.log.String(), `"owed":0`), "starts with nothing pending")
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
	env := newEnvironment()
	defer os.RemoveAll(env.dir)
	path := filepath.Join(env.dir, "config.json")
	valid, _ := os.ReadFile(path)
	for _, change := range [][2]string{{`"memory_mb":192`, `"memory_mb":0`}, {`"tick-ms":5`, `"tick-ms":"soon"`},
		{`"settings"`, `"sittings"`}, {`"cell":7`, `"cell":`}, {`"limits"`, `"limits":3,"was"`}} {
		text := strings.Replace(string(valid), change[0], change[1], 1)
		_ = os.WriteFile(path, []byte(text), 0o600)
		p := exec.Command(os.Args[0])
		p.Env = append(os.Environ(), "ORCHIDDRIFT_TEST=run", "ROUTER_CONFIG="+path, "ROUTER_LISTEN="+env.listen,
			"ROUTER_STATE="+env.dir, "ROUTER_DISCOVERY=127.0.0.1:1")
		out, err := p.CombinedOutput()
		fmt.Print(strings.ReplaceAll(string(out), env.dir, "DIR"), err, "\n")
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
	env, other := newEnvironment(), newEnvironment()
	defer os.RemoveAll(env.dir)
	defer os.RemoveAll(other.dir)
	env.start()
	path := filepath.Join(env.dir, "config.json")
	valid, _ := os.ReadFile(path)
	for _, text := range []string{`{"discovery":`, strings.Replace(string(valid), "{", fmt.Sprintf(`{"discovery":%q,`,
		strings.TrimPrefix(other.agent.URL, "http://")), 1)} {
		_ = os.WriteFile(path, []byte(text), 0o600)
		_ = env.process.Process.Signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
	}
	env.submit("a1", "reading", "")
	env.printEvent()
	env.agent.CloseClientConnections()
	env.submit("a2", "order", "hang up")
	other.printEvent()
	env.signalAndWait(syscall.SIGTERM)
	fmt.Println(strings.Count(env.log.String(), "configuration not reloaded"), strings.Count(env.log.String(), `"moved":true`))
	// Output:
	// ready
	// a1 202 false
	// pushed a1
	// a2 202 false
	// {"message":"a2","outcome":"given_up"}
	// <nil>
	// 1 1
}
