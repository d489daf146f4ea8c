package generation

import "time"

// Statement is what one instance tells another about its knowledge. All spans
// end at the moment when the statement was made, on the teller's clock.
type Statement struct {
	// From is the teller.
	From Place `json:"from"`
	// Head is what the teller follows.
	Head Head `json:"head"`
	// Known is false until the teller has learned of the store's head.
	Known bool `json:"known"`
	// Age is the age of the teller's knowledge. It counts only when Known.
	Age time.Duration `json:"age"`
	// Silent says that the teller's last read of the store failed.
	Silent bool `json:"silent"`
	// SilentAge is the time since that failed read began. It counts only when
	// Silent.
	SilentAge time.Duration `json:"silentAge"`
}

// Statement returns what the instance can tell others now.
func (t *Tracker) Statement(now time.Time) Statement {
	s := Statement{From: t.self, Head: t.head, Known: t.known}
	if t.known {
		s.Age = now.Sub(t.knownAsOf)
	}
	if t.silent {
		s.Silent = true
		s.SilentAge = now.Sub(t.silentAsOf)
	}
	return s
}

// heard is a statement with its spans as moments on the hearer's clock. Each
// moment is a lower bound: it is counted from the start of the exchange.
type heard struct {
	statement  Statement
	at         time.Time
	knownAsOf  time.Time
	silentAsOf time.Time
}

// PeerAnswered takes in the statement that a peer gave in answer to a question
// sent at asked. The statement was made after asked, so that counting its
// spans from asked never makes knowledge look younger than it is, however long
// the answer took. It returns how the peer's head stands to the one followed;
// with Newer the caller loads the document and calls Adopt with the result of
// AsOf.
func (t *Tracker) PeerAnswered(asked time.Time, s Statement) Relation {
	if s.From.Instance == t.self.Instance {
		return Older
	}
	h := heard{statement: s, at: asked, knownAsOf: s.AsOf(asked), silentAsOf: asked.Add(-s.SilentAge)}
	last, known := t.peers[s.From.Instance]
	if !known || !last.at.After(asked) {
		t.peers[s.From.Instance] = h
	}
	t.prune(asked)
	relation := t.offered(s.Head)
	if relation == Same && s.Known {
		t.learn(h.knownAsOf)
	}
	return relation
}

// prune drops statements that are too old to count for anything.
func (t *Tracker) prune(now time.Time) {
	for instance, h := range t.peers {
		if now.Sub(h.at) > t.settings.StaleAfter {
			delete(t.peers, instance)
		}
	}
}

// AsOf returns the moment of the teller's knowledge on the clock of the
// instance that asked for the statement at asked; zero when the teller knows
// nothing.
func (s Statement) AsOf(asked time.Time) time.Time {
	if !s.Known {
		return time.Time{}
	}
	return asked.Add(-s.Age)
}
