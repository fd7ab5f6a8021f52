package command

// registrations lists the subcommands.
func registrations() []registration {
	return []registration{
		{
			"entry", "Serve callers", "Runs an entry: serves callers and sends their requests to agents. SIGTERM stops it without cutting a request.",
			&entryCommand{},
		},
		{
			"forward", "Serve callers on the platform", "Runs an entry on the users' platform: follows the platform's store and forwards requests to the registered backend servers. The platform names the settings file. SIGTERM stops it without cutting a request.",
			&forwardCommand{},
		},
		{
			"agent", "Run beside a backend server", "Runs the agent beside a model engine or a plain service. SIGTERM stops it without cutting a request.",
			&agentCommand{},
		},
		{
			"check", "Check settings or a configuration", "Checks settings or configuration files and prints every finding with its file, line and key, and with --against what differs from the configuration in force. Exits 3 when there is an error, with --strict also when there is a warning.",
			&checkCommand{},
		},
		{
			"publish", "Publish a configuration", "Publishes a printed configuration or a change set and says whether it was accepted, and why not. With --wait it waits until the change is in force everywhere and lists who lags.",
			&publishCommand{},
		},
		{
			"status", "Show the fleet", "Asks every process that the platform lists for its revision and state. Exits 1 when one is unreachable.",
			&statusCommand{},
		},
		{
			"solo", "Run everything in one process", "Runs an entry, agents and stand-ins for engines, plain services and the platform on loopback, and shows a few requests.",
			&soloCommand{},
		},
		{
			"send", "Send a request", "Sends one request, prints the answer as it arrives and sends it again when the refusal allows it.",
			&sendCommand{},
		},
		{
			"load", "Generate load", "Sends seeded requests with short and long prompts and prints time to first token by prompt length and the slowdown of short requests.",
			&loadCommand{},
		},
		{
			"measure", "Measure the policy under load", "Compares the routing, admission and queue order of this program with three simple policies on seeded traces, with a virtual clock and a fake engine, and prints time to first token by prompt length and the slowdown of short requests. docs/policy.md explains the report. All traces take about a minute.",
			&measureCommand{},
		},
		{
			"predictions", "Compare predicted and real first tokens", "Reads the logs of entries on the platform from files or standard input and prints, by prompt length, the predicted and the real time to the first token and the error (real minus predicted), in milliseconds.",
			&predictionsCommand{},
		},
		{
			"standin", "Run a stand-in", "Runs a stand-in for an outside system: platform, engine or service.",
			&standinCommand{},
		},
	}
}
