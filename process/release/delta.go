package release

// maxHeadDeltaBytes bounds the delta in the head object, as keys and data.
// Watchers get the delta with the head and need no further read of the
// platform.
const maxHeadDeltaBytes = 64 << 10

// Delta holds the rows that differ between two releases.
type Delta struct {
	Changed []Row    `json:"changed,omitempty"` // added or changed rows, sorted by key
	Deleted []string `json:"gone,omitempty"`    // keys of deleted rows, sorted
}

// diffRows returns the delta that turns rows into target; both must be sorted by
// key.
func diffRows(rows, target []Row) Delta {
	var d Delta
	i := 0
	for _, row := range target {
		for i < len(rows) && rows[i].Key < row.Key {
			d.Deleted = append(d.Deleted, rows[i].Key)
			i++
		}
		if i < len(rows) && rows[i].Key == row.Key {
			if rows[i].Version != row.Version || string(rows[i].Data) != string(row.Data) {
				d.Changed = append(d.Changed, row)
			}
			i++
			continue
		}
		d.Changed = append(d.Changed, row)
	}
	for ; i < len(rows); i++ {
		d.Deleted = append(d.Deleted, rows[i].Key)
	}
	return d
}

// apply returns rows with the changes of d, sorted by key. It does not modify
// rows.
func (d Delta) apply(rows []Row) []Row {
	out := make(map[string]Row, len(rows)+len(d.Changed))
	for _, r := range rows {
		out[r.Key] = r
	}
	for _, key := range d.Deleted {
		delete(out, key)
	}
	for _, r := range d.Changed {
		out[r.Key] = r
	}
	return sortedRows(out)
}

// sizeBytes returns the total length of the keys and data in d.
func (d Delta) sizeBytes() int {
	n := 0
	for _, r := range d.Changed {
		n += len(r.Key) + len(r.Data)
	}
	for _, key := range d.Deleted {
		n += len(key)
	}
	return n
}

// applyHeadDelta reconstructs rel from its predecessor, if this host has it, and
// the delta in the head. It reports false if the predecessor or the delta is
// missing or the result does not match the hash; the caller then loads all rows.
// rel is the release of the head without rows.
func (f *Follower) applyHeadDelta(rel Release, d *Delta) (Release, bool) {
	base := f.newest.Load()
	if d == nil || base == nil || base.Number+1 != rel.Number || base.Hash != rel.PreviousHash {
		return Release{}, false
	}
	rel.Rows = d.apply(base.Rows)
	return rel, rel.Verify() == nil
}
