package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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

// Ports of all machines. Each machine has a loopback address of its own.
const (
	portFrontend = 8221
	portReady    = 8224
	portControl  = 8229
	portInternal = 7600
	portEngine   = 9000
	portList     = 8225
)

const (
	deployFile    = "deploy/system.toml"
	readyTimeout  = 20 * time.Second
	stopTimeout   = 9 * time.Second // GraceS and a second
	zoneCount     = 3
	edgesPerZone  = 1
	firstCore     = 11 // last number of the address
	firstEdge     = 21
	firstEngine   = 101
	listHost      = 201
	graceSeconds  = 8
	readyInterval = 250 * time.Millisecond
)

// machine is a process of the system under test.
type machine struct {
	name    string
	address string
	zone    string
	command *exec.Cmd
	exited  chan struct{}
}

// system is a small deployment: three machines of the core and three of the edge in three zones.
type system struct {
	record *record
	folder string
	prefix string // of the addresses
	list   *engineList
	cores  []*machine
	edges  []*machine

	stopOnce sync.Once
}

func zoneName(i int) string { return fmt.Sprintf("zone-%c", 'a'+i%zoneCount) }

func newSystem(r *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, folder: folder}
	if s.prefix, err = freePrefix(); err != nil {
		return nil, err
	}
	if s.list, err = startEngineList(fmt.Sprintf("%s.%d:%d", s.prefix, listHost, portList)); err != nil {
		return nil, err
	}
	return s, nil
}

// freePrefix returns the first three numbers of loopback addresses on which the ports are free.
func freePrefix() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		if allFree(prefix) {
			return prefix, nil
		}
	}
	return "", errors.New("no free addresses")
}

func allFree(prefix string) bool {
	for _, port := range []int{portFrontend, portReady, portControl, portInternal, portInternal + 1, portInternal + 2} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", prefix, firstCore, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// start starts all processes, sends the first configuration and waits until all machines of the edge are ready.
func (s *system) start(configuration []byte) error {
	for i := range zoneCount {
		m := &machine{name: "core-" + zoneName(i), address: fmt.Sprintf("%s.%d", s.prefix, firstCore+i), zone: zoneName(i)}
		s.cores = append(s.cores, m)
	}
	for i := range zoneCount * edgesPerZone {
		m := &machine{name: fmt.Sprintf("edge-%s-%d", zoneName(i), i/zoneCount+1), address: fmt.Sprintf("%s.%d", s.prefix, firstEdge+i), zone: zoneName(i)}
		s.edges = append(s.edges, m)
	}
	for _, m := range s.cores {
		if err := s.startMachine(m, "core", true); err != nil {
			return err
		}
	}
	for _, m := range s.edges {
		if err := s.startMachine(m, "edge", true); err != nil {
			return err
		}
	}
	if err := s.replaceConfiguration(configuration); err != nil {
		return err
	}
	return s.awaitReady()
}

// runCommand returns the command of a role from the deploy file.
func runCommand(role string) ([]string, error) {
	data, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	_, section, found := strings.Cut(string(data), "[roles."+role+"]")
	if !found {
		return nil, fmt.Errorf("%s has no role %s", deployFile, role)
	}
	for line := range strings.Lines(section) {
		if value, found := strings.CutPrefix(strings.TrimSpace(line), "run = "); found {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, fmt.Errorf("%s has no command for role %s", deployFile, role)
}

func (s *system) startMachine(m *machine, role string, bootstrap bool) error {
	words, err := runCommand(role)
	if err != nil {
		return err
	}
	settings := filepath.Join(s.folder, m.name+".json")
	if err := s.writeSettings(m, role, settings, bootstrap); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(words[0], words[1:]...)
	m.command.Env = []string{"PRIMROSEBEAM_SETTINGS=" + settings, "PATH=" + os.Getenv("PATH")}
	m.command.Stdout, m.command.Stderr = output, output
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.command.Start(); err != nil {
		return err
	}
	_ = output.Close() // the process has its own descriptor
	m.exited = make(chan struct{})
	go func() {
		_ = m.command.Wait()
		s.record.printf("%s ended: %v", m.name, m.command.ProcessState)
		close(m.exited)
	}()
	s.record.printf("%s started on %s", m.name, m.address)
	return nil
}

// writeSettings writes the settings file of a machine, with the bounds of the smallest deployments.
func (s *system) writeSettings(m *machine, role, path string, bootstrap bool) error {
	seeds := []string{}
	for _, c := range s.cores {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.address, portControl))
	}
	listeners := map[string]string{"ControlPlane": fmt.Sprintf("%s:%d", m.address, portControl)}
	serves, class, memory, disk := []string{"control"}, "core", 280, 128
	var data any = filepath.Join(s.folder, m.name+"-data")
	if role == "edge" {
		listeners = map[string]string{
			"Frontend": fmt.Sprintf("%s:%d", m.address, portFrontend), "Ready": fmt.Sprintf("%s:%d", m.address, portReady),
		}
		serves, class, memory, disk, data = []string{"edge"}, "edge", 284, 0, nil
	}
	zones := map[string]string{}
	for i := range zoneCount {
		zones[zoneName(i)] = "region"
	}
	content := map[string]any{
		"NodeName": m.name, "Role": role, "NodeClass": class, "Serves": serves, "IpAddress": m.address,
		"Zone": m.zone, "Region": "region", "Zones": zones, "ListenersConfig": listeners,
		"InternalPortRange": []int{portInternal, portInternal + 15}, "SeedNodes": seeds, "Bootstrap": bootstrap,
		"LossCounts": role == "core",
		"Limits":     map[string]any{"CpuQuota": 0.4, "CpuCores": 1, "MemoryMb": memory, "MaxFds": 4100, "BandwidthMbps": 1000.0, "DiskMb": disk},
		"DataDir":    data, "Discovery": "cloud", "Ingress": "vip", "HeartbeatMs": 1200,
		"Contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota"},
		"FaultTolerance": map[string]int{"NodeFailures": 1, "Zones": 1, "RegionFailures": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": graceSeconds,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "DowngradeSlackMs": 250, "PartitionSlackMs": 5000,
			"RevokePartitioned": true, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetryBudgetSlack": 52,
			"QuotaWindowS": 8, "QuotaOverrun": 0.1, "QuotaTolerance": 140000, "RecoverS": 12, "PassMs": 120, "ReuseWindowS": 10,
		},
		"ConfigMode": "highest",
		"CloudApi":   map[string]any{"Address": s.list.address, "RatePerS": 40.0, "Duties": []string{}, "MaxLagMs": 800},
	}
	encoded, err := json.Marshal(content)
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, 0o600)
}

