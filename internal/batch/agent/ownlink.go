package agent

import "time"

// minFullShare is the share of the link's bandwidth from which on what is received delays the replies of agents.
const minFullShare = 0.6

// ownLink is the network link of this process. Its zero value is a link that isn't known.
type ownLink struct {
	mbps          float64      // bandwidth in Mbit/s; 0: not known
	receivedBytes func() int64 // returns how many bytes this process has received; nil: not known
}

// received returns how many bytes this process has received, or 0 if that isn't known.
func (l ownLink) received() int64 {
	if l.receivedBytes == nil {
		return 0
	}
	return l.receivedBytes()
}

// full reports whether receiving the bytes in the given time takes most of the bandwidth.
func (l ownLink) full(bytes int64, in time.Duration) bool {
	return l.mbps > 0 && float64(bytes)*8/1e6 >= minFullShare*l.mbps*in.Seconds()
}
