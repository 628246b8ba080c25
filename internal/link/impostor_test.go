package link

import (
	"context"
	"net"
	"net/http"

	"github.com/coder/websocket"
)

// serveRaw accepts WebSocket connections without authentication, to simulate an impostor.
func serveRaw(l net.Listener, handle func(ctx context.Context, ws *websocket.Conn)) {
	server := &http.Server{
		ReadHeaderTimeout: testTimeout,
		Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			ws, err := websocket.Accept(rw, r, nil)
			if err != nil {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			handle(ctx, ws)
			_ = ws.CloseNow()
		}),
	}
	_ = server.Serve(l)
}
