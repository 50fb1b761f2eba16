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

// host reads batches of events, passes the events to the instances' schedulers and writes the decisions as actions.
type host struct {
	in               *simwire.Reader
	out              *bufio.Writer
	now              float64                        // time of the batch, in seconds
	lists            map[int64][]directory.Endpoint // by slot
	instances        map[int64]*instance            // running instances by ID
	eventInstance    int64                          // ID of the instance that the next events are for
	actionInstance   int64                          // ID of the instance whose actions are being written
	touchedInstances []int64                        // IDs of the instances that had an event in the batch
}

// instance is one dispatcher: its scheduler, its list of endpoints and the state of its notifications.
type instance struct {
	scheduler     *decide.Scheduler
	dir           *directory.Directory
	notifications map[string]decide.Notification // by ID
	pushesOut     map[string]int                 // by notification ID: number of pushes without an outcome
	answered      map[string]bool                // by notification ID: has its final answer
	timerAt       float64                        // time at which the timer that was set last fires, in seconds
}

// noInstance is the instance ID before the first TO event or the first action of a batch.
const noInstance = -1

// run handles batches until the input ends. It returns an error if the input is invalid or a reply cannot be written.
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
			return fmt.Errorf("line %d: got %s, want ROUND", line.Number, line.Name)
		}
		if err := line.RequireValues(2); err != nil {
			return err
		}
		nowMS, err := line.Float(0, "at-time-ms")
		if err != nil {
			return err
		}
		round, err := line.Int(1, "round")
		if err != nil {
			return err
		}
		h.now = nowMS / 1000
		h.eventInstance, h.actionInstance, h.touchedInstances = noInstance, noInstance, h.touchedInstances[:0]
		if err := h.handleBatch(); err != nil {
			return err
		}
		fmt.Fprintf(h.out, "END %d\n", round)
		if err := h.out.Flush(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// handleBatch handles the events of a batch in order, then places the notifications that are due at each instance that had an
// event.
func (h *host) handleBatch() error {
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
		if err := h.handleEvent(line); err != nil {
			return err
		}
	}
	for _, instanceID := range h.touchedInstances {
		if inst := h.instances[instanceID]; inst != nil {
			h.reportPanics(instanceID, func() { h.placeDue(instanceID, inst) })
		}
	}
	return nil
}

// reportPanics calls decisions, which decides for an instance, and writes a CRASH action if it panics.
func (h *host) reportPanics(instanceID int64, decisions func()) {
	defer func() {
		if p := recover(); p != nil {
			h.writeAction(instanceID, "CRASH %v", p)
		}
	}()
	decisions()
}

// placeDue places notifications as long as one is due, then sets a timer for the next one unless an earlier timer is set.
func (h *host) placeDue(instanceID int64, inst *instance) {
	for {
		wait, id := inst.scheduler.NextTurn(h.now)
		if wait <= 0 {
			h.writeDecision(instanceID, inst, inst.scheduler.Place(h.now, inst.notifications[id]))
			continue
		}
		dueAt := h.now + wait
		if math.IsInf(wait, 1) || inst.timerAt > h.now && inst.timerAt <= dueAt {
			return
		}
		inst.timerAt = dueAt
		h.writeAction(instanceID, "AFTER %.3f wake", math.Ceil(wait*1e6)/1e3)
		return
	}
}

// writeDecision writes a decision of the scheduler as an action. A final answer is delivered to the client with the action.
func (h *host) writeDecision(instanceID int64, inst *instance, decision decide.Decision) {
	switch decision.Action {
	case decide.Push:
		inst.pushesOut[decision.NotificationID]++
		h.writeAction(instanceID, "HAND_OFF %s %.3f %s", decision.NotificationID, decision.Timeout*1000, decision.Endpoint)
	case decide.Throttle:
		h.writeAction(instanceID, "NOT_NOW %s %.3f", decision.NotificationID, decision.RetryIn*1000)
		inst.confirmAnswer(h.now, decision.NotificationID)
	case decide.Expire:
		h.writeAction(instanceID, "LOSE %s", decision.NotificationID)
		inst.confirmAnswer(h.now, decision.NotificationID)
	case decide.CancelPush:
		h.writeAction(instanceID, "CALL_OFF %s %d", decision.NotificationID, decision.PushNumber)
	case decide.ProbeEndpoint:
		h.writeAction(instanceID, "INSPECT %s", decision.Endpoint)
	case decide.WatchList:
		h.writeAction(instanceID, "OBSERVE 1")
	case decide.FetchList:
		h.writeAction(instanceID, "RESOLVE")
	case decide.CloseIdle:
		h.writeAction(instanceID, "CLOSE %s", decision.Endpoint)
	case decide.Broadcast:
		h.writeAction(instanceID, "MEMO_TO -1 %x", decision.Body)
	}
}

// confirmAnswer reports to the scheduler that the client has the final answer, which is delivered with the reply.
func (inst *instance) confirmAnswer(now float64, id string) {
	inst.scheduler.HandleOutcome(now, decide.Outcome{NotificationID: id, Result: decide.Withdrawn, Final: true})
	inst.markAnswered(id)
}

// markAnswered records that a notification has its final answer, and deletes the notification if no push of it is out.
func (inst *instance) markAnswered(id string) {
	inst.answered[id] = true
	if inst.pushesOut[id] == 0 {
		delete(inst.notifications, id)
		delete(inst.pushesOut, id)
		delete(inst.answered, id)
	}
}

// writeAction writes an action. A BY line precedes it if the last action was of another instance.
func (h *host) writeAction(instanceID int64, format string, values ...any) {
	if h.actionInstance != instanceID {
		h.actionInstance = instanceID
		fmt.Fprintf(h.out, "BY %d\n", instanceID)
	}
	fmt.Fprintf(h.out, format+"\n", values...)
}
