package gateway

import (
	"slices"

	"orchiddrift/invariant"
	"orchiddrift/ledger"
	"orchiddrift/permit"
	"orchiddrift/push"
	"orchiddrift/syserr"
)

const (
	// diskRetryPause is the pause of all pushes, in seconds, after a failed write, and the maximum interval of the
	// retries.
	diskRetryPause = 0.05
	// slowWriteThreshold is the duration of a write, in seconds, above which the events queued meanwhile are applied
	// before the effects are carried out. Otherwise a drain or a told wait among them would be applied only after the
	// pushes whose start was written have been sent.
	slowWriteThreshold = 0.02
	// writeWarningThreshold is the duration of a write, in seconds, above which a warning is logged. The loop waits for
	// writes, and final answers are due within 0.3 s of the end of the TTL.
	writeWarningThreshold = 0.1
)

// flush carries out the queued effects in order, in groups whose records are written first. No reply and no call is sent
// before its records are in the ledger.
func (r *Runner) flush() {
	r.logHealth()
	r.retryDeferred()
	failedAccepts := map[string]float64{} // ends of the TTLs, by ID, of messages that could not be accepted
	for len(r.effects) > 0 {
		group, records := r.nextGroup()
		before := r.Clock()
		result := writeResult{allWritten: r.write(records...)}
		result.restWritten = result.allWritten || r.writeWithoutAccepts(group)
		if r.Clock() > before+slowWriteThreshold {
			r.stepEvents(len(r.Events))
		}
		for _, e := range group {
			r.execute(e, result, failedAccepts)
		}
	}
	r.effects = nil
}

// writeResult says which records of a group are in the ledger: allWritten is true of all of them, and restWritten of all
// but those of newly accepted messages, which need more room.
type writeResult struct{ allWritten, restWritten bool }

// writeWithoutAccepts writes the records of a group except those of newly accepted messages. It reports whether there are
// such messages and the other records were written.
func (r *Runner) writeWithoutAccepts(group []Effect) bool {
	acceptIDs := map[string]bool{}
	var records []ledger.Record
	for _, e := range group {
		if a, ok := e.(Accept); ok {
			acceptIDs[a.Message.ID] = true
			continue
		}
		for _, record := range recordsOf(e) {
			if !acceptIDs[record.ID] {
				records = append(records, record)
			}
		}
	}
	return len(acceptIDs) > 0 && r.write(records...)
}

// nextGroup takes effects off the queue and returns them with their records: as many as are certain to fit into one write,
// but at least one.
func (r *Runner) nextGroup() ([]Effect, []ledger.Record) {
	n, bytes := 0, 0
	var records []ledger.Record
	for _, e := range r.effects {
		effectRecords := recordsOf(e)
		for _, record := range effectRecords {
			if bytes += recordOverhead; record.Message != nil {
				bytes += len(record.Message.Body)
			}
		}
		if bytes > r.Ledger.RecommendedBatchBytes() && n > 0 {
			break
		}
		records = append(records, effectRecords...)
		n++
	}
	group := r.effects[:n:n]
	r.effects = r.effects[n:]
	return group, records
}

// recordOverhead is the estimated size of a record, in bytes, without a message's body.
const recordOverhead = 64

// recordsOf returns the records that have to be written before an effect is carried out.
func recordsOf(e Effect) []ledger.Record {
	switch e := e.(type) {
	case Accept:
		return []ledger.Record{{Kind: ledger.Accepted, ID: e.Message.ID, Message: e.Message}}
	case WriteRecords:
		return e.Records
	case SendCall:
		return e.Records
	}
	return nil
}

// deferredEffect is an effect that waits until the ledger can be written to again. A notice waits at most until its
// deadline, the end of its message's TTL: from then on no later process can push the message, so the notice needs no record.
type deferredEffect struct {
	effect   Effect  // WriteRecords or Notify
	deadline float64 // of a Notify; 0 for WriteRecords
}

// retryDeferred writes the deferred records in order, and sends the deferred notices whose records are written. If a write
// fails again, it pauses all pushes and sends the notices whose deadline has passed without their records.
func (r *Runner) retryDeferred() {
	r.sendPendingRefusals()
	for len(r.deferred) > 0 {
		if w, ok := r.deferred[0].effect.(WriteRecords); ok && !r.tryWrite(w.Records) {
			break
		}
		r.notifyDeferred(r.deferred[0])
		r.deferred = r.deferred[1:]
	}
	if len(r.deferred) == 0 {
		return
	}
	now := r.Clock()
	r.Gateway.PausePushes(now + diskRetryPause)
	r.deferred = slices.DeleteFunc(r.deferred, func(d deferredEffect) bool {
		isNotice := d.deadline > 0
		return isNotice && permit.Notify(len(r.deferred), d.deadline-now) == permit.Granted && r.notifyDeferred(d)
	})
}

// pendingRefusal is the refusal of a message whose record could not be written. A refused message must not be pushed, so
// the refusal waits until no later process can read the record, or until the message's TTL has ended.
type pendingRefusal struct {
	respond   func(Reply)
	expiresAt float64 // end of the message's TTL
}

// refuse queues the refusal of a message, and sends it once it is certain that the message is not pushed.
func (r *Runner) refuse(respond func(Reply), expiresAt float64) {
	r.pendingRefusals = append(r.pendingRefusals, pendingRefusal{respond, expiresAt})
	r.sendPendingRefusals()
}

