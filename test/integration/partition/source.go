package partition

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Columns of /proc/net/tcp (proc_net_tcp(5)).
const (
	columnLocal  = 1
	columnRemote = 2
	columnInode  = 9
)

// nameArgument is the argument whose value names a process.
const nameArgument = "--name"

// sourceOf returns the name of the child process that opened the connection,
// empty for any other process.
func sourceOf(accepted net.Conn) string {
	inode := inodeOf(accepted.RemoteAddr(), accepted.LocalAddr())
	if inode == "" {
		return ""
	}
	for _, pid := range children() {
		if hasSocket(pid, inode) {
			return nameOf(pid)
		}
	}
	return ""
}

// inodeOf finds the socket with these two ends in the kernel's table.
func inodeOf(local, remote net.Addr) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	wantedLocal, wantedRemote := hexAddress(local), hexAddress(remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) <= columnInode {
			continue
		}
		if columns[columnLocal] == wantedLocal && columns[columnRemote] == wantedRemote {
			return columns[columnInode]
		}
	}
	return ""
}

// hexAddress writes an IPv4 address as the kernel does: the number's bytes in
// the order of a little-endian machine, then the port.
func hexAddress(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok || tcp.IP.To4() == nil {
		return ""
	}
	ip := tcp.IP.To4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
}

// children lists the processes that this one has started (proc(5),
// /proc/PID/task/TID/children).
func children() []int {
	var pids []int
	lists, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		return nil
	}
	for _, list := range lists {
		content, err := os.ReadFile(list)
		if err != nil {
			continue
		}
		for _, field := range strings.Fields(string(content)) {
			if pid, err := strconv.Atoi(field); err == nil {
				pids = append(pids, pid)
			}
		}
	}
	return pids
}

func hasSocket(pid int, inode string) bool {
	wanted := "socket:[" + inode + "]"
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return false
	}
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && target == wanted {
			return true
		}
	}
	return false
}

func nameOf(pid int) string {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/cmdline", pid))
	if err != nil {
		return ""
	}
	arguments := strings.Split(string(content), "\x00")
	index := slices.Index(arguments, nameArgument)
	if index < 0 || index+1 >= len(arguments) {
		return ""
	}
	return arguments[index+1]
}
