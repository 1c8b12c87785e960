package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// getJSON sends GET url and decodes the response into v.
func getJSON(ctx context.Context, url string, v any) error {
	return doJSON(ctx, http.MethodGet, url, nil, v)
}

// postJSON sends POST url with in as JSON.
func postJSON(ctx context.Context, url string, in any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return doJSON(ctx, http.MethodPost, url, b, nil)
}

func doJSON(ctx context.Context, method, url string, body []byte, v any) error {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+Token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s %s: status %d: %s", method, url, resp.StatusCode, b)
	}
	if v == nil {
		return nil
	}
	return json.Unmarshal(b, v)
}