// sendPendingRefusals sends the queued refusals of messages that are certain not to be pushed.
func (r *Runner) sendPendingRefusals() {
	if len(r.pendingRefusals) == 0 {
		return
	}
	discarded, now := r.Ledger.DiscardFailedWrite(), r.Clock()
	r.pendingRefusals = slices.DeleteFunc(r.pendingRefusals, func(refusal pendingRefusal) bool {
		if permit.Refuse(permit.Refusal{Now: now, ExpiresAt: refusal.expiresAt, Discarded: discarded}) != permit.Granted {
			return false
		}
		r.Metrics.messageRefused(LedgerFailed)
		refusal.respond(Reply{Reason: LedgerFailed})
		return true
	})
}

// notifyDeferred sends a deferred notice. It reports whether the effect is one.
func (r *Runner) notifyDeferred(d deferredEffect) bool {
	n, ok := d.effect.(Notify)
	if ok {
		r.notify(n)
	}
	return ok
}

// execute carries out an effect after its records were written or the write failed. failedAccepts has the ends of the TTLs,
// by ID, of messages that could not be accepted; a failed Accept is added to it.
func (r *Runner) execute(e Effect, result writeResult, failedAccepts map[string]float64) {
	switch e := e.(type) {
	case Accept:
		if result.allWritten {
			r.Replies.Confirming(invariant.RequestOf(e.Message))
			e.Respond(Reply{Accepted: true})
			r.Log.Debug().Str("ntf", e.Message.ID).Str("topic", e.Message.Topic).Str("dest", e.Message.Dest).
				Str("key", e.Message.Key).Float64("left", e.Message.TimeLeft).Msg("message accepted")
			return
		}
		failedAccepts[e.Message.ID] = e.Message.ExpiresAt
		r.refuse(e.Respond, e.Message.ExpiresAt)
		r.step(AcceptFailed{e.Message.ID})
	case Answer:
		if expiresAt, failed := failedAccepts[e.ID]; failed && e.Accepted { // the request of a message that could not be accepted
			r.refuse(e.Respond, expiresAt)
			return
		}
		if !e.Accepted {
			r.Metrics.messageRefused(e.Reason)
		}
		e.Respond(e.Reply)
	case WriteRecords:
		if !result.restWritten && len(e.Records) > 0 {
			r.deferred = append(r.deferred, deferredEffect{effect: e})
		}
	case Dial:
		go r.dialForCall(e)
	case SendCall:
		r.sendCall(e, result.restWritten, failedAccepts)
	case CloseConn:
		e.Conn.Close()
	case Notify:
		if permit.Notify(len(r.deferred), e.RemainingTTL) != permit.Granted {
			r.deferred = append(r.deferred, deferredEffect{e, r.Clock() + e.RemainingTTL})
		} else {
			r.notify(e)
		}
	case Watch:
		r.Platform.Watch(r.Post)
	case Fetch:
		r.Platform.FetchOnce(r.Post)
	}
}

// sendCall sends a call whose start is in the ledger. If its start could not be written, or an event applied since
// forbids the call, it is not sent and its messages are returned to the scheduler.
func (r *Runner) sendCall(e SendCall, startWritten bool, failedAccepts map[string]float64) {
	acceptFailed := func(record ledger.Record) bool { _, failed := failedAccepts[record.ID]; return failed }
	end := push.Withdrawn
	if !startWritten || slices.ContainsFunc(e.Records, acceptFailed) {
		end = push.LedgerFailed
		r.Gateway.PausePushes(r.Clock() + diskRetryPause)
	} else if r.Gateway.MaySend(r.Clock(), e.Call) {
		r.traceCall(e.Call, "sending push", push.CallResult{})
		r.logRepeats(e)
		r.logPushInRecovery(e)
		go r.performCall(e.Call)
		return
	}
	result := push.UniformResult(len(e.Call.Messages), end)
	result.NotSent = true
	r.step(CallEnded{e.Call, result})
}

// notify logs a notice and passes it to the platform.
func (r *Runner) notify(n Notify) {
	r.Metrics.noticeSent(n.Outcome)
	r.Log.Info().Str("ntf", n.ID).Str("dest", n.Dest).Str("outcome", n.Outcome).Float64("retry_in", n.RetryIn).
		Float64("left", n.RemainingTTL).Msg("sending notice")
	r.Platform.Notify(n, r.Post)
}

// write writes records to the ledger and reports whether they were written. It does not try while earlier effects are
// deferred, so that the order of the records is kept.
func (r *Runner) write(records ...ledger.Record) bool {
	return len(records) == 0 || permit.WriteRecord(len(r.deferred)) == permit.Granted && r.tryWrite(records)
}

// tryWrite writes records to the ledger and reports whether they were written. It logs slow and failed writes.
func (r *Runner) tryWrite(records []ledger.Record) bool {
	before := r.Clock()
	err := r.Ledger.Write(records...)
	if took := r.Clock() - before; took > writeWarningThreshold {
		r.Log.Warn().Float64("took", took).Int("records", len(records)).Msg("slow ledger write; final answers may be late")
	}
	if err != nil {
		r.Metrics.ledgerWriteFailed()
		r.Errors.Failed(syserr.LedgerWrite, records[0].ID, err)
	}
	if err != nil && !r.writeFailureLogged {
		r.Log.Error().Err(err).Msg("ledger write failed")
	}
	if err == nil && r.writeFailureLogged {
		r.Log.Info().Msg("ledger writes succeed again")
	}
	if r.writeFailureLogged = err != nil; err != nil {
		return false
	}
	for _, record := range records {
		if record.Kind == ledger.Accepted {
			r.Replies.Stored(invariant.RequestOf(record.Message))
		}
	}
	return true
}
