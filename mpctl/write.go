package main

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	yaml "github.com/goccy/go-yaml"

	"medlarpond.dev/core/models/resource"
	"medlarpond.dev/mpctl/api"
)

// keyBytes is the length of a granted key before encoding.
const keyBytes = 24

type applyCommand struct {
	program *program
	File    string `short:"f" long:"file" required:"yes" description:"YAML file of resources, documents separated by ---; - reads standard input"`
}

// Execute creates or updates the resources of a file.
func (c *applyCommand) Execute([]string) error {
	author, err := c.program.author()
	if err != nil {
		return err
	}
	content, err := readFile(c.File)
	if err != nil {
		return err
	}
	resources, err := api.DecodeResources(content)
	if err != nil {
		return err
	}
	for _, r := range resources {
		if err := c.program.apply(author, r); err != nil {
			return fmt.Errorf("%s %s: %w", r.Kind, r.Name, err)
		}
	}
	return nil
}

// apply creates or updates one resource.
func (p *program) apply(author api.Author, r resource.Resource) error {
	have, exists, err := p.read(p.ctx, r.Kind, r.Name)
	if err != nil {
		return err
	}
	if !exists {
		accepted, err := p.client().Create(p.ctx, author, r)
		return p.accepted("created", accepted, err)
	}
	if r.Version == 0 {
		r.Version = have.Version
	}
	if sameSpec(have, r) {
		fmt.Printf("%s %s unchanged (version %d)\n", r.Kind, r.Name, have.Version)
		return nil
	}
	accepted, err := p.client().Update(p.ctx, author, r)
	return p.accepted("updated", accepted, err)
}

func (p *program) accepted(what string, a api.Accepted, err error) error {
	if err != nil {
		return err
	}
	return p.print(a, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s %s %s (version %d)\n", a.Resource.Kind, a.Resource.Name, what, a.Revision)
	})
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

// Execute changes fields of one resource.
func (c *setCommand) Execute([]string) error {
	a := c.Arguments
	return c.program.edit(resource.Kind(a.Kind), a.Name, c.Version, func(spec map[string]any) error {
		for _, field := range a.Fields {
			name, value, ok := strings.Cut(field, "=")
			if !ok {
				return &errUsage{message: "write fields as FIELD=VALUE, such as rate=80"}
			}
			spec[name] = parseValue(value)
		}
		return nil
	})
}

type drainCommand struct {
	program   *program
	Arguments struct {
		What string `positional-arg-name:"target" required:"yes" description:"the word target"`
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute marks a target as leaving.
func (c *drainCommand) Execute([]string) error {
	if c.Arguments.What != string(resource.KindTarget) {
		return &errUsage{message: "only targets can be drained: mpctl drain target NAME"}
	}
	return c.program.edit(resource.KindTarget, c.Arguments.Name, 0, func(spec map[string]any) error {
		spec["leaving"] = true
		return nil
	})
}

// edit changes the spec of one resource on the version in force or a given one.
func (p *program) edit(kind resource.Kind, name string, version uint64, change func(map[string]any) error) error {
	author, err := p.author()
	if err != nil {
		return err
	}
	have, err := p.client().Get(p.ctx, kind, name)
	if err != nil {
		return err
	}
	edited, err := api.EditSpec(have, change)
	if err != nil {
		return err
	}
	if version != 0 {
		edited.Version = version
	}
	accepted, err := p.client().Update(p.ctx, author, edited)
	return p.accepted("updated", accepted, err)
}

type deleteCommand struct {
	program   *program
	Version   uint64        `long:"version" description:"version that was read (default: the one in force)"`
	Arguments nameArguments `positional-args:"yes"`
}

// Execute deletes one resource.
func (c *deleteCommand) Execute([]string) error {
	return c.program.remove(resource.Kind(c.Arguments.Kind), c.Arguments.Name, c.Version, "deleted")
}

func (p *program) remove(kind resource.Kind, name string, version uint64, what string) error {
	author, err := p.author()
	if err != nil {
		return err
	}
	if version == 0 {
		have, err := p.client().Get(p.ctx, kind, name)
		if err != nil {
			return err
		}
		version = have.Version
	}
	doomed := resource.Resource{Kind: kind, Name: name, Version: version}
	accepted, err := p.client().Delete(p.ctx, author, doomed)
	return p.accepted(what, accepted, err)
}

type grantCommand struct {
	program   *program
	Name      string `long:"name" required:"yes" description:"name of the key, to withdraw it by"`
	Arguments struct {
		Team string `positional-arg-name:"TEAM" required:"yes"`
	} `positional-args:"yes"`
}

// Execute grants a key and prints it once.
func (c *grantCommand) Execute([]string) error {
	author, err := c.program.author()
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
	if _, err := c.program.client().Create(c.program.ctx, author, r); err != nil {
		return err
	}
	fmt.Println(secret)
	return nil
}

type withdrawCommand struct {
	program   *program
	Arguments struct {
		Name string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// Execute withdraws a key.
func (c *withdrawCommand) Execute([]string) error {
	return c.program.remove(resource.KindKey, c.Arguments.Name, 0, "withdrawn")
}

func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}

// parseValue reads a value as YAML would, so that 80 is a number and [a, b] a list.
func parseValue(text string) any {
	var value any
	if err := yaml.Unmarshal([]byte(text), &value); err != nil {
		return text
	}
	return value
}

func sameSpec(a, b resource.Resource) bool {
	x, _ := json.Marshal(a.Spec)
	y, _ := json.Marshal(b.Spec)
	return string(x) == string(y)
}
