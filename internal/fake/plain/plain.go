package plain

import (
	"encoding/json"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Keys in the store.
const (
	intentPrefix = "op/"
	configKey    = intentPrefix + "config"
	rosterPrefix = "workers/"
)

// Store is where operators and workers write.
type Store interface {
	Put(key string, value []byte)
}

// Configure writes the operators' configuration.
func Configure(s Store, c sched.Config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "plain")
	}
	s.Put(configKey, data)
	return nil
}

// List writes the workers' entries in the directory.
func List(s Store, members []sched.Member) error {
	for _, m := range members {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "plain")
		}
		s.Put(rosterPrefix+m.ID, data)
	}
	return nil
}

// Codec reads what Configure and List write.
func Codec() drive.Codec {
	return drive.Codec{IntentPrefix: intentPrefix, DecodeIntent: intent, DirectoryPrefix: rosterPrefix, DecodeMember: member}
}

func intent(entries []store.Entry) (drive.Intent, error) {
	in := drive.Intent{EvacuatedZones: map[string]bool{}}
	for _, e := range entries {
		if e.Key != configKey {
			continue
		}
		if err := json.Unmarshal(e.Value, &in.Config); err != nil {
			return in, errors.Wrap(err, "plain")
		}
		in.HasConfig = true
	}
	return in, nil
}

// member reads a worker's entry; one that can't be read names no worker.
func member(e store.Entry) (sched.Member, bool) {
	var m sched.Member
	err := json.Unmarshal(e.Value, &m)
	return m, err == nil
}
