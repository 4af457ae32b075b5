package slopes

import (
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// payloadBytes returns the number of TCP payload bytes that this process has sent and received on its open connections to the given
// remote ports.
func payloadBytes(ports map[uint16]bool) uint64 {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	var total uint64
	for _, e := range entries {
		fd, err := strconv.Atoi(e.Name())
		if err != nil {
			continue
		}
		total += socketPayloadBytes(fd, ports)
	}
	return total
}

func socketPayloadBytes(fd int, ports map[uint16]bool) uint64 {
	remote, err := unix.Getpeername(fd)
	if err != nil {
		return 0
	}
	address, ok := remote.(*unix.SockaddrInet4)
	if !ok || !ports[uint16(address.Port)] { //nolint:gosec // a port
		return 0
	}
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0
	}
	return info.Bytes_acked + info.Bytes_received
}
