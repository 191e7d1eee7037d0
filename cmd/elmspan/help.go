package main

import "github.com/alecthomas/kong"

// helpTexts are what --help says where it does not fit beside a field: kong puts them in
// the place of ${name}.
var helpTexts = kong.Vars{
	"callerflags_ca":        "Authority of the interface's certificate, in PEM: it is then spoken to by TLS.",
	"callerflags_tokenfile": "File with the operator's token, where the system asks for one.",
	"commands_check": "Check files: node settings, tuning and fleets (.toml), configurations (.cbor, " +
		".json). Names each fault in a line.",
	"commands_emulate": "Start a fleet on loopback with stand-ins of all it meets, play a day and report. " +
		"Example: elmspan emulate docs/fleet.toml",
	"commands_soak": "Play days drawn by seeds on which signals, restarts, changes, bad servers and leaving " +
		"clients overlap, with real processes on loopback. Example: elmspan soak --seeds 50",
	"commands_state": "Export what the core agrees on, begin a lost core from it, and look into a data " +
		"folder.",
	"configcmd_diff": "Show in which routes, services and tenants a file differs from the newest " +
		"configuration.",
	"emulatecmd_dir": "Folder for settings, data and logs; a new one below the system's for such where " +
		"left out.",
	"emulatecmd_profile": "Have each process that ends in order write a CPU profile to this folder (go tool " +
		"pprof -top FOLDER/*.pprof), and print what they spent.",
	"emulatecmd_program": "Run this build of the gateway rather than this program's own.",
	"emulatecmd_upgrade": "After the day restart the machines one by one into this build while an operator " +
		"brings changes, then kill all at once: each must come back with it and the newest " +
		"configuration.",
	"gatewaycmd_loglevel": "Least level of what is logged, before the tuning file's: debug, info, warn or error.",
	"gatewaycmd_profile":  "Write a CPU profile and what the process spent to files in this folder when it ends.",
	"gatewaycmd_tuning":   "Path of the tuning file, if there is one; see docs/tuning.md.",
	"keyscmd_init": "Make an authority in a folder. Keep the folder to yourself. Example: elmspan keys " +
		"init ca",
	"keyscmd_issue": "Write the folder of one machine, for tls.dir of its tuning file. Example: elmspan " +
		"keys issue ca edge-a-1 --ip 10.1.0.13",
	"keyscmd_rotate": "Take a change of keys one stage on. There are three; after each, issue every " +
		"machine's folder anew.",
	"operatorsadd_file": "The file that control.operators of the tuning file names; it is made where there is " +
		"none.",
	"soakcmd_dir": "Folder for a folder of each day; those of days on which nothing broke are removed. A new " +
		"one below the system's for such where left out.",
	"soakcmd_first":    "The first seed; the others follow it.",
	"soakcmd_machines": "Processes of a day: 3 to 300, by threes. Mind the memory: about 40 MB each.",
	"statecmd_check": "Read a data folder or an export and say what is in it. The process must not be " +
		"running.",
	"statecmd_export": "Write all that the core agrees on to one file, which a lost core can be begun from " +
		"again.",
	"statecmd_import": "Begin a lost core from an export: on each seed machine, with the system stopped and " +
		"its data folder empty.",
	"stateexport_control":  "A control_port address of the running system.",
	"stateexport_data":     "Or the data folder of a member that does not run.",
	"stateimport_settings": "The machine's settings file: it names the data folder and the seeds.",
}
