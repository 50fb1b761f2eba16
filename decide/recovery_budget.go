package decide

// recoveryBudget decides whether pushes to a destination, or separate route, are limited to this dispatcher's part of what the
// destination can take as it returns from an outage. It does not ask whether there was an outage: from a failed or refused push
// on, pushes are limited until one is delivered, and through slow start after that. Times are in seconds.
type recoveryBudget struct {
	boundSince      float64 // first failed or refused push since pushes were last unlimited; never while they are
	deliveredBefore float64 // when the latest delivered push before that one was sent; -never for none
	respondingSince float64 // estimated return to service; never until a push is delivered after the latest failure
	firstAnswer     float64 // first delivery after the latest failure
	mostlyFailing   bool    // half of the latest pushes failed: deliveries close to each other do not show that there was no outage
}

// bound reports whether pushes are limited.
func (b *recoveryBudget) bound() bool { return b.boundSince != never }

// pushFailed limits pushes because one failed or was refused. deliveredBefore is when the latest delivered push before it was
// sent.
func (b *recoveryBudget) pushFailed(now, deliveredBefore float64) {
	if !b.bound() {
		b.boundSince, b.deliveredBefore, b.mostlyFailing = now, deliveredBefore, false
	}
	b.respondingSince, b.firstAnswer = never, never
}

// pushDelivered begins slow start if pushes are limited and none has been delivered since the latest failure. Slow start lasts
// for Recovery.WarmUp; the capacity is assumed to grow from respondingSince on.
func (b *recoveryBudget) pushDelivered(now, respondingSince float64) {
	if b.bound() && b.respondingSince == never {
		b.respondingSince, b.firstAnswer = respondingSince, now
	}
}

// shorterThan reports whether any outage was shorter than span, because a push sent at sentAt was delivered and so was one sent
// less than span before it, before the first failure.
func (b *recoveryBudget) shorterThan(span, sentAt float64) bool {
	return !b.mostlyFailing && sentAt-b.deliveredBefore < span
}

// release ends all limits.
func (b *recoveryBudget) release() { b.boundSince = never }
