package gossiper

const (
	// answerBound is how many answers in a row, from any members, must come with
	// another table before tables are compared: rumors take that long to go round.
	answerBound = 3
	// memberBound is the same for one member. Where most members that are known
	// here belong to the same part of a mesh that was split, answers with equal
	// tables come in between.
	memberBound = 2
	// watchedMembers bounds the members that are counted apart: in a large mesh a
	// member is not asked twice before rumors have gone round.
	watchedMembers = 8
)

// differences finds the member whose table should be compared with this one. Its
// zero value has seen none.
type differences struct {
	// row counts answers in a row with another table, the last one by member.
	row    int
	last   string
	counts map[string]int
}

// note takes in whether the table of a member that answered equals this one.
func (d *differences) note(member string, equal bool) {
	if equal {
		d.row = 0
		delete(d.counts, member)
		return
	}
	d.row++
	d.last = member
	if d.counts == nil {
		d.counts = make(map[string]int)
	}
	if _, ok := d.counts[member]; ok || len(d.counts) < watchedMembers {
		d.counts[member]++
	}
}

// meet notes a member that nobody here knew before it spoke: it may know others
// that nobody here knows either.
func (d *differences) meet(member string) {
	d.row, d.last = answerBound, member
}

// member returns the one to compare tables with, or false.
func (d *differences) member() (string, bool) {
	if d.row >= answerBound || d.counts[d.last] >= memberBound {
		return d.last, true
	}
	return "", false
}

// clear notes that tables were compared.
func (d *differences) clear() { *d = differences{} }
