import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** Starts an HTTP server on the loopback interface; rejects if it can't listen on the port. */
export const serveHttp = (
    port: number,
    handle: (request: IncomingMessage, response: ServerResponse) => void,
): Promise<Server> => {
    const server = createServer({ keepAliveTimeout: 60_000, requestTimeout: 0 }, handle);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
};

/** Reads the body of a request as UTF-8 text. */
export const readText = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString("utf8");
};

/** Sends a complete answer with a JSON body. */
export const sendJson = (
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
): void => {
    const body = JSON.stringify(value);
    response.writeHead(status, {
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
        ...headers,
    });
    response.end(body);
};
