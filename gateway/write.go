package gateway

import (
	"slices"

	"orchiddrift/ledger"
	"orchiddrift/push"
)

const (
	// diskRetry is the pause, in seconds, after a write that failed: until it is over no push starts.
	diskRetry = 0.05
	// slowWrite is how long, in seconds, a write may take before what has come meanwhile is taken in: a drain or a wait that
	// was told then would be read behind the pushes that the write stands for.
	slowWrite = 0.02
	// lateWrite is how long, in seconds, a write may take before the log says so: the loop waits for it, and final answers
	// are due within 0.3 s of their time.
	lateWrite = 0.1
)

// flush writes the records of all effects that wait, and then carries these out in their order: nothing is answered or
// sent before the ledger has what it stands for.
func (r *Runner) flush() {
	r.writeLate()
	unkept := map[string]float64{} // messages that were not taken on, and when their times end
	for len(r.batch) > 0 {
		group, records := r.group()
		before := r.Clock()
		w := written{all: r.write(records...)}
		w.ends = w.all || r.writeEnds(group)
		if r.Clock() > before+slowWrite {
			r.takeStep(len(r.Events))
		}
		for _, e := range group {
			r.carryOut(e, w, unkept)
		}
	}
	r.batch = nil
}

// written tells which records of a group are in the ledger: all of them, or those that have room where takings have none.
type written struct{ all, ends bool }

// writeEnds writes the records of a group but its takings and what belongs to them, and tells whether they are there.
func (r *Runner) writeEnds(group []Effect) bool {
	refused := map[string]bool{}
	var records []ledger.Record
	for _, e := range group {
		if a, ok := e.(Accept); ok {
			refused[a.Message.ID] = true
			continue
		}
		for _, x := range recordsOf(e) {
			if !refused[x.ID] {
				records = append(records, x)
			}
		}
	}
	return len(refused) > 0 && r.write(records...)
}

// group takes effects off the batch, as many as have records that surely fit one write.
func (r *Runner) group() ([]Effect, []ledger.Record) {
	n, bytes := 0, 0
	var records []ledger.Record
	for _, e := range r.batch {
		list := recordsOf(e)
		for _, x := range list {
			if bytes += mostOver; x.Message != nil {
				bytes += len(x.Message.Body)
			}
		}
		if bytes > r.Ledger.BatchBytes() && n > 0 {
			break
		}
		records = append(records, list...)
		n++
	}
	group := r.batch[:n:n]
	r.batch = r.batch[n:]
	return group, records
}

const mostOver = 64 // what a record is taken to have beside a body

// recordsOf are the records that an effect needs written first.
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

// late is an effect that the ledger has no record for yet: the disk fails. It is written again until it is there.
type late struct {
	effect Effect
	due    float64 // of a notice: from then on it may go unwritten, for a restart could push its message no more
}

// writeLate writes what could not be written before, in its order, and sends the notices whose records are there or whose
// messages have no time left: those are due, disk or not.
func (r *Runner) writeLate() {
	r.answerRefused()
	for len(r.late) > 0 {
		if k, ok := r.late[0].effect.(WriteRecords); ok && !r.put(k.Records) {
			break
		}
		r.notifyLate(r.late[0])
		r.late = r.late[1:]
	}
	if len(r.late) == 0 {
		return
	}
	now := r.Clock()
	r.Gateway.PausePushes(now + diskRetry)
	r.late = slices.DeleteFunc(r.late, func(l late) bool { return l.due > 0 && l.due <= now && r.notifyLate(l) })
}

// refusal is the answer to a message whose taking could not be written. It promises that nobody pushes the message, so it waits
// until no later process can read the record, or the message's time is over.
type refusal struct {
	to    func(Reply)
	until float64
}

// refuse answers that a message was not taken on, as soon as that is sure.
func (r *Runner) refuse(to func(Reply), until float64) {
	r.refusals = append(r.refusals, refusal{to, until})
	r.answerRefused()
}

// answerRefused gives the refusals that are sure by now.
func (r *Runner) answerRefused() {
	if len(r.refusals) == 0 {
		return
	}
	settled, now := r.Ledger.DiscardFailedWrite(), r.Clock()
	r.refusals = slices.DeleteFunc(r.refusals, func(x refusal) bool {
		if !settled && now < x.until {
			return false
		}
		r.Metrics.refused(LedgerFailed)
		x.to(Reply{Reason: LedgerFailed})
		return true
	})
}

