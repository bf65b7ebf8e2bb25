/** Control listener of a node: metrics and health checks for operators, tRPC for other nodes and the command line. */
import { createHTTPHandler } from "@trpc/server/adapters/standalone";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Registry } from "prom-client";
import { type Address } from "../../types";
import { closeListener, openListener } from "../_lib/openListener";
import { type ControlSource, createControlRouter } from "./router";

export interface ControlDependencies extends ControlSource {
    readonly registry: Registry;
    /** Whether the node accepts new requests; the answer to /readyz. */
    isReady(): boolean;
}

const trpcPrefix = "/trpc/";

/** HTTP server of the control listener; any other path gets a 404. */
export class Control {
    private server: Server | undefined;
    private readonly handleTrpc: (request: IncomingMessage, response: ServerResponse) => void;

    constructor(private readonly address: Address, private readonly dependencies: ControlDependencies) {
        const handler = createHTTPHandler({ router: createControlRouter(dependencies), basePath: trpcPrefix });
        this.handleTrpc = (request, response) => void handler(request, response);
    }

    async start(): Promise<void> {
        this.server = await openListener(this.address, (request, response) => this.handle(request, response));
    }

    async stop(): Promise<void> {
        if (this.server) {
            this.server.closeAllConnections();
            await closeListener(this.server);
        }
    }

    private handle(request: IncomingMessage, response: ServerResponse): void {
        const url = request.url ?? "";
        if (url.startsWith(trpcPrefix)) {
            this.handleTrpc(request, response);
            return;
        }
        if (url === "/metrics") {
            void this.sendMetrics(response);
            return;
        }
        if (url === "/healthz") {
            sendText(response, 200, "ok\n");
            return;
        }
        if (url === "/readyz") {
            const isReady = this.dependencies.isReady();
            sendText(response, isReady ? 200 : 503, isReady ? "ready\n" : "not ready\n");
            return;
        }
        sendText(response, 404, "not found\n");
    }

    private async sendMetrics(response: ServerResponse): Promise<void> {
        const text = await this.dependencies.registry.metrics();
        sendText(response, 200, text, this.dependencies.registry.contentType);
    }
}

const sendText = (response: ServerResponse, status: number, text: string, type = "text/plain"): void => {
    response.writeHead(status, { "content-type": type });
    response.end(text);
};
