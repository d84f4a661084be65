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
type versionFiles struct {
	Version uint64 `cbor:"v"`
	Files   []File `cbor:"f"`
}

// configs holds the versions of the configuration.
type configStore struct {
	current CurrentConfig
	// changes are in log order; byID finds them.
	changes     []ChangeRecord
	byID        map[string]ChangeRecord
	sourceFiles []versionFiles
}

func newConfigs() configStore {
	return configStore{byID: make(map[string]ChangeRecord)}
}

// change runs one change. It returns false with the first answer when the
// identifier is known.
func (s *configStore) applyChange(c *ChangeCommand) (Result, bool) {
	if previous, ok := s.byID[c.ID]; ok {
		if previous.Fingerprint != c.Fingerprint {
			return Result{Code: Reused, Version: s.current.Version}, false
		}
		return previous.result(), false
	}
	rec := ChangeRecord{ID: c.ID, BaseVersion: c.BaseVersion, Fingerprint: c.Fingerprint, ProposedAt: c.ProposedAt, Version: s.current.Version}
	if c.BaseVersion == s.current.Version {
		rec.Accepted = true
		rec.Version++
		s.current = CurrentConfig{Version: rec.Version, EncodedConfig: c.EncodedConfig}
		s.addFiles(versionFiles{Version: rec.Version, Files: c.Files})
	}
	s.addRecord(rec)
	return rec.result(), true
}

func (c ChangeRecord) result() Result {
	if c.Accepted {
		return Result{Code: Accepted, Version: c.Version}
	}
	return Result{Code: Conflict, Version: c.Version}
}

func (s *configStore) addRecord(c ChangeRecord) {
	s.changes = append(s.changes, c)
	s.byID[c.ID] = c
	if len(s.changes) > maxChanges {
		delete(s.byID, s.changes[0].ID)
		s.changes = s.changes[1:]
	}
}

func (s *configStore) addFiles(files versionFiles) {
	s.sourceFiles = append(s.sourceFiles, files)
	if len(s.sourceFiles) > maxSourceVersions {
		s.sourceFiles[0] = versionFiles{} // lets the files be freed before the slice moves
		s.sourceFiles = s.sourceFiles[1:]
	}
}

func (s *configStore) history(limit int) []ChangeRecord {
	n := min(max(limit, 0), len(s.changes))
	latest := make([]ChangeRecord, 0, n)
	for i := range n {
		latest = append(latest, s.changes[len(s.changes)-1-i])
	}
	return latest
}

func (s *configStore) filesOf(version uint64) []File {
	for _, f := range s.sourceFiles {
		if f.Version == version {
			return f.Files
		}
	}
	return nil
}
