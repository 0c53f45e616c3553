package accepter

// Follows reports whether s can come after held: it remembers the operation
// that led to held, or its history is too short to tell.
func (s State) Follows(held State) bool {
	if s.Generation < held.Generation {
		return false
	}
	if s.Generation == held.Generation {
		return s.Digest() == held.Digest()
	}
	if len(held.Operations) == 0 || !s.Remembers(held.Generation-1) {
		return true
	}
	_, ok := s.Operation(held.Operations[len(held.Operations)-1].ID)
	return ok
}

// Merge returns the state that keeps everything accepted in held and repeats
// on top of it the operations that only stored has. It is used when the store
// has gone back to older data and may have accepted operations since.
func Merge(held, stored State) State {
	m := held
	for _, o := range stored.Operations {
		if _, ok := held.Operation(o.ID); ok || !held.Remembers(o.Generation-1) {
			continue
		}
		m = m.raise(stored.Generation).WithOperation(o)
	}
	return m
}

// raise lifts the generation to at least floor.
func (s State) raise(floor uint64) State {
	s.Generation = max(s.Generation, floor)
	return s
}
