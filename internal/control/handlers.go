package control

import (
	"context"
	"fmt"

	"github.com/primrosebeam/primrosebeam/configuration"
	"github.com/primrosebeam/primrosebeam/internal/link"
)

// NoReplicaError reports a message for a control replica that was sent to an instance without that role.
type NoReplicaError struct{ Instance string }

func (e *NoReplicaError) Error() string {
	return fmt.Sprintf("control: %q has no control role", e.Instance)
}

// Code returns the stable error code that the sender receives.
func (e *NoReplicaError) Code() string { return "control.no-replica" }

// Handlers returns the message handlers, which must be registered with the link before it runs.
func (c *Control) Handlers() map[link.Kind]link.Handler {
	return map[link.Kind]link.Handler{
		KindSubmit:  c.handleSubmit,
		KindOutcome: c.handleOutcome,
		KindVersion: c.handleVersion,
		KindFetch:   c.handleFetch,
		KindInForce: c.handleInForce,
		KindStatus:  c.handleStatus,
	}
}

func (c *Control) handleVersion(_ context.Context, from link.Sender, body []byte) (any, error) {
	var message announcement
	if err := decodeBody(KindVersion, from, body, &message); err != nil {
		return nil, err
	}
	c.subscriber.enqueueAnnouncement(from.Name, message.Version)
	return nil, nil
}

func (c *Control) handleFetch(_ context.Context, from link.Sender, body []byte) (any, error) {
	var request fetchRequest
	if err := decodeBody(KindFetch, from, body, &request); err != nil {
		return nil, err
	}
	version, document := c.newest()
	reply := fetchReply{Version: version}
	if request.Probe || version <= request.Above {
		return reply, nil
	}
	if !request.Whole && c.replyWithEdits(request.Above, &reply) {
		return reply, nil
	}
	payload, err := c.payloads.get(version, document)
	if err != nil {
		return nil, err
	}
	reply.Payload = payload
	c.metrics.servedBytes.Add(len(payload))
	return reply, nil
}

// replyWithEdits fills the reply with the edits between the given version and the newest one. It returns
// false when there are no such edits, and then the whole document must be sent.
func (c *Control) replyWithEdits(above configuration.Version, reply *fetchReply) bool {
	if c.store == nil {
		return false
	}
	version, document := c.store.Current()
	edits, ok := c.store.Since(above)
	if !ok || version != above+configuration.Version(len(edits)) {
		return false // the edits are incomplete, or the version changed between the two calls
	}
	encoded, err := configuration.EncodeEdits(edits)
	if err != nil {
		return false
	}
	digest, err := c.digests.get(version, document)
	if err != nil {
		return false
	}
	reply.Version = version
	reply.Edits = encoded
	reply.Digest = digest
	c.metrics.servedBytes.Add(len(encoded))
	return true
}

// newest returns the highest version available on this instance.
func (c *Control) newest() (configuration.Version, *configuration.Document) {
	version, document := c.subscriber.inForce()
	if c.store == nil {
		return version, document
	}
	if applied, newer := c.store.Current(); applied > version {
		return applied, newer
	}
	return version, document
}

func (c *Control) handleInForce(_ context.Context, from link.Sender, body []byte) (any, error) {
	var message inForceReport
	if err := decodeBody(KindInForce, from, body, &message); err != nil {
		return nil, err
	}
	return c.receiveInForce(from, message)
}

func (c *Control) receiveInForce(from link.Sender, message inForceReport) (inForceReply, error) {
	if c.publisher == nil {
		return inForceReply{}, &NoReplicaError{Instance: c.options.Name}
	}
	c.publisher.enqueueReport(versionReport{
		name:        from.Name,
		dataCentre:  from.DataCentre,
		incarnation: from.Incarnation,
		version:     message.Version,
		subscribe:   message.Subscribe,
	})
	version, _ := c.newest()
	_, known := c.replica.Leader()
	return inForceReply{Version: version, LeaderKnown: known}, nil
}

func (c *Control) handleStatus(ctx context.Context, _ link.Sender, _ []byte) (any, error) {
	if c.publisher == nil {
		return nil, &NoReplicaError{Instance: c.options.Name}
	}
	return statusReply{Status: c.publisher.status(ctx)}, nil
}
