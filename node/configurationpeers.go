package node

import (
	"context"
	"strings"

	peerv1 "github.com/marblering/marblering/api/peer/v1"
	"github.com/marblering/marblering/coordination/configuration"
	"github.com/marblering/marblering/transport/nodepeer"
)

// rejectedMark stands before the kind of an object that is stored but not in force,
// because it is invalid. A node that becomes a reader of the object API must know
// these as well, or it would make another configuration of the same revision.
const rejectedMark = "rejected/"

// configurationPeers implements configuration.Peers with the protocol between
// nodes.
type configurationPeers struct {
	client *nodepeer.Client
}

var _ configuration.Peers = (*configurationPeers)(nil)

// Fetch implements configuration.Peers.
func (p *configurationPeers) Fetch(ctx context.Context, to configuration.Member, known uint64) (configuration.Update, error) {
	response, err := p.client.FetchConfiguration(ctx, to.Address, &peerv1.FetchConfigurationRequest{KnownVersion: known})
	if err != nil {
		return configuration.Update{}, err
	}
	update := configuration.Update{Version: response.GetVersion(), Base: known, Complete: response.GetComplete()}
	update.Objects, update.Rejected = objectsFromWire(response.GetObjects())
	return update, nil
}

// Install implements configuration.Peers.
func (p *configurationPeers) Install(ctx context.Context, to configuration.Member, update configuration.Update) (configuration.InstallResult, error) {
	response, err := p.client.InstallConfiguration(ctx, to.Address, installToWire(update))
	if err != nil {
		return configuration.InstallResult{}, err
	}
	return configuration.InstallResult{Version: response.GetVersion(), Incarnation: response.GetIncarnation()}, nil
}

// installToWire leaves the base version of a complete update at 0, which no other
// update has, since a complete one builds on nothing.
func installToWire(update configuration.Update) *peerv1.InstallConfigurationRequest {
	request := &peerv1.InstallConfigurationRequest{
		Version: update.Version,
		Objects: objectsToWire(update),
	}
	if !update.Complete {
		request.BaseVersion = update.Base
	}
	return request
}

func installFromWire(request *peerv1.InstallConfigurationRequest) configuration.Update {
	update := configuration.Update{
		Version:  request.GetVersion(),
		Base:     request.GetBaseVersion(),
		Complete: request.GetBaseVersion() == 0,
	}
	update.Objects, update.Rejected = objectsFromWire(request.GetObjects())
	return update
}

func objectsToWire(update configuration.Update) []*peerv1.ConfigurationObject {
	objects := make([]*peerv1.ConfigurationObject, 0, len(update.Objects)+len(update.Rejected))
	for _, object := range update.Objects {
		objects = append(objects, objectToWire(object, ""))
	}
	for _, object := range update.Rejected {
		objects = append(objects, objectToWire(object, rejectedMark))
	}
	return objects
}

func objectsFromWire(messages []*peerv1.ConfigurationObject) (inForce, rejected []configuration.Object) {
	for _, message := range messages {
		kind, isRejected := strings.CutPrefix(message.GetKind(), rejectedMark)
		object := objectFromWire(message, configuration.Kind(kind))
		if isRejected {
			rejected = append(rejected, object)
			continue
		}
		inForce = append(inForce, object)
	}
	return inForce, rejected
}

func objectToWire(object configuration.Object, mark string) *peerv1.ConfigurationObject {
	return &peerv1.ConfigurationObject{
		Kind:    mark + string(object.Kind),
		Name:    object.Name,
		Version: object.Version,
		Body:    object.Body,
		Deleted: object.Deleted,
	}
}

func objectFromWire(message *peerv1.ConfigurationObject, kind configuration.Kind) configuration.Object {
	return configuration.Object{
		Key:     configuration.Key{Kind: kind, Name: message.GetName()},
		Version: message.GetVersion(),
		Body:    message.GetBody(),
		Deleted: message.GetDeleted(),
	}
}
