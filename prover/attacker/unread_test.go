package attacker_test

import "testing"

// Guards against a measurement that takes the first sequence number of a peer for unread bytes,
// up to 2 GiB in a connection that is being opened, and against one that leaves out bytes of
// connections in any other state.
func TestUnreadBytesAreThoseOfOpenConnections(t *testing.T) {
	const header = "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode\n"
	for name, tc := range map[string]struct {
		line string
		want int64
	}{
		"established":      {"   0: 0100007F:1F90 0100007F:C350 01 00000010:00000020 00:00000000", 0x30},
		"of a target":      {"   0: 0100007F:C350 0100007F:2328 01 00000010:00000020 00:00000000", 0x30},
		"closed by caller": {"   0: 0100007F:1F90 0100007F:C350 08 00000000:00000021 00:00000000", 0x21},
		"being opened":     {"   0: 0100007F:C350 0100007F:2328 02 00000000:6FC7A404 01:00000000", 0},
		"listener":         {"   0: 0100007F:1F90 00000000:0000 0A 00000000:00000005 00:00000000", 0},
		"of others":        {"   0: 0100007F:C350 0100007F:C351 01 00000010:00000020 00:00000000", 0},
	} {
		if got := unreadIn(header+tc.line+"\n", map[string]bool{"1F90": true}, map[string]bool{"2328": true}); got != tc.want {
			t.Errorf("%s: %d bytes, want %d", name, got, tc.want)
		}
	}
}
