package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// StatusError is returned for an HTTP status of 300 or above.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

// Faults sends a request to the faults address of a stand-in.
func (f *Fleet) Faults(p *Process, method, path string, body any) error {
	_, err := call(method, "http://"+p.FaultsAddress+path, "", body)
	return err
}

// Stats decodes a JSON page of a stand-in's faults address, such as /stats.
func (f *Fleet) Stats(p *Process, path string, into any) error {
	data, err := call(http.MethodGet, "http://"+p.FaultsAddress+path, "", nil)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// Admin sends a request to the administration API of an entry.
func (f *Fleet) Admin(d *Daemon, method, path string, body any) ([]byte, error) {
	return call(method, "http://"+d.Settings.Entry.AdminAddress+path, AdminKey, body)
}

// Change sets one item in an edit, or deletes it if Value is nil.
type Change struct {
	Key              string `json:"key"`
	Value            any    `json:"value"`
	ExpectedRevision uint64 `json:"expected_revision"`
}

// Edit commits an edit through an entry and returns the revision of the edit.
func (f *Fleet) Edit(d *Daemon, changes ...Change) (uint64, error) {
	data, err := f.Admin(d, http.MethodPost, "/admin/v1/edits", map[string]any{"operator": "test", "changes": changes})
	if err != nil {
		return 0, err
	}
	var answer struct {
		Revision uint64 `json:"revision"`
	}
	return answer.Revision, json.Unmarshal(data, &answer)
}

// ItemRevision returns the revision of a configuration item at an entry, 0 if
// the item does not exist.
func (f *Fleet) ItemRevision(d *Daemon, key string) (uint64, error) {
	data, err := f.Admin(d, http.MethodGet, "/admin/v1/config?prefix="+key, nil)
	if err != nil {
		return 0, err
	}
	var answer struct {
		Items []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"items"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, err
	}
	for _, item := range answer.Items {
		if item.Key == key {
			return item.Revision, nil
		}
	}
	return 0, nil
}

// call sends an HTTP request with a JSON body and returns the response body.
func call(method, url, key string, body any) ([]byte, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("encode request body: %w", err)
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, reader)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	client := http.Client{Timeout: startTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("call %s: %w", url, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", url, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return data, &StatusError{URL: url, Status: response.StatusCode, Body: string(data)}
	}
	return data, nil
}

func (f *Fleet) countLiveVMs(d *Daemon) (int, error) {
	data, err := f.Admin(d, http.MethodGet, "/admin/v1/fleet", nil)
	if err != nil {
		return 0, err
	}
	var answer struct {
		VMs []struct {
			State string `json:"state"`
		} `json:"vms"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return 0, err
	}
	live := 0
	for _, vm := range answer.VMs {
		if vm.State == "live" {
			live++
		}
	}
	return live, nil
}
