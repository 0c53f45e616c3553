package recorder

import (
	"encoding/json"

	"github.com/dragonflydoor/dragonflydoor/internal/gossiper"
)

// JSON form of the record.
type (
	recordJSON struct {
		Departures []departureJSON `json:"departures"`
	}
	departureJSON struct {
		Service         string `json:"service"`
		Address         string `json:"address"`
		Instance        string `json:"instance"`
		StartedAtUnixMS int64  `json:"started_at_unix_ms"`
	}
)

func encode(list []gossiper.Target) []byte {
	j := recordJSON{Departures: make([]departureJSON, 0, len(list))}
	for _, t := range list {
		j.Departures = append(j.Departures, departureJSON{
			Service:         t.Service,
			Address:         t.Address,
			Instance:        t.Instance,
			StartedAtUnixMS: t.StartedAtUnixMS,
		})
	}
	// Texts and numbers can always be encoded.
	b, _ := json.Marshal(j)
	return b
}

// decode returns the departures of a record. It skips those that name no process.
func decode(data []byte) ([]gossiper.Target, error) {
	var j recordJSON
	if err := json.Unmarshal(data, &j); err != nil {
		return nil, err
	}
	var l []gossiper.Target
	for _, d := range j.Departures {
		if d.Instance == "" || d.Service == "" {
			continue
		}
		l = append(l, gossiper.Target{
			Service:         d.Service,
			Address:         d.Address,
			Instance:        d.Instance,
			StartedAtUnixMS: d.StartedAtUnixMS,
			Draining:        true,
		})
	}
	return l, nil
}
