package fleet

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	yaml "github.com/goccy/go-yaml"
	"github.com/gravitational/trace"

	"medlarpond.dev/core/standin/loopback"
)

// file is the content of a trial file.
type file struct {
	Platform struct {
		Listen string `yaml:"listen"`
	} `yaml:"platform"`
	Entries []Entry `yaml:"entries"`
	Targets struct {
		ProcessingTime time.Duration `yaml:"work"`
	} `yaml:"targets"`
	Resources []any `yaml:"resources"`
}

// Load reads the configuration of a fleet from a YAML file. Unknown keys are errors.
func Load(path string) (Config, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Config{}, trace.ConvertSystemError(err)
	}
	var f file
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(&f); err != nil {
		return Config{}, err
	}
	encoded, err := json.Marshal(f.Resources)
	if err != nil {
		return Config{}, trace.Wrap(err)
	}
	config := Config{PlatformAddress: f.Platform.Listen, Entries: f.Entries, ProcessingTime: f.Targets.ProcessingTime}
	err = json.Unmarshal(encoded, &config.Resources)
	return config, err
}

// FreeAddresses returns loopback addresses on which nothing listens at the time of the call.
func FreeAddresses(count int) ([]string, error) {
	addresses := make([]string, 0, count)
	for range count {
		address, err := loopback.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}
