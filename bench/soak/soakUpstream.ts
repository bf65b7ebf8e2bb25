/** Stand-in for an upstream: checks whom a request is for, records its start and echoes its id. */
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { headerNames } from "../../platform/headerNames";
import { type Address } from "../../src/types";

/** Longest work of a request, in milliseconds. */
const maxWorkMs = 120;
const misdirectedStatus = 421;

/** One incarnation of an upstream. */
export class SoakUpstream {
    private readonly server: Server;

    /** `onRun` is called when a request begins to run. */
    constructor(readonly id: string, private readonly address: Address, onRun: (requestId: string) => void) {
        this.server = createServer((request, response) => this.serve(request, response, onRun));
    }

    async open(): Promise<void> {
        this.server.listen(this.address.port, this.address.host);
        await once(this.server, "listening");
    }

    /** Ends the upstream at once: its connections and the requests on them are gone. */
    async close(): Promise<void> {
        const closed = once(this.server, "close");
        this.server.close();
        this.server.closeAllConnections();
        await closed;
    }

    private serve(request: IncomingMessage, response: ServerResponse, onRun: (requestId: string) => void): void {
        const requestId = String(request.headers[headerNames.requestId]);
        request.resume();
        if (request.headers[headerNames.target] !== this.id) {
            response.writeHead(misdirectedStatus, { [headerNames.requestId]: requestId, [headerNames.notRun]: "1" });
            response.end();
            return;
        }
        onRun(requestId);
        setTimeout(() => {
            response.writeHead(200, { [headerNames.requestId]: requestId, "Content-Length": requestId.length });
            response.end(requestId);
        }, Math.random() * maxWorkMs);
    }
}
