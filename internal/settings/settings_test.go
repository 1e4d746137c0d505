package settings

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	. "github.com/onsi/gomega"
)

type options struct {
	name, token string
	count       int
	wait        time.Duration
	share       float64
	on          bool
}

func parse(args ...string) (*options, *flaggy.Parser, error) {
	o := &options{count: 3, wait: time.Second, share: 0.5}
	p := flaggy.NewParser("prog")
	set := New(p, "PROG")
	set.String(&o.name, "name", "a name", Required)
	set.Secret(&o.token, "token", "a secret")
	set.Int(&o.count, "count", "a count", 1, 9)
	set.Duration(&o.wait, "wait", "a wait", 0, time.Minute)
	set.Float(&o.share, "share", "a share", 0, 1)
	set.Bool(&o.on, "on", "a switch")
	return o, p, Parse(p, args, set)
}

func TestPrecedenceOfFlagsVariablesAndDefaults(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("PROG_NAME", "from-env")
	t.Setenv("PROG_COUNT", "5")
	t.Setenv("PROG_TOKEN", "t-env")
	o, _, err := parse("--count", "7", "--on")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(*o).To(Equal(options{name: "from-env", token: "t-env", count: 7, wait: time.Second, share: 0.5, on: true}))
}

// One start of a daemon with several invalid settings must report all of them.
func TestAllErrorsAreReported(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("PROG_ON", "maybe")
	_, _, err := parse("--count", "many", "--wait=2h", "--share", "-1", "--nam", "x")
	for _, want := range []string{
		`--name: is required`, `--count: "many" is not a whole number`, `--wait: 2h0m0s is not between`,
		`--share: -1 is not between 0 and 1`, `--nam: there is no such setting`, `PROG_ON="maybe"`,
	} {
		g.Expect(err).To(MatchError(ContainSubstring(want)))
	}
}

func TestUnexpectedArgumentIsAnError(t *testing.T) {
	_, _, err := parse("--name", "a", "extra")
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring(`"extra"`)))
}

func TestSecretIsReadFromFileAndNotShown(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "token")
	g.Expect(os.WriteFile(path, []byte("hush-hush\n"), 0o600)).To(Succeed())
	t.Setenv("PROG_TOKEN", "@"+path)
	o, p, err := parse("--name", "a", "--count", "99")
	g.Expect(o.token).To(Equal("hush-hush"))
	g.Expect(err.Error()).NotTo(ContainSubstring("hush"))
	help := flaggy.Help{}
	help.ExtractValues(p, "")
	var out bytes.Buffer
	g.Expect(p.HelpTemplate.Execute(&out, help)).To(Succeed())
	g.Expect(out.String()).To(ContainSubstring("PROG_TOKEN"))
	g.Expect(strings.Contains(out.String(), "hush")).To(BeFalse())

	t.Setenv("PROG_TOKEN", "@"+path+".missing")
	_, _, err = parse("--name", "a")
	g.Expect(err).To(MatchError(ContainSubstring("--token")))
}
