package main

const helpText = `Every change names a reason (-m) and the version that it was based on, so that two people never overwrite each
other unseen. 'mpctl get KIND' shows what is in force; 'mpctl history' shows who changed it and why.

Kinds: region, failure-domain, link, service, target, team, key, route, shift, client-block.

Examples:
  mpctl get target
  mpctl apply -f intents.yaml -m 'first set-up'
  mpctl set team lawns rate=80 -m 'spring season'
  mpctl drain target subs-desk-3 -m 'disk is failing'
  mpctl keys grant lawns --name lawns-2027 -m 'new partner'
  mpctl watch

Exit codes: 0 done, 1 failed, 2 wrong arguments, 3 not found, 4 someone else changed it first, 5 outcome unknown.`

// command describes one command of the program.
type command struct {
	name, short, long string
	data              any
}

func commands(p *program) []command {
	return []command{
		{"get", "show resources", "Shows all resources of a kind, or one.", &getCommand{program: p}},
		{"apply", "create or update from YAML", "Creates or updates the resources of a YAML file; a document that names no version is read first.", &applyCommand{program: p}},
		{"set", "change fields of a resource", "Changes fields of one resource, such as rate=80 or leaving=true; values are JSON or plain text.", &setCommand{program: p}},
		{"delete", "delete a resource", "Deletes one resource that no other names.", &deleteCommand{program: p}},
		{"watch", "follow changes", "Prints each change as it comes into force, from now on or after a revision.", &watchCommand{program: p}},
		{"history", "show past changes", "Shows who changed what, when and why, the newest first.", &historyCommand{program: p}},
		{"status", "show the state of the fleet", "Shows the instances, and in how many of them the latest change is in force.", &statusCommand{program: p}},
		{"drain", "take a target out of service", "Marks a target as leaving: it gets no new work within 5 s, and what runs finishes.", &drainCommand{program: p}},
		{"keys", "grant and withdraw keys", "Grants and withdraws the keys by which teams call.", &struct{}{}},
	}
}
