package main

import (
	"fmt"
	"slices"

	"orchiddrift/decide"
	"orchiddrift/directory"
	"orchiddrift/simwire"
)

// fieldReader reads the values of a line and keeps the first error. Its methods have the index of a value and the name of its
// field as parameters.
type fieldReader struct {
	simwire.Line
	err error
}

// keepError returns v and keeps err, unless an earlier error is kept.
func keepError[T any](f *fieldReader, v T, err error) T {
	if f.err == nil {
		f.err = err
	}
	return v
}

func (f *fieldReader) text(i int, name string) string {
	v, err := f.Text(i, name)
	return keepError(f, v, err)
}

func (f *fieldReader) float(i int, name string) float64 {
	v, err := f.Float(i, name)
	return keepError(f, v, err)
}

// seconds returns a value in milliseconds as seconds.
func (f *fieldReader) seconds(i int, name string) float64 { return f.float(i, name) / 1000 }

func (f *fieldReader) int(i int, name string) int64 {
	v, err := f.Int(i, name)
	return keepError(f, v, err)
}

func (f *fieldReader) bool(i int, name string) bool {
	v, err := f.Bool(i, name)
	return keepError(f, v, err)
}

func (f *fieldReader) report(i int, name string) map[string]float64 {
	v, err := f.LoadReport(i, name)
	return keepError(f, v, err)
}

// valueCounts holds the number of values of each event, except for NEW_INSTANCE, which has any number of settings.
var valueCounts = map[string]int{"TO": 1, "DOWN": 0, "DEFINE_LIST": 2, "UPDATE": 3, "REQ": 8, "UNDER_WAY": 4,
	"RESPONSE": 8, "CLIENT_GONE": 1, "ELAPSED": 1, "PROBE_RESULT": 4, "INBOX": 2}

// handleEvent applies the event of one line to the instance that the last TO event named. Values that are read but not used
// are only checked for errors.
func (h *host) handleEvent(line simwire.Line) error {
	event := &fieldReader{Line: line}
	if line.Name == "NEW_INSTANCE" {
		if len(line.Values) == 0 {
			return line.RequireValues(1)
		}
	} else if count, ok := valueCounts[line.Name]; !ok {
		return fmt.Errorf("line %d: unknown event %q", line.Number, line.Name)
	} else if err := line.RequireValues(count); err != nil {
		return err
	}
	switch line.Name {
	case "TO":
		h.eventInstance = event.int(0, "i")
		if event.err == nil && (h.eventInstance < 0 || line.Values[0] == simwire.Absent) {
			event.err = line.FieldError("i", line.Values[0])
		}
		return event.err
	case "DEFINE_LIST":
		return h.defineList(event)
	}
	if h.eventInstance == noInstance {
		return fmt.Errorf("line %d: %s before any TO event", line.Number, line.Name)
	}
	instanceID := h.eventInstance
	if !slices.Contains(h.touchedInstances, instanceID) {
		h.touchedInstances = append(h.touchedInstances, instanceID)
	}
	if line.Name == "NEW_INSTANCE" {
		inst, err := newInstance(line)
		if err != nil {
			return err
		}
		h.instances[instanceID] = inst
		return nil
	}
	inst := h.instances[instanceID]
	if inst == nil {
		return fmt.Errorf("line %d: %s for instance %d, which is not running", line.Number, line.Name, instanceID)
	}
	switch line.Name {
	case "DOWN":
		delete(h.instances, instanceID)
	case "UPDATE":
		return h.updateList(event, inst)
	case "REQ":
		ntf := decide.Notification{ID: event.text(0, "corr"), Topic: event.text(1, "grade"), Tenant: line.Optional(2),
			Key: line.Optional(3), TimeLeft: event.seconds(4, "left-ms"), Dest: event.text(6, "addressee-no")}
		event.float(5, "hint-ms")
		event.int(7, "attrs")
		if _, known := inst.scheduler.TopicTTL(ntf.Topic); event.err == nil && !known {
			event.err = line.FieldError("grade", ntf.Topic)
		}
		if event.err != nil {
			return event.err
		}
		inst.notifications[ntf.ID] = ntf
		h.reportPanics(instanceID, func() { h.writeDecision(instanceID, inst, inst.scheduler.Place(h.now, ntf)) })
	case "RESPONSE":
		report := event.report(7, "telemetry")
		waitMS := event.int(3, "wait-ms")
		outcome := decide.Outcome{NotificationID: event.text(0, "corr"), Final: event.bool(1, "complete"), Result: parseResult(event, 2),
			Endpoint: event.text(4, "endpoint"), PushNumber: int(event.int(5, "go")), Latency: event.seconds(6, "latency-ms")}
		if outcome.Result == decide.Throttled {
			outcome.ToldWait = float64(waitMS) / 1000
		}
		outcome.NoSlot = outcome.Result == decide.NotAttempted && waitMS == 1
		_, outcome.LimitReported = report["x0"]
		outcome.LimitLeft, outcome.Limit = report["x0"], report["x1"]
		if event.err != nil {
			return event.err
		}
		h.reportPanics(instanceID, func() { h.writeDecision(instanceID, inst, inst.scheduler.HandleOutcome(h.now, outcome)) })
		inst.pushesOut[outcome.NotificationID]--
		if outcome.Final || inst.answered[outcome.NotificationID] {
			inst.markAnswered(outcome.NotificationID)
		}
	case "CLIENT_GONE":
		outcome := decide.Outcome{NotificationID: event.text(0, "corr"), Result: decide.Withdrawn, Final: true}
		if event.err != nil {
			return event.err
		}
		h.reportPanics(instanceID, func() { h.writeDecision(instanceID, inst, inst.scheduler.HandleOutcome(h.now, outcome)) })
		inst.markAnswered(outcome.NotificationID)
	case "PROBE_RESULT":
		report := event.report(3, "telemetry")
		outcome := decide.Outcome{Endpoint: event.text(0, "endpoint"), Result: parseResult(event, 1),
			Latency: event.seconds(2, "latency-ms")}
		_, outcome.LimitReported = report["x0"]
		outcome.LimitLeft, outcome.Limit = report["x0"], report["x1"]
		if event.err != nil {
			return event.err
		}
		h.reportPanics(instanceID, func() { h.writeDecision(instanceID, inst, inst.scheduler.HandleOutcome(h.now, outcome)) })
	case "INBOX":
		event.int(0, "src-peer")
		outcome := decide.Outcome{Result: decide.PeerMessage}
		if event.err != nil {
			return event.err
		}
		h.reportPanics(instanceID, func() { h.writeDecision(instanceID, inst, inst.scheduler.HandleOutcome(h.now, outcome)) })
	case "UNDER_WAY": // no effect other than placeDue at the end of the batch
		event.text(0, "corr")
		event.int(1, "go")
		event.text(2, "endpoint")
		event.float(3, "latency-ms")
	case "ELAPSED": // a timer has fired: placeDue runs at the end of the batch
		event.text(0, "key-back")
	}
	return event.err
}

