package main

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	yaml "github.com/goccy/go-yaml"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

// keyBytes is the length of a new API key before encoding.
const keyBytes = 24

// printWriteResult prints the result of a write. With --wait it then waits until all instances have applied the change;
// without, it returns an errNotApplied if the change is stored, but not applied by a majority of the seats.
func (p *program) printWriteResult(verb string, result api.WriteResult, err error) error {
	if err != nil {
		return err
	}
	err = p.print(result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s %s (version %d)\n", result.Resource.Kind, result.Resource.Name, verb, result.Revision)
	})
	if err != nil {
		return err
	}
	if p.options.Wait > 0 {
		return p.waitApplied(result.Revision)
	}
	if !result.Accepted {
		return &errNotApplied{revision: result.Revision, instances: result.NotApplied}
	}
	return nil
}

// withChangeID sets a random change ID if there is none, so that sending the change again does not apply it twice.
func (p *program) withChangeID(metadata api.ChangeMetadata) api.ChangeMetadata {
	if metadata.ID == "" {
		metadata.ID = rand.Text()
	}
	return metadata
}

type setCommand struct {
	program   *program
	Version   uint64 `long:"version" description:"version that the change is based on (default: the one in force)"`
	Arguments struct {
		Kind   string   `positional-arg-name:"KIND" required:"yes"`
		Name   string   `positional-arg-name:"NAME" required:"yes"`
		Fields []string `positional-arg-name:"FIELD=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute sets or removes fields of one resource.
func (c *setCommand) Execute([]string) error {
	a := c.Arguments
	return c.program.edit(resource.Kind(a.Kind), a.Name, c.Version, func(spec map[string]any) error {
		for _, field := range a.Fields {
			name, value, ok := strings.Cut(field, "=")
			if !ok {
				return &errUsage{message: "fields must have the form FIELD=VALUE, such as rate=80"}
			}
			if err := setField(spec, strings.Split(name, "."), parseValue(value)); err != nil {
				return err
			}
		}
		return nil
	})
}

// setField sets the field at a path of names; a nil value removes it.
func setField(fields map[string]any, path []string, value any) error {
	name := path[0]
	if len(path) == 1 {
		if value == nil {
			delete(fields, name)
			return nil
		}
		fields[name] = value
		return nil
	}
	if fields[name] == nil {
		fields[name] = map[string]any{}
	}
	nested, ok := fields[name].(map[string]any)
	if !ok {
		return &errUsage{message: name + " has no nested fields"}
	}
	return setField(nested, path[1:], value)
}

type drainCommand struct {
	program   *program
	Arguments struct {
		Kind string `positional-arg-name:"target" required:"yes" description:"the word target"`
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute marks a target as leaving.
func (c *drainCommand) Execute([]string) error {
	if c.Arguments.Kind != string(resource.KindTarget) {
		return &errUsage{message: "only targets can be drained: mpctl drain target NAME"}
	}
	return c.program.edit(resource.KindTarget, c.Arguments.Name, 0, func(spec map[string]any) error {
		spec["leaving"] = true
		return nil
	})
}

// edit changes the spec of one resource, based on its current version or, if version is not zero, on that one.
func (p *program) edit(kind resource.Kind, name string, version uint64, change func(map[string]any) error) error {
	metadata, err := p.changeMetadata()
	if err != nil {
		return err
	}
	current, err := p.client().Get(p.ctx, kind, name)
	if err != nil {
		return err
	}
	edited, err := api.EditSpec(current, change)
	if err != nil {
		return err
	}
	if version != 0 {
		edited.Version = version
	}
	result, err := p.client().Update(p.ctx, p.withChangeID(metadata), edited)
	return p.printWriteResult("updated", result, err)
}

type deleteCommand struct {
	program   *program
	Version   uint64        `long:"version" description:"version that was read (default: the one in force)"`
	Arguments nameArguments `positional-args:"yes"`
}

// Execute deletes one resource.
func (c *deleteCommand) Execute([]string) error {
	return c.program.deleteResource(resource.Kind(c.Arguments.Kind), c.Arguments.Name, c.Version, "deleted")
}

func (p *program) deleteResource(kind resource.Kind, name string, version uint64, verb string) error {
	metadata, err := p.changeMetadata()
	if err != nil {
		return err
	}
	if version == 0 {
		current, err := p.client().Get(p.ctx, kind, name)
		if err != nil {
			return err
		}
		version = current.Version
	}
	deleted := resource.Resource{Kind: kind, Name: name, Version: version}
	result, err := p.client().Delete(p.ctx, p.withChangeID(metadata), deleted)
	return p.printWriteResult(verb, result, err)
}

type grantCommand struct {
	program   *program
	Name      string `long:"name" required:"yes" description:"name of the key, to withdraw it by"`
	Arguments struct {
		Team string `positional-arg-name:"TEAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute creates an API key for a team and prints it. Only the hash of the key is sent.
func (c *grantCommand) Execute([]string) error {
	metadata, err := c.program.changeMetadata()
	if err != nil {
		return err
	}
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw)
	secret := base64.RawURLEncoding.EncodeToString(raw)
	hash := resource.HashKey(secret)
	r := resource.Resource{
		Kind: resource.KindKey, Name: c.Name, Spec: resource.Key{Team: c.Arguments.Team, Hash: hex.EncodeToString(hash[:])},
	}
	result, err := c.program.client().Create(c.program.ctx, c.program.withChangeID(metadata), r)
	if err != nil {
		return err
	}
	fmt.Println(secret)
	if c.program.options.Wait > 0 {
		return c.program.waitApplied(result.Revision)
	}
	return nil
}

type withdrawCommand struct {
	program   *program
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute revokes an API key by deleting its resource.
func (c *withdrawCommand) Execute([]string) error {
	return c.program.deleteResource(resource.KindKey, c.Arguments.Name, 0, "withdrawn")
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// parseValue parses a value as YAML, so that 80 is a number and [a, b] a list. Invalid YAML is taken as a string.
func parseValue(text string) any {
	var value any
	if err := yaml.Unmarshal([]byte(text), &value); err != nil {
		return text
	}
	return value
}
