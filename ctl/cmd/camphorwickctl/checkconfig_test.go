package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const soundConfig = `{"version":7,"routeTable":[
 {"name":"r-1","host":"a.example","prefix":"/ask/","kind":"idempotent","timeoutMs":800,"targetLatencyMs":100,"service":"desk","maxAttempts":2,"public":false}],
 "services":[{"name":"desk","maxConns":96}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":500,"idleTimeoutMs":15000},
 "tenants":[{"name":"acme","apiKeys":["secret"]}]}`

// Guards against an exit code with which a script sends a configuration that has errors, and
// against a finding that an operator cannot place in the file.
func TestCheckConfig(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	sound := write("sound.json", soundConfig)
	code, out, _ := execute("check-config", sound)
	is.Equal(code, 0)
	is.Equal(out, "no findings\n")

	wrong := write("wrong.json", strings.NewReplacer(`"service":"desk"`, `"service":"none"`, `"version":7`, `"version":8`).Replace(soundConfig))
	code, out, errs := execute("check-config", wrong, "--in-force", sound)
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(out, `error    route r-1: its service "none" does not exist`))
	is.True(strings.Contains(out, "changed  route r-1\n"))
	is.True(strings.Contains(errs, "the configuration has errors"))
	is.True(!strings.Contains(out, "secret"))

	code, out, _ = execute("check-config", wrong, "--in-force", sound, "-o", "json")
	is.Equal(code, exitInvalid)
	var result checkResult
	is.NoErr(json.Unmarshal([]byte(out), &result))
	is.Equal(len(result.Differences), 1)

	code, _, _ = execute("check-config", write("warning.json", strings.Replace(soundConfig, `["secret"]`, `[]`, 1)))
	is.Equal(code, 0) // a warning does not refuse it

	code, out, _ = execute("check-config", write("region.json", strings.Replace(soundConfig, `"public":false`, `"allowedRegions":["west"]`, 1)), "--region", "dc-1:north")
	is.Equal(code, exitInvalid)
	is.True(strings.Contains(out, `region "west" has no data centre`))

	for text, want := range map[string]string{"{\n \"version\": 7,\n oops": ":3:2:", `{"version":"7"}`: ":1:14:", "": ":1:0:"} {
		code, _, errs = execute("check-config", write("broken.json", text))
		is.Equal(code, exitInvalid)
		if !strings.Contains(errs, "broken.json"+want) {
			t.Errorf("%q is not placed at %s: %s", text, want, errs)
		}
	}
	code, _, _ = execute("check-config", filepath.Join(dir, "missing.json"))
	is.Equal(code, exitInvalid)
}
