package fleetstate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"

	"stoneford/internal/ports"
)

const (
	// maxStateBytes bounds the size of a response, and so the memory that it needs.
	maxStateBytes = 64 << 20
	// maxConcurrentFetches bounds the number of concurrent requests of FetchAll.
	maxConcurrentFetches = 64
)

// Fetch returns the state that a process serves at an address. Errors include the
// address.
func Fetch(ctx context.Context, address string, includeItems bool) (ProcessState, error) {
	ctx, stop := context.WithTimeout(ctx, 2*requestTimeout)
	defer stop()
	url := "http://" + address + Path
	if includeItems {
		url += "?" + includeItemsQuery + "=1"
	}
	var state ProcessState
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return state, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return state, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return state, fmt.Errorf("%s: %s", address, response.Status)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state); err != nil {
		return state, fmt.Errorf("%s: %w", address, err)
	}
	if state.Kind == "" {
		return state, fmt.Errorf("%s: no process of stoneford's told its state there", address)
	}
	return state, nil
}

// FetchResult is the result of fetching the state of one process.
type FetchResult struct {
	Address string
	State   ProcessState
	Err     error
}

// FetchAll fetches the states of all processes concurrently. The results are in the order
// of the addresses.
func FetchAll(ctx context.Context, addresses []string, includeItems bool) []FetchResult {
	results := make([]FetchResult, len(addresses))
	var running sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentFetches)
	for i, address := range addresses {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			state, err := Fetch(ctx, address, includeItems)
			results[i] = FetchResult{Address: address, State: state, Err: err}
		})
	}
	running.Wait()
	return results
}

// StateAddress returns the address on which a process serves its state, given its
// address for other processes.
func StateAddress(nodeAddress string) (string, error) {
	host, portText, err := net.SplitHostPort(nodeAddress)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(port+ports.StatePortOffset)), nil
}

// FirstControl returns the state of the first control process among the results. If
// there is none, the error joins the errors of all results.
func FirstControl(results []FetchResult) (ProcessState, error) {
	var errs []error
	for _, r := range results {
		if r.Err == nil && r.State.Control != nil {
			return r.State, nil
		}
		errs = append(errs, r.Err)
	}
	return ProcessState{}, errors.Join(append(errs, errors.New("none of these is a control process that replies"))...)
}
