package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Keys in the store.
const (
	intentPrefix    = "op/"
	configKey       = intentPrefix + "config"
	directoryPrefix = "workers/"
)

// Store is where operators and workers write.
type Store interface {
	Put(key string, value []byte)
}

// WriteConfig writes the operators' configuration.
func WriteConfig(s Store, c sched.Config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "plain")
	}
	s.Put(configKey, data)
	return nil
}

// WriteMembers writes the workers' entries in the directory.
func WriteMembers(s Store, members []sched.Member) error {
	for _, m := range members {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "plain")
		}
		s.Put(directoryPrefix+m.ID, data)
	}
	return nil
}

// New reads what Configure and List write.
func New() drive.Codec {
	return drive.Codec{IntentPrefix: intentPrefix, DecodeIntent: decodeIntent, DirectoryPrefix: directoryPrefix, DecodeMember: decodeMember}
}

func decodeIntent(entries []store.Entry) (drive.Intent, error) {
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

// decodeMember reads a worker's entry; one that can't be read names no worker.
func decodeMember(e store.Entry) (sched.Member, bool) {
	var m sched.Member
	err := json.Unmarshal(e.Value, &m)
	return m, err == nil
}
