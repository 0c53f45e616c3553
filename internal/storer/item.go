package storer

import (
	"encoding/json"

	"github.com/dragonflydoor/dragonflydoor/internal/judge"
)

type itemJSON struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// EncodeItems returns the wire form of a listing.
func EncodeItems(items []Item) []byte {
	l := make([]itemJSON, 0, len(items))
	for _, i := range items {
		l = append(l, itemJSON{Key: i.Key, Revision: i.Value.Revision, Data: i.Value.Data})
	}
	b, err := json.Marshal(l)
	if err != nil {
		panic("storer: " + err.Error())
	}
	return b
}

// DecodeItems reads the wire form of a listing.
func DecodeItems(data []byte) ([]Item, error) {
	var l []itemJSON
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, judge.Wrap(err, judge.Unavailable, judge.NotRun, "store: listing")
	}
	r := make([]Item, 0, len(l))
	for _, i := range l {
		r = append(r, Item{Key: i.Key, Value: Value{Data: i.Data, Revision: i.Revision}})
	}
	return r, nil
}
