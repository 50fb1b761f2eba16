package main

import (
	"fmt"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/simwire"
)

// fields reads a line's values and keeps the first error.
type fields struct {
	simwire.Line
	err error
}

func read[T any](f *fields, v T, err error) T {
	if f.err == nil {
		f.err = err
	}
	return v
}

func (f *fields) text(i int, name string) string {
	v, err := f.Text(i, name)
	return read(f, v, err)
}

func (f *fields) float(i int, name string) float64 {
	v, err := f.Float(i, name)
	return read(f, v, err)
}

func (f *fields) seconds(i int, name string) float64 { return f.float(i, name) / 1000 }

func (f *fields) int(i int, name string) int64 {
	v, err := f.Int(i, name)
	return read(f, v, err)
}

func (f *fields) bool(i int, name string) bool {
	v, err := f.Bool(i, name)
	return read(f, v, err)
}

func (f *fields) report(i int, name string) map[string]float64 {
	v, err := f.LoadReport(i, name)
	return read(f, v, err)
}

// widths holds how many values each event has; boot settings follow the seed.
var widths = map[string]int{"TO": 1, "DOWN": 0, "DEFINE_LIST": 2, "UPDATE": 3, "REQ": 8, "UNDER_WAY": 4,
	"RESPONSE": 8, "CLIENT_GONE": 1, "ELAPSED": 1, "PROBE_RESULT": 4, "INBOX": 2}

// event turns one line into calls on the module.
func (h *host) event(line simwire.Line) error {
	f := &fields{Line: line}
	if line.Name == "NEW_INSTANCE" {
		if len(line.Values) == 0 {
			return line.RequireValues(1)
		}
	} else if width, ok := widths[line.Name]; !ok {
		return fmt.Errorf("line %d: unknown event %q", line.Number, line.Name)
	} else if err := line.RequireValues(width); err != nil {
		return err
	}
	switch line.Name {
	case "TO":
		h.current = f.int(0, "i")
		if f.err == nil && (h.current < 0 || line.Values[0] == simwire.Absent) {
			f.err = line.FieldError("i", line.Values[0])
		}
		return f.err
	case "DEFINE_LIST":
		return h.defineList(f)
	}
	if h.current == none {
		return fmt.Errorf("line %d: %s with no TO before it", line.Number, line.Name)
	}
	i := h.current
	if !slices.Contains(h.touched, i) {
		h.touched = append(h.touched, i)
	}
	if line.Name == "NEW_INSTANCE" {
		x, err := newInstance(line)
		if err != nil {
			return err
		}
		h.instances[i] = x
		return nil
	}
	x := h.instances[i]
	if x == nil {
		return fmt.Errorf("line %d: %s for instance %d, which is not running", line.Number, line.Name, i)
	}
	switch line.Name {
	case "DOWN":
		delete(h.instances, i)
	case "UPDATE":
		return h.update(f, x)
	case "REQ":
		ntf := decide.Notification{ID: f.text(0, "corr"), Topic: f.text(1, "grade"), Tenant: line.Optional(2),
			Key: line.Optional(3), TimeLeft: f.seconds(4, "left-ms"), Dest: f.text(6, "addressee-no")}
		f.float(5, "hint-ms")
		f.int(7, "attrs")
		if _, known := x.module.TTL(ntf.Topic); f.err == nil && !known {
			f.err = line.FieldError("grade", ntf.Topic)
		}
		if f.err != nil {
			return f.err
		}
		x.hand[ntf.ID] = ntf
		h.guarded(i, func() { h.answer(i, x, x.module.Place(h.now, ntf)) })
	case "RESPONSE":
		report := f.report(7, "telemetry")
		note := f.int(3, "wait-ms")
		o := decide.Outcome{NotificationID: f.text(0, "corr"), Final: f.bool(1, "complete"), Result: result(f, 2),
			Endpoint: f.text(4, "endpoint"), PushNumber: int(f.int(5, "go")), Latency: f.seconds(6, "latency-ms")}
		if o.Result == decide.Throttled {
			o.Wait = float64(note) / 1000
		}
		o.NoSlot = o.Result == decide.NotAttempted && note == 1
		_, o.LimitReported = report["x0"]
		o.LimitLeft, o.Limit = report["x0"], report["x1"]
		if f.err != nil {
			return f.err
		}
		h.guarded(i, func() { h.answer(i, x, x.module.HandleOutcome(h.now, o)) })
		x.out[o.NotificationID]--
		if o.Final || x.over[o.NotificationID] {
			x.finish(o.NotificationID)
		}
	case "CLIENT_GONE":
		o := decide.Outcome{NotificationID: f.text(0, "corr"), Result: decide.Withdrawn, Final: true}
		if f.err != nil {
			return f.err
		}
		h.guarded(i, func() { h.answer(i, x, x.module.HandleOutcome(h.now, o)) })
		x.finish(o.NotificationID)
	case "PROBE_RESULT":
		report := f.report(3, "telemetry")
		o := decide.Outcome{Endpoint: f.text(0, "endpoint"), Result: result(f, 1),
			Latency: f.seconds(2, "latency-ms")}
		_, o.LimitReported = report["x0"]
		o.LimitLeft, o.Limit = report["x0"], report["x1"]
		if f.err != nil {
			return f.err
		}
		h.guarded(i, func() { h.answer(i, x, x.module.HandleOutcome(h.now, o)) })
	case "INBOX":
		f.int(0, "src-peer")
		o := decide.Outcome{Result: decide.PeerMessage}
		if f.err != nil {
			return f.err
		}
		h.guarded(i, func() { h.answer(i, x, x.module.HandleOutcome(h.now, o)) })
	case "UNDER_WAY":
		f.text(0, "corr")
		f.int(1, "go")
		f.text(2, "endpoint")
		f.float(3, "latency-ms")
	case "ELAPSED":
		f.text(0, "key-back")
	}
	return f.err
}

