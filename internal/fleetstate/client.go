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
	// maxStateBytes bounds the memory that an answer can make a client use.
	maxStateBytes = 64 << 20
	// maxConcurrentFetches bounds how many processes FetchAll asks at the same time.
	maxConcurrentFetches = 64
)

// Fetch asks the process that serves its state at an address. Errors name the
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

// FetchResult is the result of asking one process.
type FetchResult struct {
	Address string
	State   ProcessState
	Err     error
}

// FetchAll asks all processes, many at once; the results are in the order of the
// addresses.
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

// StateAddress is where the process that listens for others at an address serves its
// state.
func StateAddress(node string) (string, error) {
	host, portText, err := net.SplitHostPort(node)
	if err != nil {
		return "", err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(port+ports.StatePortOffset)), nil
}

// FirstControl is the first control process among the results; the error joins why
// each of them is none.
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
