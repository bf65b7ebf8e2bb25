/** Minimal HTTP relay without overload control: a baseline for the cost of one more hop with the same libraries. */
import { type IncomingMessage, type ServerResponse } from "node:http";
import { Pool } from "undici";
import { serveHttp } from "../_lib/serveHttp";

/** Forwards all requests on a port, as GET without headers, to another port on the loopback interface. */
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