// result reads the wire's completion code.
func result(f *fields, i int) decide.Result {
	codes := map[string]decide.Result{"1": decide.Delivered, "0": decide.Failed, "2": decide.Throttled,
		"3": decide.TimedOut, "4": decide.NotConnected, "5": decide.Reset, "6": decide.Cancelled, "7": decide.NotAttempted}
	r, ok := codes[f.Values[i]]
	if !ok && f.err == nil {
		f.err = f.FieldError("code", f.Values[i])
	}
	return r
}

// defineList reads the entries that follow into a numbered list.
func (h *host) defineList(f *fields) error {
	slot, entries := f.int(0, "slot"), f.int(1, "members")
	if f.err == nil && (slot < 0 || slot > 15 || f.Values[0] == simwire.Absent) {
		f.err = f.FieldError("slot", f.Values[0])
	}
	if f.err == nil && entries < 0 {
		f.err = f.FieldError("members", f.Values[1])
	}
	if f.err != nil {
		return f.err
	}
	var list []directory.Endpoint
	for range entries {
		line, err := h.in.Next()
		if err != nil {
			return fmt.Errorf("list %d: %w", slot, err)
		}
		if line.Name != "M" {
			return fmt.Errorf("line %d: %s where M should stand", line.Number, line.Name)
		}
		if err := line.RequireValues(7); err != nil {
			return err
		}
		m := &fields{Line: line}
		e := directory.Endpoint{ID: m.text(0, "endpoint"), Zone: line.Optional(1), Kind: line.Optional(2),
			Dest: m.text(3, "cell"), Stage: m.text(4, "stage-state"), Rate: m.float(5, "capacity-hint")}
		m.float(6, "ready-at-ms")
		known := e.Stage == directory.Ready || e.Stage == directory.Draining || e.Stage == directory.Gone
		if !known && m.err == nil {
			m.err = line.FieldError("stage-state", e.Stage)
		}
		if m.err != nil {
			return m.err
		}
		list = append(list, e)
	}
	h.lists[slot] = list
	return nil
}

// update hands a list to an instance's directory.
func (h *host) update(f *fields, x *instance) error {
	how := f.text(0, "how")
	if how == "broken" {
		x.dir.RecordFailure()
		return f.err
	}
	slot := f.int(1, "slot")
	f.int(2, "generation")
	list, ok := h.lists[slot]
	if f.err == nil && (!ok || f.Values[1] == simwire.Absent) {
		f.err = f.FieldError("slot", f.Values[1])
	}
	if f.err != nil {
		return f.err
	}
	switch how {
	case "patch":
		x.dir.Apply(list)
	case "whole", "stale_copy":
		x.dir.Replace(list)
	default:
		return f.FieldError("how", how)
	}
	return nil
}
