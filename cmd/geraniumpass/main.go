package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"geraniumpass/oper"
	"geraniumpass/start"
)

const (
	exitFailed = 1
	// exitInput says that the arguments can't be used.
	exitInput = 2
)

func main() {
	app := kingpin.New("geraniumpass", "Load balancer for expert-parallel model groups.")
	app.HelpFlag.Short('h')
	registerRoles(app)
	oper.Register(app)
	parsed := false
	app.Action(func(*kingpin.ParseContext) error {
		parsed = true
		return nil
	})
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err, parsed))
	}
}

// exitCode returns the exit code of a command that failed. Parsed is set if its arguments were understood.
func exitCode(err error, parsed bool) int {
	var input *oper.InputError
	if !parsed || errors.As(err, &input) {
		return exitInput
	}
	return exitFailed
}

func registerRoles(app *kingpin.Application) {
	entry := app.Command("entry", "Run an entry.")
	entryFile := entry.Flag("config", "Settings file in JSON with comments.").Required().String()
	entry.Action(func(*kingpin.ParseContext) error { return start.Entry(*entryFile) })

	agent := app.Command("agent", "Run the agent of one upstream instance.")
	agentFile := agent.Flag("config", "Settings file in JSON with comments.").Required().String()
	agent.Action(func(*kingpin.ParseContext) error { return start.Agent(*agentFile) })

	gateway := app.Command("gateway", "Run an entry on the platform, directly in front of the upstreams.")
	gatewayFile := gateway.Flag("config", "Settings file in JSON with comments.").Envar(start.SettingsVariable).Required().String()
	gateway.Action(func(*kingpin.ParseContext) error { return start.Gateway(*gatewayFile) })
	sidecar := app.Command("sidecar", "Run the sidecar of one rank of a group on the platform.")
	sidecarFile := sidecar.Flag("config", "Settings file in JSON with comments.").Envar(start.SettingsVariable).Required().String()
	sidecar.Action(func(*kingpin.ParseContext) error { return start.Sidecar(*sidecarFile) })
	check := app.Command("check", "Validate a settings file.")
	checkFile := check.Arg("file", "Settings file of any role.").Required().String()
	check.Action(func(*kingpin.ParseContext) error {
		role, err := start.Check(*checkFile)
		if err == nil {
			fmt.Printf("%s is a valid settings file of the role %s\n", *checkFile, role)
		}
		return err
	})
}
