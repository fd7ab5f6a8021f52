package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/oleanderspool/oleanderspool"
	"github.com/oleanderspool/oleanderspool/internal/placement"
	"github.com/oleanderspool/oleanderspool/internal/settings"
	"github.com/oleanderspool/oleanderspool/internal/validation"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
	"github.com/oleanderspool/oleanderspool/platform"
)

// The roles that the content of a file identifies.
const (
	// roleForward is the role of the platform's settings file.
	roleForward = "forward"
	// roleForwardConfiguration is the role of the configuration that the operator of the
	// platform sends.
	roleForwardConfiguration = "forward_configuration"
	// roleConfiguration is the role of the product's own configuration.
	roleConfiguration = "configuration"
)

// checkCommand checks files.
type checkCommand struct {
	Role     string `long:"role" choice:"entry" choice:"agent" choice:"platform" choice:"engine" choice:"service" choice:"configuration" choice:"change_set" choice:"forward" choice:"forward_configuration" description:"What the files hold; found out for the platform's settings (forward) and configuration (forward_configuration)"`
	Against  string `long:"against" value-name:"FILE" description:"The configuration in force; the differences from it are listed"`
	Settings string `long:"settings" value-name:"FILE" description:"The platform's settings of an instance, whose memory the limits of a configuration must fit"`
	Strict   bool   `long:"strict" description:"Warnings count as errors"`
	Silent   bool   `long:"quiet" short:"q" description:"Print findings only"`
}

func (c *checkCommand) run(env environment, files []string) error {
	if len(files) == 0 {
		return withCode(ExitUsage, errors.New("check needs at least one file"))
	}
	failed := false
	for _, file := range files {
		findings, err := c.check(file)
		if err != nil {
			failed = true
			fmt.Fprintln(env.stdout, findingsText(err))
		}
		for _, f := range findings {
			failed = failed || c.fails(f)
			fmt.Fprintln(env.stdout, f)
		}
		if err == nil && len(findings) == 0 && !c.Silent {
			fmt.Fprintf(env.stdout, "%s: no findings\n", file)
		}
	}
	if failed {
		return withCode(ExitInvalid, errors.New("there are findings"))
	}
	return nil
}

// fails reports whether a file with the finding must not be used.
func (c *checkCommand) fails(f oleanderspool.Finding) bool {
	return f.Severity == oleanderspool.SeverityError || c.Strict && f.Severity == oleanderspool.SeverityWarning
}

func (c *checkCommand) check(file string) ([]oleanderspool.Finding, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	role := c.Role
	switch {
	case role != "":
	case platform.IsSettings(data):
		role = roleForward
	case platform.IsConfigurationFile(data):
		role = roleForwardConfiguration
	default:
		return nil, fmt.Errorf("%s: say with --role what the file holds", file)
	}
	if c.Against != "" && role != roleForwardConfiguration && role != roleConfiguration {
		return nil, fmt.Errorf("%s: --against is for configurations only", file)
	}
	if c.Settings != "" && role != roleForwardConfiguration {
		return nil, fmt.Errorf("%s: --settings is for configurations of the platform only", file)
	}
	switch role {
	case roleForward:
		_, err = platform.ParseSettings(file, data)
	case roleForwardConfiguration:
		return c.checkForward(file, data)
	case roleConfiguration:
		return c.checkOwn(file, data)
	case "change_set":
		_, err = configuration.ParseChangeSet(file, data)
	default:
		err = settings.Check(settings.Role(role), file, data)
	}
	return nil, err
}

// checkForward checks a configuration of the platform.
func (c *checkCommand) checkForward(file string, data []byte) ([]oleanderspool.Finding, error) {
	bounds, err := c.bounds()
	if err != nil {
		return nil, err
	}
	next, findings := platform.DecodeDocument(file, data)
	if len(findings) > 0 {
		return findings, nil
	}
	problems := validation.Check(next, bounds)
	if c.Against != "" {
		data, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		inForce, findings := platform.DecodeDocument(c.Against, data)
		if len(findings) > 0 {
			return findings, nil
		}
		problems = append(problems, validation.Compare(inForce, next)...)
		validation.Sort(problems)
	}
	return platform.DescribeProblems(file, c.Against, problems), nil
}

// bounds returns what limits the configurations of the platform.
func (c *checkCommand) bounds() (validation.Bounds, error) {
	b := validation.Bounds{MaxRank: placement.MaxRank}
	if c.Settings == "" {
		return b, nil
	}
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return b, err
	}
	s, err := platform.ParseSettings(c.Settings, data)
	b.BufferBytes = bufferMemory(s)
	return b, err
}

// checkOwn checks a configuration of the product.
func (c *checkCommand) checkOwn(file string, data []byte) ([]oleanderspool.Finding, error) {
	next, err := configuration.Parse(file, data)
	if err != nil {
		return nil, err
	}
	findings := next.Unused()
	if c.Against != "" {
		data, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		inForce, err := configuration.Parse(c.Against, data)
		if err != nil {
			return nil, err
		}
		findings = append(findings, configuration.Differences(inForce, next)...)
	}
	for i := range findings {
		findings[i].File = file
	}
	return findings, nil
}

// findingsText returns the findings of an error, one a line, or its text.
func findingsText(err error) string {
	findings := configuration.FindingsOf(err)
	if len(findings) == 0 {
		return err.Error()
	}
	text := ""
	for i, f := range findings {
		if i > 0 {
			text += "\n"
		}
		text += f.String()
	}
	return text
}