// notifyLate sends a notice that has waited, and tells whether it was one.
func (r *Runner) notifyLate(l late) bool {
	n, ok := l.effect.(Notify)
	if ok {
		r.notify(n)
	}
	return ok
}

// carryOut carries out an effect whose records are written, or could not be.
func (r *Runner) carryOut(e Effect, w written, unkept map[string]float64) {
	switch e := e.(type) {
	case Accept:
		if w.all {
			e.Reply(Reply{Accepted: true})
			r.Log.Debug().Str("ntf", e.Message.ID).Str("topic", e.Message.Topic).Str("dest", e.Message.Dest).Str("key", e.Message.Key).
				Float64("left", e.Message.TimeLeft).Msg("taken")
			return
		}
		unkept[e.Message.ID] = e.Message.ExpiresAt
		r.refuse(e.Reply, e.Message.ExpiresAt)
		r.step(AcceptFailed{e.Message.ID})
	case Answer:
		if until, first := unkept[e.ID]; first { // it came twice, and the first is refused
			r.refuse(e.To, until)
			return
		}
		if !e.Accepted {
			r.Metrics.refused(e.Reason)
		}
		e.To(e.Reply)
	case WriteRecords:
		if !w.ends && len(e.Records) > 0 {
			r.late = append(r.late, late{effect: e})
		}
	case Dial:
		go func() {
			conn, end := r.dial(e.Call.Endpoint.Addr, e.Timeout)
			r.Post(Dialed{e.Call, conn, end})
		}()
	case SendCall:
		r.begin(e, w.ends, unkept)
	case CloseConn:
		e.Conn.Close()
	case Notify:
		if len(r.late) > 0 && e.RemainingTTL > 0 {
			r.late = append(r.late, late{e, r.Clock() + e.RemainingTTL})
		} else {
			r.notify(e)
		}
	case Watch:
		r.Platform.Watch(r.Post)
	case Fetch:
		r.Platform.Fetch(r.Post)
	}
}

// begin sends a call whose start is in the ledger. One whose start cannot be written is given back, as is one that what was
// told during the write forbids.
func (r *Runner) begin(e SendCall, written bool, unkept map[string]float64) {
	unknown := func(x ledger.Record) bool { _, not := unkept[x.ID]; return not }
	end := push.Withdrawn
	if !written || slices.ContainsFunc(e.Records, unknown) {
		end = push.LedgerFailed
		r.Gateway.PausePushes(r.Clock() + diskRetry)
	} else if r.Gateway.MaySend(r.Clock(), e.Call) {
		r.trace(e.Call, "push", push.CallResult{})
		r.logRepeats(e)
		go r.call(e.Call)
		return
	}
	a := push.UniformResult(len(e.Call.Messages), end)
	a.Reusable = true
	r.step(CallEnded{e.Call, a})
}

func (r *Runner) notify(n Notify) {
	r.Metrics.noticed(n.Outcome)
	r.Log.Info().Str("ntf", n.ID).Str("dest", n.Dest).Str("outcome", n.Outcome).Float64("retry_in", n.RetryIn).
		Float64("left", n.RemainingTTL).Msg("notice")
	r.Platform.Notify(n, r.Post)
}

// write puts records into the ledger and tells whether they are there. While earlier ones are late it does not try.
func (r *Runner) write(records ...ledger.Record) bool {
	return len(records) == 0 || len(r.late) == 0 && r.put(records)
}

// put tries to put records into the ledger.
func (r *Runner) put(records []ledger.Record) bool {
	before := r.Clock()
	err := r.Ledger.Write(records...)
	if took := r.Clock() - before; took > lateWrite {
		r.Log.Warn().Float64("took", took).Int("records", len(records)).Msg("ledger slow: final answers may be late")
	}
	if err != nil {
		r.Metrics.unwritten()
	}
	if err != nil && !r.unwritten {
		r.Log.Error().Err(err).Msg("ledger not written")
	}
	if err == nil && r.unwritten {
		r.Log.Info().Msg("ledger written again")
	}
	r.unwritten = err != nil
	return err == nil
}
