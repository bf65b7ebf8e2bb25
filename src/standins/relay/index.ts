/** A bare HTTP relay without any decisions: the floor for what one more hop costs with the same libraries. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { Pool } from "undici";
import { serveHttp } from "../_lib/serveHttp";

/** Relays every request on a port to another port on loopback. */
export const startRelay = async (port: number, targetPort: number): Promise<void> => {
    const pool = new Pool(`http://127.0.0.1:${targetPort}`, { connections: 64, pipelining: 1 });
    await serveHttp(port, (request: IncomingMessage, response: ServerResponse) => {
        pool.dispatch({ method: "GET", path: request.url!, headers: [] }, {
            onConnect: () => undefined,
            onHeaders: (status, raw) => {
                response.writeHead(status, raw.map(part => part.toString("latin1")));
                return true;
            },
            onData: chunk => response.write(chunk),
            onComplete: () => response.end(),
            onError: () => response.destroy(),
        });
    });
};
