package rules_test

import (
	"testing"

	"orchiddrift/lab/content"
	"orchiddrift/lab/record"
	"orchiddrift/lab/rules"
)

// handIn adds a hand-in with a content and the status of its answer.
func (b *journalBuilder) handIn(id string, digest content.Digest, status int, foreign bool) *journalBuilder {
	b.AddHandIn(&record.HandIn{ID: id, PlanIndex: len(b.HandIns), Topic: "again", Dest: 1, PlannedAt: 3, SentAt: 3, ExpiresAt: 9, AnsweredAt: 3,
		Status: status, Content: digest, Foreign: foreign})
	return b
}

// pushContent adds a call that is delivered.
func (b *journalBuilder) pushContent(id string, digest content.Digest) *journalBuilder {
	b.push(id, 3.1, 3.2, record.Delivered, 0)
	b.Calls[len(b.Calls)-1].Contents = []content.Digest{digest}
	return b
}

// Guards against rules that judge by ID: what comes to an endpoint, and what counts as delivered, is told apart by content.
func TestContent(t *testing.T) {
	for name, test := range map[string]struct {
		journal *journalBuilder
		want    []string
	}{
		"as handed in":                   {new(journalBuilder).handIn("m", 1, 202, false).pushContent("m", 1), nil},
		"other content":                  {new(journalBuilder).handIn("m", 1, 202, false).pushContent("m", 2), []string{rules.Lost, rules.Content}},
		"two of one id, one refused":     {new(journalBuilder).handIn("m", 1, 202, true).handIn("m", 2, 503, false).pushContent("m", 1), nil},
		"two of one id, refused one":     {new(journalBuilder).handIn("m", 1, 202, true).handIn("m", 2, 503, false).pushContent("m", 1).pushContent("m", 2), []string{rules.Duplicate}},
		"two of one id, one never sent":  {new(journalBuilder).handIn("m", 1, 202, true).handIn("m", 2, 202, false).pushContent("m", 1), []string{rules.Lost}},
		"a notice, another one accepted": {new(journalBuilder).handIn("m", 1, 202, true).handIn("m", 2, 503, false).notice("m", record.HandedBack, 4), nil},
	} {
		var got []string
		for _, violation := range rules.Check(newWorld(), &test.journal.Journal, 30) {
			got = append(got, violation.Rule)
		}
		if len(got) != len(test.want) {
			t.Errorf("%s: broken %v, want %v", name, got, test.want)
			continue
		}
		for i := range got {
			if got[i] != test.want[i] {
				t.Errorf("%s: broken %v, want %v", name, got, test.want)
			}
		}
	}
}