// parseResult returns the result that value i, a completion code, stands for.
func parseResult(f *fieldReader, i int) decide.Result {
	codes := map[string]decide.Result{"1": decide.Delivered, "0": decide.Failed, "2": decide.Throttled,
		"3": decide.TimedOut, "4": decide.NotConnected, "5": decide.Reset, "6": decide.Cancelled, "7": decide.NotAttempted}
	result, ok := codes[f.Values[i]]
	if !ok && f.err == nil {
		f.err = f.FieldError("code", f.Values[i])
	}
	return result
}

// defineList reads the member lines that follow a DEFINE_LIST event and stores the list in the event's slot.
func (h *host) defineList(event *fieldReader) error {
	slot, count := event.int(0, "slot"), event.int(1, "members")
	if event.err == nil && (slot < 0 || slot > 15 || event.Values[0] == simwire.Absent) {
		event.err = event.FieldError("slot", event.Values[0])
	}
	if event.err == nil && count < 0 {
		event.err = event.FieldError("members", event.Values[1])
	}
	if event.err != nil {
		return event.err
	}
	var list []directory.Endpoint
	for range count {
		line, err := h.in.Next()
		if err != nil {
			return fmt.Errorf("list %d: %w", slot, err)
		}
		if line.Name != "M" {
			return fmt.Errorf("line %d: got %s, want M", line.Number, line.Name)
		}
		if err := line.RequireValues(7); err != nil {
			return err
		}
		member := &fieldReader{Line: line}
		endpoint := directory.Endpoint{ID: member.text(0, "endpoint"), Zone: line.Optional(1), Kind: line.Optional(2),
			Dest: member.text(3, "cell"), Stage: member.text(4, "stage-state"), Rate: member.float(5, "capacity-hint")}
		member.float(6, "ready-at-ms")
		known := endpoint.Stage == directory.Ready || endpoint.Stage == directory.Draining || endpoint.Stage == directory.Gone
		if !known && member.err == nil {
			member.err = line.FieldError("stage-state", endpoint.Stage)
		}
		if member.err != nil {
			return member.err
		}
		list = append(list, endpoint)
	}
	h.lists[slot] = list
	return nil
}

// updateList applies a stored list to an instance's directory, or records that a request for the list failed.
func (h *host) updateList(event *fieldReader, inst *instance) error {
	how := event.text(0, "how")
	if how == "broken" {
		inst.dir.RecordFailure()
		return event.err
	}
	slot := event.int(1, "slot")
	event.int(2, "generation")
	list, ok := h.lists[slot]
	if event.err == nil && (!ok || event.Values[1] == simwire.Absent) {
		event.err = event.FieldError("slot", event.Values[1])
	}
	if event.err != nil {
		return event.err
	}
	switch how {
	case "patch":
		inst.dir.Apply(list)
	case "whole", "stale_copy":
		inst.dir.Replace(list)
	default:
		return event.FieldError("how", how)
	}
	return nil
}
