package control

// ChangeRecord is the outcome of one change, stored under the identifier of the change.
type ChangeRecord struct {
	ID          string `cbor:"i"`
	BaseVersion uint64 `cbor:"f"`
	Fingerprint uint64 `cbor:"p"`
	// ProposedAt is the wall clock of the leader in microseconds since the Unix epoch. It is
	// only shown to operators.
	ProposedAt int64 `cbor:"t"`
	// Accepted is true if the change became Version. Otherwise Version is the version that it
	// conflicted with.
	Accepted bool   `cbor:"a"`
	Version  uint64 `cbor:"v"`
}

// versionFiles holds the source files of one accepted version.
type versionFiles struct {
	Version uint64 `cbor:"v"`
	Files   []File `cbor:"f"`
}

// configStore holds the current configuration, the history of changes and the source files of
// recent versions.
type configStore struct {
	current CurrentConfig
	// changes holds the records in log order; byID indexes them by change identifier.
	changes     []ChangeRecord
	byID        map[string]ChangeRecord
	sourceFiles []versionFiles
}

func newConfigStore() configStore {
	return configStore{byID: make(map[string]ChangeRecord)}
}

// applyChange applies one change and reports whether its identifier is new. For a known
// identifier it returns the stored outcome, or Reused if the fingerprint differs.
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
		s.sourceFiles[0] = versionFiles{} // releases the files before the slice is reallocated
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
