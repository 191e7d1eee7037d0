package main

import "github.com/alecthomas/kong"

// helpTexts are what --help says where it does not fit beside a field: kong puts them in the
// place of ${name}.
var helpTexts = kong.Vars{
	"bench_dir": "Folder for settings, data and logs; a new one below the system's for such where left out.",
	"commands_added": "Measure what one gateway process adds to a request on loopback. " +
		"Example: elmspan-lab added --seconds 20",
	"commands_core": "Measure the core with many limiters: three real processes on loopback. " +
		"Example: elmspan-lab core --limiters 1000 --servers 3000",
	"commands_hollow": "Measure what a limiter holds and spends for control: hundreds of hollow ones in one " +
		"process. Example: elmspan-lab hollow --hollow 200",
	"commands_load": "Send a day's requests to a running system. " +
		"Example: elmspan-lab load docs/fleet.toml --front 127.10.0.1:8080 --key large=secret",
	"commands_plan": "Find how many servers a day needs. Example: elmspan-lab plan docs/fleet.toml --in-aim 0.98",
	"commands_replay": "Send recorded requests to a running system, as they were spaced. The record: CSV with " +
		"at_s,class,tenant.",
	"commands_simulate": "Play a day on a simulated clock. " +
		"Example: elmspan-lab simulate docs/days/large.toml --html report.html",
	"commands_sweep": "Play a day with several values of a parameter, under several policies. " +
		"Example: elmspan-lab sweep docs/fleet.toml load=0.5,1,1.5 --html report.html",
	"experiment_policy": "Policies to compare: elmspan (the default), least-outstanding, random, round-robin, " +
		"two-choices; or all.",
	"simulate_machines": "Another number of machines a zone than the file's; load and servers go along.",
	"sweep_param": "The parameter and its values, as load=0.5,1,2. Parameters: machines_per_zone, load, " +
		"servers, words_loss, quota_x.",
	"target_front": "front_port addresses of limiters, each with --front.",
}
