package scenario

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosebeam/primrosebeam/scheduler"
)

const (
	modelCapacity = 50.0 // model requests per second of the ordinary mix near saturation of 12 engines
	plainCapacity = 120.0
	documents     = 40 // documents per workspace and tier, each the common beginning of several prompts
	systemBlocks  = 12 // leading blocks common to all prompts of a workspace
)

var tiers = []scheduler.Tier{
	{Name: "urgent", FirstToken: time.Second, BetweenTokens: 60 * time.Millisecond, Deadline: 8 * time.Second, QueueLimit: 300},
	{Name: "normal", FirstToken: 3 * time.Second, BetweenTokens: 80 * time.Millisecond, Deadline: 15 * time.Second, QueueLimit: 300},
	{Name: "batch", Deadline: 30 * time.Second, QueueLimit: 300},
}

// workspaceShares lists the shares of two large and three small workspaces in the ordinary traffic.
var workspaceShares = []float64{0.35, 0.35, 0.1, 0.1, 0.1}

// class describes the requests of one tier.
type class struct {
	share       float64 // fraction of the ordinary requests
	blocks      int     // length of a document in blocks
	tailTokens  int     // tokens at the end of a prompt that no other prompt has
	meanOutput  float64 // tokens
	abandonRate float64 // fraction of callers that disconnect before the deadline
}

var classes = []class{
	{share: 0.4, blocks: 16, tailTokens: 100, meanOutput: 50, abandonRate: 0.01},
	{share: 0.4, blocks: 24, tailTokens: 200, meanOutput: 100, abandonRate: 0.02},
	{share: 0.2, blocks: 40, tailTokens: 300, meanOutput: 250, abandonRate: 0.02},
}

// request is one simulated request with its outcome.
type request struct {
	scheduler.Request
	instance   int
	output     int
	size       float64 // duration of a plain request relative to the mean
	arrived    time.Time
	abandonsAt time.Time // time at which the caller disconnects
	counted    bool

	stream       *stream
	engine       *fakeEngine
	sent         time.Time
	firstTokenAt time.Time
	finishedAt   time.Time
	done         bool
	rejected     bool
	failed       bool
}

// source generates the requests of one kind of traffic.
type source struct {
	rand          *rand.Rand
	rate          float64 // requests per second
	tier          int     // -1 for the ordinary mix
	workspaces    []float64
	plain         bool
	variedOutputs bool // output lengths vary by a factor of 100
	prefix        string
	count         int
}

// pick draws an index with probabilities proportional to shares.
func pick(r *rand.Rand, shares []float64) int {
	total := 0.0
	for _, share := range shares {
		total += share
	}
	x := r.Float64() * total
	for i, share := range shares {
		if x < share {
			return i
		}
		x -= share
	}
	return len(shares) - 1
}

// nextArrivalDelay draws an exponentially distributed time to the next arrival.
func (s *source) nextArrivalDelay() time.Duration {
	return time.Duration(s.rand.ExpFloat64() / s.rate * float64(time.Second))
}

func (s *source) generate(now time.Time, instances int) *request {
	s.count++
	tier := s.tier
	if tier < 0 {
		tier = pick(s.rand, []float64{classes[0].share, classes[1].share, classes[2].share})
	}
	workspace := pick(s.rand, s.workspaces)
	r := &request{arrived: now, instance: s.rand.IntN(instances)}
	r.ID = scheduler.RequestID(fmt.Sprintf("%s%d", s.prefix, s.count))
	r.Workspace = workspaceName(workspace)
	r.Tier = tier
	r.Service = "model"
	r.abandonsAt = now.Add(tiers[tier].Deadline)
	if s.rand.Float64() < classes[tier].abandonRate {
		r.abandonsAt = now.Add(time.Duration(s.rand.Float64() * float64(tiers[tier].Deadline) / 4))
	}
	if s.plain {
		r.Service = "orders"
		r.size = 0.5 + s.rand.ExpFloat64()/2
		return r
	}
	s.fillPrompt(r, classes[tier], workspace)
	return r
}

// fillPrompt sets the output length and the prompt of a model request.
func (s *source) fillPrompt(r *request, c class, workspace int) {
	r.output = max(int(c.meanOutput*(0.5+s.rand.ExpFloat64()/2)), 1)
	if s.variedOutputs {
		// 3 to 300 tokens; longer outputs cannot meet the deadline of the urgent tier.
		r.output = int(3 * math.Pow(100, s.rand.Float64()))
	}
	// Callers' estimates of the output length deviate by up to half.
	r.OutputTokens = max(int(float64(r.output)*(0.5+s.rand.Float64())), 1)
	document := int(documents * s.rand.Float64() * s.rand.Float64()) // low numbers are more frequent
	r.PromptTokens = (systemBlocks+c.blocks)*blockTokens + c.tailTokens
	hash := uint64(workspace + 1)
	for i := range r.PromptTokens / blockTokens {
		switch i {
		case systemBlocks:
			hash = chain(hash, uint64(r.Tier*documents+document))
		case systemBlocks + c.blocks:
			hash = chain(hash, xxhash.Sum64String(string(r.ID)))
		}
		hash = chain(hash, uint64(i))
		r.Prefix = append(r.Prefix, hash)
	}
}

func chain(parent, block uint64) uint64 {
	var data [16]byte
	binary.LittleEndian.PutUint64(data[:8], parent)
	binary.LittleEndian.PutUint64(data[8:], block)
	return xxhash.Sum64(data[:])
}

func workspaceName(i int) string { return fmt.Sprintf("w%d", i) }
