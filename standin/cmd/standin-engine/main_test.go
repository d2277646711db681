package main

import (
	"bufio"
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// runEnv makes the test binary run the program instead of the tests.
const runEnv = "STANDIN_ENGINE_RUN"

func TestMain(m *testing.M) {
	if os.Getenv(runEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// Guards what scripts rely on: flags with one hyphen, the ready line with the
// bound addresses, and exit status 0 on SIGTERM beside an open connection.
func TestReadyLineAndStop(t *testing.T) {
	is := is.New(t)
	cmd := exec.Command(os.Args[0], "-address", "127.0.0.1:0", "--kv-tokens=1000")
	cmd.Env = append(os.Environ(), runEnv+"=1")
	out, err := cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(cmd.Start())
	defer func() { _ = cmd.Process.Kill() }()
	line, err := bufio.NewReader(out).ReadBytes('\n')
	is.NoErr(err)
	var ready map[string]string
	is.NoErr(json.Unmarshal(line, &ready))
	is.Equal(ready["msg"], "ready")
	for _, field := range []string{"address", "faults_address"} {
		conn, err := net.Dial("tcp", ready[field])
		is.NoErr(err)
		defer conn.Close()
	}
	is.NoErr(cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(cmd.Wait()) // an error for any status but 0
}
