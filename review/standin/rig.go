package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case has started, and its record.
type rig struct {
	trouble bool
	started time.Time
	folder  string // temporary; holds configurations, lasting folders and logs
	command string // of the deploy file

	mu  sync.Mutex // guards out
	out *os.File   // the record; each line is written at once, so that it is there however the case ends

	dispatchers []*dispatcher
}

// newRig opens the record, to which it appends.
func newRig(recordPath string, trouble bool) (*rig, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, fmt.Errorf("not in the root of the repository: %w", err)
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file has no run")
	}
	f, err := os.OpenFile(recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, started: time.Now(), folder: temp, command: string(run[1]), out: f}
	r.record("trouble: %v", trouble)
	return r, nil
}

// record writes a line with the time since the start.
func (r *rig) record(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, d := range r.dispatchers {
		d.kill()
	}
	_ = os.RemoveAll(r.folder)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Close()
}

// sleepUntil waits until a time since the start, in seconds.
func (r *rig) sleepUntil(seconds float64) {
	time.Sleep(time.Until(r.started.Add(time.Duration(seconds * float64(time.Second)))))
}

// must panics on an error, so that the case counts as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// listen returns a listener on a free port of the loopback address.
func listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	return ln
}

// freeAddr returns a loopback address that nobody listens on.
func freeAddr() string {
	ln := listen()
	defer ln.Close()
	return ln.Addr().String()
}

// object is a JSON object.
type object = map[string]any

// dispatcher is a process of the project.
type dispatcher struct {
	rig     *rig
	name    string
	addr    string
	config  object
	cmd     *exec.Cmd
	ended   chan struct{}
	stopped bool // the case ended it
	began   time.Time
}

// newDispatcher describes a dispatcher that is not started yet.
func (r *rig) newDispatcher(name, discovery string, known list, settings object) *dispatcher {
	d := &dispatcher{rig: r, name: name, addr: freeAddr()}
	d.config = object{"name": name, "listen": d.addr, "discovery": discovery, "known": known, "settings": settings,
		"limits": object{"cores": 1, "memory_mb": 192, "sockets": 1024, "disk_mb": 3}}
	must(os.MkdirAll(filepath.Join(r.folder, name, "state"), 0o700))
	r.dispatchers = append(r.dispatchers, d)
	return d
}

// path returns the path of a file of the dispatcher.
func (d *dispatcher) path(name string) string { return filepath.Join(d.rig.folder, d.name, name) }

// start starts the process by the command of the deploy file and waits until it is ready.
func (d *dispatcher) start() {
	d.config["seed"] = fmt.Sprintf("%x", time.Now().UnixNano())
	text, err := json.Marshal(d.config)
	must(err)
	must(os.WriteFile(d.path("config.json"), text, 0o600))
	log, err := os.OpenFile(d.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	d.cmd = exec.Command("/bin/sh", "-c", d.rig.command)
	d.cmd.Env = append(os.Environ(), "ROUTER_NAME="+d.name, "ROUTER_LISTEN="+d.addr, "ROUTER_STATE="+d.path("state"),
		"ROUTER_CONFIG="+d.path("config.json"))
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	d.began, d.stopped = time.Now(), false
	must(d.cmd.Start())
	d.rig.record("dispatcher %s starts, pid %d, %s", d.name, d.cmd.Process.Pid, d.addr)
	d.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) { _ = cmd.Wait(); close(ended) }(d.cmd, d.ended)
	for time.Since(d.began) < 10*time.Second && d.alive() {
		if resp, err := http.Get("http://" + d.addr + "/_health"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				d.rig.record("dispatcher %s is ready", d.name)
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("dispatcher " + d.name + " is not ready: " + d.logTail())
}

// alive reports whether the process runs.
func (d *dispatcher) alive() bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// kill ends the process with SIGKILL and waits for its end.
func (d *dispatcher) kill() {
	if !d.alive() {
		return
	}
	d.stopped = true
	d.rig.record("dispatcher %s: SIGKILL", d.name)
	_ = syscall.Kill(-d.cmd.Process.Pid, syscall.SIGKILL)
	<-d.ended
}

// logTail returns the end of the log.
func (d *dispatcher) logTail() string {
	text, _ := os.ReadFile(d.path("log"))
	return string(text[max(0, len(text)-600):])
}