// replaceConfiguration sends a configuration as an operator does, until it is acknowledged.
func (s *system) replaceConfiguration(document []byte) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for i := 0; time.Now().Before(end); i++ {
		target := fmt.Sprintf("http://%s:%d/config/replace", s.cores[i%len(s.cores)].address, portControl)
		response, err := client.Post(target, "application/json", strings.NewReader(string(document)))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.record.printf("operator: configuration acknowledged by %s", s.cores[i%len(s.cores)].name)
				return nil
			}
		}
		time.Sleep(readyInterval)
	}
	return errors.New("the first configuration was not acknowledged")
}

func (s *system) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(readyTimeout)
	for _, m := range s.edges {
		for !isReady(client, m) {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(readyInterval)
		}
	}
	s.record.printf("all machines are ready")
	return nil
}

func isReady(client *http.Client, m *machine) bool {
	response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", m.address, portReady))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// signal sends a signal to a process of the system.
func (s *system) signal(m *machine, which syscall.Signal) error {
	s.record.printf("%v to %s", which, m.name)
	return m.command.Process.Signal(which)
}

// stop ends all processes that were started and removes their files.
func (s *system) stop() {
	s.stopOnce.Do(func() {
		all := append(append([]*machine{}, s.edges...), s.cores...)
		for _, m := range all {
			if m.command != nil && m.command.Process != nil {
				_ = m.command.Process.Kill()
			}
		}
		for _, m := range all {
			if m.exited == nil {
				continue
			}
			select {
			case <-m.exited:
			case <-time.After(stopTimeout):
			}
		}
		s.list.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(s.folder)
		} else {
			s.record.printf("logs kept in %s", s.folder)
		}
	})
}
