package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/simwire"
)

// host reads batches, calls the instances' modules and writes their answers.
type host struct {
	in        *simwire.Reader
	out       *bufio.Writer
	now       float64 // clock of the batch, seconds
	lists     map[int64][]directory.Endpoint
	instances map[int64]*instance
	current   int64 // the instance that events are for
	writing   int64 // the instance that actions are by
	touched   []int64
}

// instance is one dispatcher: its module, its list, and what it has in hand.
type instance struct {
	module *decide.Scheduler
	dir    *directory.Directory
	hand   map[string]decide.Notification
	out    map[string]int // pushes without outcome
	over   map[string]bool
	alarm  float64 // when the next timer rings
}

const none = -1

func (h *host) run() error {
	for {
		line, err := h.in.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if line.Name != "ROUND" {
			return fmt.Errorf("line %d: %s where ROUND should stand", line.Number, line.Name)
		}
		if err := line.RequireValues(2); err != nil {
			return err
		}
		clock, err := line.Float(0, "at-time-ms")
		if err != nil {
			return err
		}
		batch, err := line.Int(1, "round")
		if err != nil {
			return err
		}
		h.now = clock / 1000
		h.current, h.writing, h.touched = none, none, h.touched[:0]
		if err := h.batch(); err != nil {
			return err
		}
		fmt.Fprintf(h.out, "END %d\n", batch)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// batch takes the events in order, then lets each instance that had one place what is due.
func (h *host) batch() error {
	for {
		line, err := h.in.Next()
		if errors.Is(err, io.EOF) {
			return errors.New("input ends within a batch")
		}
		if err != nil {
			return err
		}
		if line.Name == "EOB" {
			break
		}
		if err := h.event(line); err != nil {
			return err
		}
	}
	for _, i := range h.touched {
		if x := h.instances[i]; x != nil {
			h.guarded(i, func() { h.settle(i, x) })
		}
	}
	return nil
}

// guarded runs decisions for an instance; a panic there is the wire's fault action.
func (h *host) guarded(i int64, decisions func()) {
	defer func() {
		if p := recover(); p != nil {
			h.act(i, "CRASH %v", p)
		}
	}()
	decisions()
}

// settle asks for turns until there is none now, then sets a timer for the next.
func (h *host) settle(i int64, x *instance) {
	for {
		wait, id := x.module.NextTurn(h.now)
		if wait <= 0 {
			h.answer(i, x, x.module.Place(h.now, x.hand[id]))
			continue
		}
		at := h.now + wait
		if math.IsInf(wait, 1) || x.alarm > h.now && x.alarm <= at {
			return
		}
		x.alarm = at
		h.act(i, "AFTER %.3f wake", math.Ceil(wait*1e6)/1e3)
		return
	}
}

// answer writes one answer of the module as an action.
func (h *host) answer(i int64, x *instance, a decide.Decision) {
	switch a.Action {
	case decide.Push:
		x.out[a.NotificationID]++
		h.act(i, "HAND_OFF %s %.3f %s", a.NotificationID, a.Timeout*1000, a.Endpoint)
	case decide.Throttle:
		h.act(i, "NOT_NOW %s %.3f", a.NotificationID, a.RetryIn*1000)
		x.heard(h.now, a.NotificationID)
	case decide.Expire:
		h.act(i, "LOSE %s", a.NotificationID)
		x.heard(h.now, a.NotificationID)
	case decide.CancelPush:
		h.act(i, "CALL_OFF %s %d", a.NotificationID, a.PushNumber)
	case decide.ProbeEndpoint:
		h.act(i, "INSPECT %s", a.Endpoint)
	case decide.WatchList:
		h.act(i, "OBSERVE 1")
	case decide.FetchList:
		h.act(i, "RESOLVE")
	case decide.CloseIdle:
		h.act(i, "CLOSE %s", a.Endpoint)
	case decide.Broadcast:
		h.act(i, "MEMO_TO -1 %x", a.Body)
	}
}

// heard tells the module that its final answer has reached the client, as it has here with the reply.
func (x *instance) heard(now float64, id string) {
	x.module.HandleOutcome(now, decide.Outcome{NotificationID: id, Result: decide.Withdrawn, Final: true})
	x.finish(id)
}

// finish marks a notification answered and lets go of it once no push is out.
func (x *instance) finish(id string) {
	x.over[id] = true
	if x.out[id] == 0 {
		delete(x.hand, id)
		delete(x.out, id)
		delete(x.over, id)
	}
}

func (h *host) act(i int64, format string, values ...any) {
	if h.writing != i {
		h.writing = i
		fmt.Fprintf(h.out, "BY %d\n", i)
	}
	fmt.Fprintf(h.out, format+"\n", values...)
}
