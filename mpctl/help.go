package main

const helpText = `Every change has a reason (-m) and the version that it is based on, so that two
operators cannot overwrite each other's changes unnoticed. 'mpctl get KIND'
shows the active configuration; 'mpctl history' shows who changed it and why.

Kinds: region, failure-domain, link, service, target, team, key, route, shift,
client-block.

Examples:
  mpctl get target
  mpctl check intents.yaml
  mpctl apply -f intents.yaml --dry-run
  mpctl apply -f intents.yaml -m 'first set-up' --wait
  mpctl set team lawns rate=80 -m 'spring season'
  mpctl set service subs-desk shedding.status=429 -m 'targets changed'
  mpctl drain target subs-desk-3 -m 'disk is failing'
  mpctl keys grant lawns --name lawns-2027 -m 'new partner'
  mpctl rollback 57 -m 'the script was wrong'
  mpctl watch

'mpctl COMMAND --help' explains a command.

Exit codes: 0 success, 1 failure, 2 invalid arguments, 3 not found, 4 version
conflict (the resource was changed in the meantime), 5 outcome unknown, 6 stored,
but not yet active in all instances that must apply it.`

// The long descriptions of commands.
const (
	getHelp = `Shows all resources of a kind, or one. A change must be based on the version
shown.

Examples:
  mpctl get team
  mpctl get team lawns -o json`
	applyHelp = `Creates or updates the resources of a YAML file, one document after the other.
A document without a version is based on the current version. The command stops
at the first failure and reports how many documents were applied before it.
Resources that already match the file are not changed, so that the same file
can be applied again.

--dry-run shows each field that would change (+ added, - removed, ~ changed)
and changes nothing; it does not validate values, 'mpctl check' does. A
document looks like this:

  kind: team
  name: lawns
  spec: {rate: 100, burst: 20, weight: 1}

Examples:
  mpctl apply -f intents.yaml --dry-run
  mpctl apply -f intents.yaml -m 'first set-up'
  cat intents.yaml | mpctl apply -f - -m 'from the pipeline'`
	setHelp = `Changes fields of one resource, based on the current version or the given one.
Dots separate the names of nested fields. Values are parsed as YAML; null
removes a field.

Examples:
  mpctl set team lawns rate=80 burst=10 -m 'spring season'
  mpctl set route reports 'teams=[lawns, riders]' -m 'riders read reports too'
  mpctl set service subs-desk shedding.status=429 -m 'targets changed'
  mpctl set service subs-desk shedding=null -m 'targets no longer shed load'`
	deleteHelp = `Deletes one resource. No other resource may refer to it.

Examples:
  mpctl delete route hours -m 'the office is closed'`
	goneHelp = `Declares that the process of an instance has ended for certain. This is only
needed when most instances have ended at once and were replaced by instances
with other addresses: until it is declared, the new instances use only those
shares of the limits that cannot be in use elsewhere. Never use it for an
instance that may still be running.

Examples:
  mpctl gone entry-4 -m 'machine was decommissioned'`
	rollbackHelp = `Makes a new change that gives a resource the value that it had before an
earlier change: a resource that the change created is deleted, one that it
deleted is created again, and one that it updated gets its previous value.
Later changes of the same resource are undone as well; 'mpctl history KIND NAME'
shows them.

Examples:
  mpctl history team lawns
  mpctl rollback 57 -m 'the script was wrong'`
	watchHelp = `Prints each change when the instance applies it, from now on or after a
revision. A broken watch is resumed where it stopped.

Examples:
  mpctl watch
  mpctl watch team --after 40 -o json`
	historyHelp = `Shows who changed what, when and why, newest first.

Examples:
  mpctl history
  mpctl history team lawns --limit 5`
	statusHelp = `Shows the instances, which of them have applied the latest change, and the state
of the store and the peers as seen by the instance that is called.
docs/OPERATIONS.md explains each state and what to do.`
	restoreHelp = `Writes the active changes that the store has lost back into it, for example after
the store was restored from an older backup. 'mpctl status' shows store: behind
or diverged in that case. Changes of another history are replaced only with
--replace-other-history.

Examples:
  mpctl restore -m 'the store was restored from a backup'`
	drainHelp = `Marks a target as leaving: after at most 5 s it gets no new requests, and running
requests finish. To put it back into service: mpctl set target NAME leaving=false.

Examples:
  mpctl drain target subs-desk-3 -m 'disk is failing'`
	grantHelp = `Creates an API key for a team and prints it once; only its hash is stored.

Examples:
  mpctl keys grant lawns --name lawns-2027 -m 'new partner'`
	withdrawHelp = `Revokes an API key by its name; all instances refuse it within 5 s.

Examples:
  mpctl keys withdraw lawns-2026 -m 'replaced by lawns-2027'`
)

// command describes one command of the program.
type command struct {
	name, short, long string
	data              any
}

func commands(p *program) []command {
	return []command{
		{"get", "show resources", getHelp, &getCommand{program: p}},
		{"apply", "create or update from YAML", applyHelp, &applyCommand{program: p}},
		{"check", "check YAML before it is applied", checkHelp, &checkCommand{program: p}},
		{"set", "change fields of a resource", setHelp, &setCommand{program: p}},
		{"delete", "delete a resource", deleteHelp, &deleteCommand{program: p}},
		{"rollback", "undo a change with a new one", rollbackHelp, &rollbackCommand{program: p}},
		{"gone", "declare that an instance has ended", goneHelp, &goneCommand{program: p}},
		{"watch", "follow changes", watchHelp, &watchCommand{program: p}},
		{"history", "show past changes", historyHelp, &historyCommand{program: p}},
		{"status", "show the state of the fleet", statusHelp, &statusCommand{program: p}},
		{"explain", "show the log entries of a request", explainHelp, &explainCommand{program: p}},
		{"restore", "write lost changes back to the store", restoreHelp, &restoreCommand{program: p}},
		{"drain", "take a target out of service", drainHelp, &drainCommand{program: p}},
		{"keys", "grant and revoke API keys", "Grants and revokes the API keys of teams.", &struct{}{}},
	}
}

const explainHelp = `Reads the log files of instances, or standard input, and prints the log entries
of one request in order of time: each attempt with its target, the state of the
target as known at the time, and the duration; each refusal with its reason.

Examples:
  mpctl explain 9c41d07be2a35f68 entry-1.log entry-2.log`
