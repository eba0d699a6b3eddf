package settings

import (
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// Load reads the settings of an entry VM from a file. Paths in it are relative to its directory. The error is that of
// Parse, or names the file that can't be read, which can also be one of the TLS files.
func Load(path string) (*Settings, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(data, path)
	if err != nil {
		return nil, err
	}
	if !s.tls.Enabled() {
		return s, nil
	}

	s.tls = s.tls.relativeTo(filepath.Dir(path))
	for _, name := range []string{s.tls.certificatePath, s.tls.keyPath, s.tls.caPath} {
		if _, err := readFile(name); err != nil {
			return nil, errors.Wrapf(err, "%s: read the files for tls", path)
		}
	}
	return s, nil
}

// LoadStandIn reads the settings of the platform stand-in from a file. The error is that of ParseStandIn, or names the
// file that can't be read.
func LoadStandIn(path string) (*StandIn, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseStandIn(data, path)
}

func (t TLS) relativeTo(dir string) TLS {
	return TLS{
		certificatePath: relative(dir, t.certificatePath),
		keyPath:         relative(dir, t.keyPath),
		caPath:          relative(dir, t.caPath),
	}
}

func relative(dir, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(dir, path)
}

// readFile reads a file of at most maxFileBytes. It doesn't read more than that of a larger file.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer f.Close()

	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", path)
	}
	if len(data) > maxFileBytes {
		return nil, errors.Errorf(
			"read %s: found more than %d bytes, allowed: at most %d bytes", path, maxFileBytes, maxFileBytes)
	}
	return data, nil
}
