package codec

import (
	"encoding/json"

	"github.com/pkg/errors"

	"bramleysail.example/bramleysail/internal/batch/drive"
	"bramleysail.example/bramleysail/internal/batch/sched"
	"bramleysail.example/bramleysail/internal/plat/store"
)

// Keys and prefixes of keys in the store.
const (
	intentPrefix    = "op/"
	configKey       = intentPrefix + "config"
	directoryPrefix = "workers/"
)

// Store is the key-value service that operators and workers write to.
type Store interface {
	// Put writes a key.
	Put(key string, value []byte)
}

// WriteConfig writes the operators' configuration.
func WriteConfig(s Store, c sched.Config) error {
	data, err := json.Marshal(c)
	if err != nil {
		return errors.Wrap(err, "codec: encode configuration")
	}
	s.Put(configKey, data)
	return nil
}

// WriteMembers writes the workers' entries to the directory.
func WriteMembers(s Store, members []sched.Member) error {
	for _, m := range members {
		data, err := json.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "codec: encode directory entry")
		}
		s.Put(directoryPrefix+m.ID, data)
	}
	return nil
}

// New returns a codec that decodes what WriteConfig and WriteMembers write.
func New() drive.Codec {
	return drive.Codec{IntentPrefix: intentPrefix, DecodeIntent: decodeIntent, DirectoryPrefix: directoryPrefix, DecodeMember: decodeMember}
}

// decodeIntent decodes the operators' configuration, if entries contain it.
func decodeIntent(entries []store.Entry) (drive.Intent, error) {
	intent := drive.Intent{EvacuatedZones: map[string]bool{}}
	for _, e := range entries {
		if e.Key != configKey {
			continue
		}
		if err := json.Unmarshal(e.Value, &intent.Config); err != nil {
			return intent, errors.Wrap(err, "codec: decode configuration")
		}
		intent.HasConfig = true
	}
	return intent, nil
}

// decodeMember decodes a worker's directory entry. It reports false for an invalid entry, which names no worker.
func decodeMember(e store.Entry) (sched.Member, bool) {
	var m sched.Member
	err := json.Unmarshal(e.Value, &m)
	return m, err == nil
}
