package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrydale/process/platform"
)

type objectJSON struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
}

// Handler serves the object API over HTTP/JSON, and under /admin the failure
// switches, the call counts and the host list.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		obj, err := o.Get(r.Context(), r.PathValue("key"))
		reply(w, objectJSON(obj), err)
	})
	mux.HandleFunc("GET /objects", func(w http.ResponseWriter, r *http.Request) {
		objs, err := o.List(r.Context(), r.URL.Query().Get("prefix"))
		reply(w, list(objs), err)
	})
	mux.HandleFunc("PUT /objects/{key}", o.put)
	mux.HandleFunc("DELETE /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, o.Delete(r.Context(), r.PathValue("key"), expect(r)))
	})
	mux.HandleFunc("GET /watch", o.watch)
	mux.HandleFunc("GET /hosts", func(w http.ResponseWriter, r *http.Request) {
		hosts, err := o.Hosts(r.Context())
		reply(w, hosts, err)
	})
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, o.Counts(), nil) })
	mux.HandleFunc("PUT /admin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decode(w, r, &f) {
			o.SetFaults(f)
		}
	})
	mux.HandleFunc("PUT /admin/hosts", func(w http.ResponseWriter, r *http.Request) {
		var hosts []platform.Host
		if decode(w, r, &hosts) {
			o.SetHosts(hosts)
		}
	})
	return mux
}

func expect(r *http.Request) uint64 {
	v, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	return v
}

func (o *Objects) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platform.MaxValue))
	if err != nil {
		reply(w, nil, platform.ErrTooLarge)
		return
	}
	key := r.PathValue("key")
	version, err := o.Put(r.Context(), key, value, expect(r))
	if errors.Is(err, platform.ErrUnknownOutcome) {
		// The write took effect; its answer is lost with the connection.
		panic(http.ErrAbortHandler)
	}
	reply(w, objectJSON{Key: key, Version: version}, err)
}

func (o *Objects) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	objs, err := o.Watch(r.Context(), q.Get("prefix"), after, wait)
	reply(w, list(objs), err)
}

func list(objs []platform.Object) []objectJSON {
	out := make([]objectJSON, len(objs))
	for i, o := range objs {
		out[i] = objectJSON(o)
	}
	return out
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(v)
	case errors.Is(err, platform.ErrNotFound):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, platform.ErrConflict):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.Is(err, platform.ErrTooLarge):
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
	case errors.Is(err, platform.ErrRateLimited):
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
