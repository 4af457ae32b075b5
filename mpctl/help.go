package main

const helpText = `Every change names a reason (-m) and the version that it was based on, so that
two people never overwrite each other unseen. 'mpctl get KIND' shows what is
in force; 'mpctl history' shows who changed it and why.

Kinds: region, failure-domain, link, service, target, team, key, route, shift,
client-block.

Examples:
  mpctl get target
  mpctl apply -f intents.yaml --dry-run
  mpctl apply -f intents.yaml -m 'first set-up' --wait
  mpctl set team lawns rate=80 -m 'spring season'
  mpctl set service subs-desk shedding.status=429 -m 'targets changed'
  mpctl drain target subs-desk-3 -m 'disk is failing'
  mpctl keys grant lawns --name lawns-2027 -m 'new partner'
  mpctl rollback 57 -m 'the script was wrong'
  mpctl watch

'mpctl COMMAND --help' explains a command.

Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 not found, 4 someone else
changed it first, 5 outcome unknown, 6 stored, but not in force where it
should be.`

// The long descriptions of commands.
const (
	getHelp = `Shows all resources of a kind, or one. The version is what a change must be
based on.

Examples:
  mpctl get team
  mpctl get team lawns -o json`
	applyHelp = `Creates or updates the resources of a YAML file, one document after the other.
A document that names no version is based on the one in force. The first
failure ends it; the message says how many documents were done before. What is
in force as the file says already is left alone, so that the same file can be
applied again.

--dry-run shows each field that would change (+ added, - removed, ~ changed)
and changes nothing; it does not check values. A document looks like this:

  kind: team
  name: lawns
  spec: {rate: 100, burst: 20, weight: 1}

Examples:
  mpctl apply -f intents.yaml --dry-run
  mpctl apply -f intents.yaml -m 'first set-up'
  cat intents.yaml | mpctl apply -f - -m 'from the pipeline'`
	setHelp = `Changes fields of one resource, on the version in force or the given one. Dots
lead to nested fields; values are read as YAML; null removes a field.

Examples:
  mpctl set team lawns rate=80 burst=10 -m 'spring season'
  mpctl set route reports 'teams=[lawns, riders]' -m 'riders read reports too'
  mpctl set service subs-desk shedding.status=429 -m 'targets changed'
  mpctl set service subs-desk shedding=null -m 'targets do not shed any more'`
	deleteHelp = `Deletes one resource that no other names.

Examples:
  mpctl delete route hours -m 'the office is closed'`
	goneHelp = `Says that the process of an instance has certainly ended. It is only needed when
most instances have ended at once and others run in their place under other
addresses: until then the new ones use only the portions that cannot be in use.
Never say it of an instance that may still run.

Examples:
  mpctl gone entry-4 -m 'machine was dismantled'`
	rollbackHelp = `Makes a new change that gives a resource the value that it had before an
earlier change: what the change created is deleted, what it deleted is
created, and what it updated gets its previous value. Later changes of the
same resource are replaced as well; 'mpctl history KIND NAME' shows them.

Examples:
  mpctl history team lawns
  mpctl rollback 57 -m 'the script was wrong'`
	watchHelp = `Prints each change as it comes into force, from now on or after a revision. A
broken watch is resumed where it stopped.

Examples:
  mpctl watch
  mpctl watch team --after 40 -o json`
	historyHelp = `Shows who changed what, when and why, the newest first.

Examples:
  mpctl history
  mpctl history team lawns --limit 5`
	statusHelp = `Shows the instances, where the latest change is in force and where it is not,
and what the instance that was asked thinks of the store and of its peers.
docs/OPERATIONS.md says what each state means and what to do.`
	restoreHelp = `Puts back into the store the changes that are in force and that it has lost,
such as after it came back with an older state. 'mpctl status' shows store:
behind or diverged then. Changes of another history are replaced only with
--replace-other-history.

Examples:
  mpctl restore -m 'the store came back from a backup'`
	drainHelp = `Marks a target as leaving: it gets no new work within 5 s, and what runs
finishes. To take it back: mpctl set target NAME leaving=false.

Examples:
  mpctl drain target subs-desk-3 -m 'disk is failing'`
	grantHelp = `Creates a key for a team and prints it once; only its hash is kept.

Examples:
  mpctl keys grant lawns --name lawns-2027 -m 'new partner'`
	withdrawHelp = `Withdraws a key by its name; it stops working everywhere within 5 s.

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
		{"set", "change fields of a resource", setHelp, &setCommand{program: p}},
		{"delete", "delete a resource", deleteHelp, &deleteCommand{program: p}},
		{"rollback", "undo a change by a new one", rollbackHelp, &rollbackCommand{program: p}},
		{"gone", "say that an instance has ended", goneHelp, &goneCommand{program: p}},
		{"watch", "follow changes", watchHelp, &watchCommand{program: p}},
		{"history", "show past changes", historyHelp, &historyCommand{program: p}},
		{"status", "show the state of the fleet", statusHelp, &statusCommand{program: p}},
		{"explain", "tell from logs what became of a request", explainHelp, &explainCommand{program: p}},
		{"restore", "put back what the store has lost", restoreHelp, &restoreCommand{program: p}},
		{"drain", "take a target out of service", drainHelp, &drainCommand{program: p}},
		{"keys", "grant and withdraw keys", "Grants and withdraws the keys by which teams call.", &struct{}{}},
	}
}

const explainHelp = `Reads the log files of instances, or standard input, and prints in the order of time every decision about one
request: attempts with their target, what was believed of it, how long it took, and refusals with their reason.

  mpctl explain 9c41d07be2a35f68 edge-1.log edge-2.log`
