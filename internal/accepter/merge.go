package accepter

// CanSucceed reports whether s can be a successor of held: its history has the
// latest operation of held, or is too short to tell.
func (s State) CanSucceed(held State) bool {
	if s.Generation < held.Generation {
		return false
	}
	if s.Generation == held.Generation {
		return s.Digest() == held.Digest()
	}
	if len(held.Operations) == 0 || !s.HasHistoryAfter(held.Generation-1) {
		return true
	}
	_, ok := s.Operation(held.Operations[len(held.Operations)-1].ID)
	return ok
}

// Merge returns held with the operations that only stored has applied on top.
// It is used after the store was rolled back to older data and may have
// accepted operations since.
func Merge(held, stored State) State {
	m := held
	for _, o := range stored.Operations {
		if _, ok := held.Operation(o.ID); ok || !held.HasHistoryAfter(o.Generation-1) {
			continue
		}
		m = m.withMinGeneration(stored.Generation).WithOperation(o)
	}
	return m
}

// withMinGeneration returns s with a generation of at least floor.
func (s State) withMinGeneration(floor uint64) State {
	s.Generation = max(s.Generation, floor)
	return s
}
