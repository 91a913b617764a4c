package launcher

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Usage is the processor time used by a process since its start and its current
// resident memory.
type Usage struct {
	CPUSeconds    float64
	ResidentBytes float64
}

// ticksPerSecond is the number of clock ticks per second in times of /proc on Linux.
const ticksPerSecond = 100

// Usage reads the usage of a running process.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.ID()))
	if err != nil {
		return Usage{}, errors.Wrap(err, p.Name)
	}
	// The program name, in parentheses, may contain spaces, so the fields are counted
	// from its end.
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const userField, systemField, residentField = 11, 12, 21
	if len(fields) <= residentField {
		return Usage{}, errors.Newf("%s: /proc stat line %q has too few fields", p.Name, stat)
	}
	var values [3]float64
	for i, f := range []int{userField, systemField, residentField} {
		if values[i], err = strconv.ParseFloat(fields[f], 64); err != nil {
			return Usage{}, errors.Wrap(err, p.Name)
		}
	}
	return Usage{
		CPUSeconds:    (values[0] + values[1]) / ticksPerSecond,
		ResidentBytes: values[2] * float64(os.Getpagesize()),
	}, nil
}
