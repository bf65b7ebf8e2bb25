/** Minimal HTTP relay without overload control; measures what an extra hop costs with the libraries of a node. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { Pool } from "undici";
import { serveHttp } from "../_lib/serveHttp";

/** Forwards each request on `port` to `targetPort` on loopback, as a GET without headers or a body. */
export const startRelay = async (port: number, targetPort: number): Promise<void> => {
    const pool = new Pool(`http://127.0.0.1:${targetPort}`, { connections: 64, pipelining: 1 });
    await serveHttp(port, (request: IncomingMessage, response: ServerResponse) => {
        pool.dispatch({ method: "GET", path: request.url!, headers: [] }, {
            onConnect: () => undefined,
            onHeaders: (status, rawHeaders) => {
                response.writeHead(status, rawHeaders.map(field => field.toString("latin1")));
                return true;
            },
            onData: chunk => response.write(chunk),
            onComplete: () => response.end(),
            onError: () => response.destroy(),
        });
    });
};
