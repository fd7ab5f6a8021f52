package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/oleanderspool/oleanderspool/internal/settings"
	"github.com/oleanderspool/oleanderspool/pkg/configuration"
	"github.com/oleanderspool/oleanderspool/platform"
)

// roleForward is the role of the platform's settings file.
const roleForward = "forward"

// checkCommand checks files.
type checkCommand struct {
	Role   string `long:"role" choice:"entry" choice:"agent" choice:"platform" choice:"engine" choice:"service" choice:"configuration" choice:"change_set" choice:"forward" description:"What the files hold; found out for the platform's settings (forward)"`
	Silent bool   `long:"quiet" short:"q" description:"Print findings only"`
}

func (c *checkCommand) run(env environment, files []string) error {
	if len(files) == 0 {
		return withCode(ExitUsage, errors.New("check needs at least one file"))
	}
	found := false
	for _, file := range files {
		if err := c.check(file); err != nil {
			found = true
			fmt.Fprintln(env.stdout, findingsText(err))
		} else if !c.Silent {
			fmt.Fprintf(env.stdout, "%s: no findings\n", file)
		}
	}
	if found {
		return withCode(ExitInvalid, errors.New("there are findings"))
	}
	return nil
}

func (c *checkCommand) check(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	role := c.Role
	if role == "" {
		if !platform.IsSettings(data) {
			return fmt.Errorf("%s: say with --role what the file holds", file)
		}
		role = roleForward
	}
	switch role {
	case roleForward:
		_, err = platform.ParseSettings(file, data)
	case "configuration":
		_, err = configuration.Parse(file, data)
	case "change_set":
		_, err = configuration.ParseChangeSet(file, data)
	default:
		err = settings.Check(settings.Role(role), file, data)
	}
	return err
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
