package control

// Change is the answer to one change, kept under its identifier.
type ChangeRecord struct {
	ID          string `cbor:"i"`
	BaseVersion uint64 `cbor:"f"`
	Fingerprint uint64 `cbor:"p"`
	// At is the wall clock of the leader in microseconds since 1970. It is
	// shown to operators and decides nothing.
	ProposedAt int64 `cbor:"t"`
	// Accepted tells whether the change became Version; otherwise Version is
	// the one that it conflicted with.
	Accepted bool   `cbor:"a"`
	Version  uint64 `cbor:"v"`
}

// source holds the files of one accepted version.
type source struct {
	Version uint64 `cbor:"v"`
	Files   []File `cbor:"f"`
}

// configs holds the versions of the configuration.
type configs struct {
	current CurrentConfig
	// changes are in log order; byID finds them.
	changes []ChangeRecord
	byID    map[string]ChangeRecord
	files   []source
}

func newConfigs() configs {
	return configs{byID: make(map[string]ChangeRecord)}
}

// change runs one change. It returns false with the first answer when the
// identifier is known.
func (s *configs) change(c *ChangeCommand) (Result, bool) {
	if first, ok := s.byID[c.ID]; ok {
		if first.Fingerprint != c.Fingerprint {
			return Result{Code: Reused, Version: s.current.Version}, false
		}
		return first.result(), false
	}
	made := ChangeRecord{ID: c.ID, BaseVersion: c.BaseVersion, Fingerprint: c.Fingerprint, ProposedAt: c.ProposedAt, Version: s.current.Version}
	if c.BaseVersion == s.current.Version {
		made.Accepted = true
		made.Version++
		s.current = CurrentConfig{Version: made.Version, EncodedConfig: c.EncodedConfig}
		s.keep(source{Version: made.Version, Files: c.Files})
	}
	s.remember(made)
	return made.result(), true
}

func (c ChangeRecord) result() Result {
	if c.Accepted {
		return Result{Code: Accepted, Version: c.Version}
	}
	return Result{Code: Conflict, Version: c.Version}
}

func (s *configs) remember(c ChangeRecord) {
	s.changes = append(s.changes, c)
	s.byID[c.ID] = c
	if len(s.changes) > maxChanges {
		delete(s.byID, s.changes[0].ID)
		s.changes = s.changes[1:]
	}
}

func (s *configs) keep(src source) {
	s.files = append(s.files, src)
	if len(s.files) > maxSources {
		s.files[0] = source{} // lets the files be freed before the slice moves
		s.files = s.files[1:]
	}
}

func (s *configs) history(limit int) []ChangeRecord {
	n := min(max(limit, 0), len(s.changes))
	latest := make([]ChangeRecord, 0, n)
	for i := range n {
		latest = append(latest, s.changes[len(s.changes)-1-i])
	}
	return latest
}

func (s *configs) sources(version uint64) []File {
	for _, f := range s.files {
		if f.Version == version {
			return f.Files
		}
	}
	return nil
}
