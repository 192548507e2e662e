package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// ports are those of every machine of the deployment.
type ports struct{ front, ready, control int }

// freePorts returns ports that nothing on the loopback address uses.
func freePorts() (ports, error) {
	var p [3]int
	for i := range p {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer l.Close()
		p[i] = l.Addr().(*net.TCPAddr).Port
	}
	return ports{p[0], p[1], p[2]}, nil
}

// machine is one machine of the system, with a router.
type machine struct {
	name, zone, ip string
	ports          ports
	settings       string
	logFile        *os.File
	cmd            *exec.Cmd
	exited         chan struct{}

	mu       sync.Mutex
	misses   int
	rotation bool
}

func (m *machine) front() string   { return fmt.Sprintf("%s:%d", m.ip, m.ports.front) }
func (m *machine) ready() string   { return fmt.Sprintf("%s:%d", m.ip, m.ports.ready) }
func (m *machine) control() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.control) }

// render fills in the template of the deploy file as the platform does.
func render(template string, m *machine, storeAddress string, seeds []string) string {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = `"` + s + `"`
	}
	return strings.NewReplacer(
		`{{#seeds}}"{{.}}"{{,}}{{/seeds}}`, strings.Join(quoted, ","),
		"{{node}}", m.name, "{{zone}}", m.zone, "{{ip}}", m.ip,
		"{{listen.front}}", m.front(), "{{listen.ready}}", m.ready(), "{{listen.control}}", m.control(),
		"{{bounds.grace_s}}", "8", "{{provider.address}}", storeAddress,
		"{{bounds.retry_budget}}", "0.2", "{{bounds.budget_slack}}", "202", "{{bounds.budget_window_s}}", "10",
		"{{limits.cpu_share}}", "0.4", "{{limits.cores}}", "1", "{{limits.memory_mb}}", "284",
	).Replace(template)
}

// start starts the machine's process with the command of the deploy file.
func (m *machine) start(g *sync.WaitGroup, root string) error {
	m.cmd = exec.Command(filepath.Join(root, "target", "router"))
	m.cmd.Dir = root
	m.cmd.Env = append(os.Environ(), "HEATHERHOLD_NODE_FILE="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = m.logFile, m.logFile
	if err := m.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.exited = exited
	cmd := m.cmd
	g.Go(func() {
		_ = cmd.Wait()
		close(exited)
	})
	return nil
}

// kill kills the machine's process and waits for its end.
func (m *machine) kill() {
	_ = m.cmd.Process.Kill()
	<-m.exited
}

// goDark makes the machine's addresses answer nothing, as those of a machine that is gone:
// listeners whose queues are full drop what arrives.
func (m *machine) goDark() error {
	for _, port := range []int{m.ports.control, m.ports.front} {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
		if err != nil {
			return err
		}
		if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
			return err
		}
		a := &syscall.SockaddrInet4{Port: port}
		copy(a.Addr[:], net.ParseIP(m.ip).To4())
		if err := syscall.Bind(fd, a); err != nil {
			return err
		}
		if err := syscall.Listen(fd, 0); err != nil {
			return err
		}
		for range 2 {
			filler, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
			if err != nil {
				return err
			}
			_ = syscall.Connect(filler, a)
		}
	}
	return nil
}

// checkReady asks the machine whether it is ready, as the platform does once a second. Two misses
// take it out of the rotation.
func (m *machine) checkReady(client *http.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 900*time.Millisecond)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.ready()+"/ready", nil)
	res, err := client.Do(req)
	ok := err == nil && res.StatusCode == http.StatusOK
	if err == nil {
		_ = res.Body.Close()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok {
		m.misses = 0
		m.rotation = true
		return
	}
	if m.misses++; m.misses >= 2 {
		m.rotation = false
	}
}

func (m *machine) inRotation() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rotation
}
