package settings_test

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/golden"
	"github.com/oleanderspool/oleanderspool/internal/settings"
)

// Guards against findings that are lost, have a wrong line or are reported one at
// a time. The expected findings of NAME.toml under testdata are in NAME.txt. Each
// name starts with the role.
var _ = Describe("Check", func() {
	inputs, err := filepath.Glob("testdata/*.toml")
	if err != nil || len(inputs) == 0 {
		panic("testdata has no input files")
	}
	for _, input := range inputs {
		It("reports all findings of "+filepath.Base(input), func() {
			data, err := os.ReadFile(input)
			Expect(err).NotTo(HaveOccurred())
			role, _, _ := strings.Cut(filepath.Base(input), "_")
			err = settings.Check(settings.Role(role), filepath.Base(input), data)
			Expect(err).To(HaveOccurred())
			golden.Match(strings.TrimSuffix(input, ".toml")+".txt", err.Error()+"\n")
		})
	}

	It("refuses an unknown role", func() {
		Expect(settings.Check("queen", "", nil)).To(MatchError(ContainSubstring("unknown role queen")))
	})
})

// Guards against example files that do not parse, that lack a key, or that show
// a value other than the default.
var _ = Describe("The example settings files", func() {
	for _, role := range settings.Roles {
		It("are valid and complete for "+string(role), func() {
			file := filepath.Join("../../examples/settings", string(role)+".toml")
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.Check(role, file, data)).To(Succeed())
			for _, key := range settings.Keys(role) {
				name := key.Name[strings.LastIndexByte(key.Name, '.')+1:]
				Expect(string(data)).To(MatchRegexp(`(?m)^(# )?`+regexp.QuoteMeta(name)+" = "), "key %s", key.Name)
			}
		})
	}

	It("give the documented values for entry", func() {
		data, err := os.ReadFile("../../examples/settings/entry.toml")
		Expect(err).NotTo(HaveOccurred())
		e, err := settings.ParseEntry("", data)
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Identity).To(Equal(settings.Identity{Instance: "entry-1", DataCentre: "dc-a"}))
		Expect(e.Peers).To(Equal([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7081"), netip.MustParseAddrPort("127.0.0.1:7082")}))
		Expect(e.Log).To(Equal(settings.Log{Level: slog.LevelInfo, Format: "text"}))
		Expect(e.Limits).To(Equal(settings.Limits{BodyBytes: 16 << 20, HeaderBytes: 32 << 10, ReadTimeout: 30_000, WatchLimit: 40}))
		Expect(e.KeyLifetime).To(Equal(6 * oleanderspool.Hour))
		Expect(e.RetryBudget).To(Equal(settings.RetryBudget{Fraction: 0.1, Reserve: 10}))
	})
})

// Guards against an agent that accepts the keys of the other role.
var _ = Describe("ParseAgent", func() {
	const common = "instance=\"a\"\ndata_centre=\"d\"\npeer_listen=\"127.0.0.1:1\"\nadmin_listen=\"[::1]:2\"\nplatform=\"127.0.0.1:3\"\n"
	It("reads an agent of a plain service with defaults", func() {
		a, err := settings.ParseAgent("", []byte(common+"role=\"service\"\nservice=\"127.0.0.1:4\"\nroutes=[\"r\"]\nlog.level=\"debug\"\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(a.Role).To(Equal(oleanderspool.RoleService))
		Expect(a.Routes).To(Equal([]oleanderspool.RouteID{"r"}))
		Expect(a.Engine.IsValid()).To(BeFalse())
		Expect(a.HeartbeatInterval).To(Equal(oleanderspool.Second))
		Expect(a.Log.Level).To(Equal(slog.LevelDebug))
	})
	It("reports keys that belong to the other role and missing keys of its own", func() {
		_, err := settings.ParseAgent("", []byte(common+"role=\"model\"\nservice=\"127.0.0.1:4\"\n"))
		Expect(err).To(MatchError(ContainSubstring("service: is not used by role model")))
		Expect(err).To(MatchError(ContainSubstring("engine: is missing")))
	})
})

// Guards against keys that docs/settings.md lacks or describes wrongly.
var _ = Describe("docs/settings.md", func() {
	It("lists every key with its type, unit, default and range, and no other", func() {
		data, err := os.ReadFile("../../docs/settings.md")
		Expect(err).NotTo(HaveOccurred())
		sections := strings.Split(string(data), "\n## ")[1:]
		Expect(sections).To(HaveLen(len(settings.Roles)))
		for i, role := range settings.Roles {
			var got, want []string
			for _, line := range strings.Split(sections[i], "\n") {
				if strings.HasPrefix(line, "| `") {
					cells := strings.Split(line, " | ")
					got = append(got, strings.Join(cells[:5], " | "))
				}
			}
			for _, k := range settings.Keys(role) {
				want = append(want, row(k))
			}
			Expect(sections[i]).To(HavePrefix(string(role)))
			Expect(got).To(Equal(want))
		}
	})
})

func row(k settings.Key) string {
	preset, unit := k.Default, k.Unit
	if preset == "" {
		preset = "required"
	}
	if unit == "" {
		unit = "-"
	}
	return fmt.Sprintf("| `%s` | %s | %s | %s | %s", k.Name, k.Type, unit, preset, k.Range)
}
