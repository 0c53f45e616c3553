package gossiper

import "slices"

const (
	// consecutiveThreshold is the number of consecutive acks, from any members, that
	// must report a different table before tables are compared. Rumors need about
	// that long to reach all members.
	consecutiveThreshold = 3
	// memberThreshold is the same threshold for a single member. If the mesh was
	// split and most known members belong to this node's part, acks with equal
	// tables come in between and reset the consecutive count.
	memberThreshold = 2
	// maxCountedMembers limits the number of members counted individually. In a large
	// mesh no member is probed twice before rumors have reached all members.
	maxCountedMembers = 8
	// maxNewMembers limits the new members that wait for a comparison.
	maxNewMembers = 8
)

// differences selects the member whose table should be compared with this node's.
// The zero value is ready to use.
type differences struct {
	// consecutive counts consecutive acks with a different table. last is the
	// member that sent the latest one.
	consecutive int
	last        string
	counts      map[string]int
	// introduced are members that were unknown until they sent a packet. They may know
	// others that are unknown here, whatever the members known before report.
	introduced []string
}

// note records whether the table of a member equals this node's.
func (d *differences) note(member string, equal bool) {
	if equal {
		d.consecutive = 0
		delete(d.counts, member)
		return
	}
	d.consecutive++
	d.last = member
	if d.counts == nil {
		d.counts = make(map[string]int)
	}
	if _, ok := d.counts[member]; ok || len(d.counts) < maxCountedMembers {
		d.counts[member]++
	}
}

// noteNewMember schedules a comparison with a member that was unknown until it sent a
// packet.
func (d *differences) noteNewMember(member string) {
	if len(d.introduced) < maxNewMembers && !slices.Contains(d.introduced, member) {
		d.introduced = append(d.introduced, member)
	}
}

// member returns the member to compare tables with, if there is one.
func (d *differences) member() (string, bool) {
	if len(d.introduced) > 0 {
		return d.introduced[0], true
	}
	if d.consecutive >= consecutiveThreshold || d.counts[d.last] >= memberThreshold {
		return d.last, true
	}
	return "", false
}

// clear resets all counts after a comparison with any member.
func (d *differences) clear() {
	*d = differences{introduced: d.introduced}
}

// compared resets all counts after this node has compared tables with a member.
func (d *differences) compared(member string) {
	d.clear()
	d.introduced = slices.DeleteFunc(d.introduced, func(n string) bool { return n == member })
}
