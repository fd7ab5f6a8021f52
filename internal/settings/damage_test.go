package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/joomcode/errorx"
	"pgregory.net/rapid"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/settings"
)

// Guards against a panic on corrupted files in the code that reads the syntax
// tree, and against errors of a type other than ErrInvalid.
func TestDamagedFiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		role := rapid.SampledFrom(settings.Roles).Draw(t, "role")
		data, err := os.ReadFile(filepath.Join("../../examples/settings", string(role)+".toml"))
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 4).Draw(t, "count") {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			switch rapid.IntRange(0, 2).Draw(t, "damage") {
			case 0:
				data = data[:at+1]
			case 1:
				data[at] = rapid.SampledFrom([]byte("\x00\n\"'[]{}=.,#\xff0")).Draw(t, "byte")
			default:
				data = slices.Insert(data, at, rapid.SampledFrom([]byte("\n\"'[]{}=.,#_-")).Draw(t, "inserted"))
			}
		}
		if err := settings.Check(role, "", data); err != nil && !errorx.IsOfType(err, oleanderspool.ErrInvalid) {
			t.Fatalf("error of another type: %v", err)
		}
	})
}
