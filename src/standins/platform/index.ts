/** Stand-in for the platform's key-value service, which nodes read and watch over HTTP. */
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { readText, sendJson, serveHttp } from "../_lib/serveHttp";

interface StoredValue {
    readonly revision: number;
    readonly text: string;
}

interface PendingWatch {
    readonly afterRevision: number;
    readonly finish: (value: StoredValue | undefined) => void;
}

/** Faults that tests and benchmarks inject; they don't affect control requests under `/standin/`. */
interface PlatformFaults {
    /** Closes open connections at once, and later ones without answering their requests. */
    readonly down: boolean;
    /** Serves the values as they were when this fault began. */
    readonly stale: boolean;
    /** Delay before each read or watch is handled, in milliseconds. */
    readonly slowMs: number;
    /** Delay until a write to the instance list becomes visible to readers, in milliseconds. */
    readonly instancesLagMs: number;
}

const noFaults: PlatformFaults = { down: false, stale: false, slowMs: 0, instancesLagMs: 0 };
const instancesKey = "instances";

/** Serves values that tests write, counts the reads, and injects faults. */
export class PlatformStandIn {
    private readonly values = new Map<string, StoredValue>();
    private staleValues: ReadonlyMap<string, StoredValue> | undefined;
    private readonly pendingWatches = new Map<string, Set<PendingWatch>>();
    private faults = noFaults;
    private revision = 0;
    private readCount = 0;
    private server: Server | undefined;

    async start(port: number): Promise<void> {
        this.server = await serveHttp(port, (request, response) => void this.handle(request, response));
    }

    stop(): void {
        this.server?.closeAllConnections();
        this.server?.close();
    }

    /** Writes a value as a deployment pipeline does; a write to the instance list waits for `instancesLagMs`. */
    writeValue(key: string, text: string): void {
        const lagMs = key === instancesKey ? this.faults.instancesLagMs : 0;
        if (lagMs > 0) {
            setTimeout(() => this.recordValue(key, text), lagMs);
            return;
        }
        this.recordValue(key, text);
    }

    /** Changes the given faults and leaves the others as they are. */
    updateFaults(change: Partial<PlatformFaults>): void {
        this.faults = { ...this.faults, ...change };
        this.staleValues = this.faults.stale ? this.staleValues ?? new Map(this.values) : undefined;
        if (this.faults.down) {
            this.server?.closeAllConnections();
        }
    }

    private recordValue(key: string, text: string): void {
        this.revision += 1;
        const value = { revision: this.revision, text };
        this.values.set(key, value);
        if (!this.faults.stale) {
            const watches = this.pendingWatches.get(key) ?? new Set<PendingWatch>();
            this.pendingWatches.delete(key);
            watches.forEach(watch => watch.finish(value));
        }
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const url = new URL(request.url!, "http://platform");
        if (url.pathname.startsWith("/standin/")) {
            await this.handleControlRequest(url, request, response);
            return;
        }
        if (this.faults.down) {
            response.destroy();
            return;
        }
        this.readCount += 1;
        if (this.faults.slowMs > 0) {
            await new Promise(resolve => setTimeout(resolve, this.faults.slowMs));
        }
        this.handleRead(url, response);
    }

    private handleRead(url: URL, response: ServerResponse): void {
        const key = decodeURIComponent(url.pathname.slice("/v1/values/".length));
        const afterRevision = Number(url.searchParams.get("after") ?? 0);
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        const value = (this.staleValues ?? this.values).get(key);
        if (value && value.revision > afterRevision) {
            this.sendValue(response, value);
            return;
        }
        if (waitMs === 0) {
            sendJson(response, value ? 304 : 404, {});
            return;
        }
        this.addWatch(key, afterRevision, waitMs, response);
    }

    private addWatch(key: string, afterRevision: number, waitMs: number, response: ServerResponse): void {
        const watches = this.pendingWatches.get(key) ?? new Set<PendingWatch>();
        this.pendingWatches.set(key, watches);
        const watch: PendingWatch = {
            afterRevision,
            finish: value => {
                clearTimeout(timeout);
                watches.delete(watch);
                if (value) {
                    this.sendValue(response, value);
                    return;
                }
                response.writeHead(304);
                response.end();
            },
        };
        const timeout = setTimeout(() => watch.finish(undefined), waitMs);
        watches.add(watch);
        response.once("close", () => {
            clearTimeout(timeout);
            watches.delete(watch);
        });
    }

    private sendValue(response: ServerResponse, value: StoredValue): void {
        const contentLength = Buffer.byteLength(value.text);
        response.writeHead(200, {
            "content-type": "application/json",
            "content-length": contentLength,
            "x-revision": String(value.revision),
        });
        response.end(value.text);
    }

    private async handleControlRequest(url: URL, request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (url.pathname === "/standin/reads") {
            sendJson(response, 200, { reads: this.readCount });
            return;
        }
        const text = await readText(request);
        if (url.pathname === "/standin/mode") {
            this.updateFaults(JSON.parse(text) as Partial<PlatformFaults>);
        }
        else {
            this.writeValue(decodeURIComponent(url.pathname.slice("/standin/values/".length)), text);
        }
        sendJson(response, 200, { revision: this.revision });
    }
}
